#include <agatebank/agent/target_availability.hpp>
#include <agatebank/core/json_reader.hpp>

#include <glib.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_announce = "target.announce";
constexpr int64_t max_slots = 512;
constexpr std::size_t max_services = 64;
constexpr std::size_t max_name_bytes = 128;

constexpr start_refusal agent_leaving{errc::process_leaving, "agent.leaving"};
constexpr start_refusal not_announced{errc::start_refused,
                                      "agent.target_withdrawn"};
constexpr start_refusal not_configured{errc::start_refused,
                                       "agent.configuration"};
constexpr start_refusal not_in_inventory{errc::start_refused,
                                         "agent.inventory"};
constexpr start_refusal draining{errc::start_refused, "agent.draining"};
constexpr start_refusal unknown_service{errc::service_unknown, "agent.service"};

bool is_http_url(const std::string& text)
{
    const std::unique_ptr<GUri, decltype(&g_uri_unref)> uri(
        g_uri_parse(text.c_str(), G_URI_FLAGS_NONE, nullptr), g_uri_unref);
    return uri && std::string(g_uri_get_scheme(uri.get())) == "http" &&
           g_uri_get_host(uri.get()) != nullptr &&
           *g_uri_get_host(uri.get()) != '\0';
}

void check_services(const std::vector<std::string>& names, json_errors& errors)
{
    if (names.empty() || names.size() > max_services)
    {
        errors.add("/services", std::to_string(names.size()) + " services",
                   "1 to " + std::to_string(max_services) + " services");
    }
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i].empty() || names[i].size() > max_name_bytes)
        {
            errors.add("/services/" + std::to_string(i),
                       std::to_string(names[i].size()) + " bytes",
                       "1 to " + std::to_string(max_name_bytes) + " bytes");
        }
    }
}

bool contains(const std::vector<service_name>& names, const service_name& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

result<announcement_request> parse_announcement(std::string_view text,
                                                const std::string& peer)
{
    const auto document = parse_json(text, step_announce, peer);
    if (!document)
    {
        return tl::unexpected(document.error());
    }
    announcement_request out;
    std::vector<std::string> names;
    json_errors errors;
    json_fields fields(*document, "", errors);
    fields.optional_texts("services", names);
    fields.number("slots", out.slots, {1, max_slots});
    fields.text("url", out.url);
    fields.finish();
    check_services(names, errors);
    if (!is_http_url(out.url))
    {
        errors.add("/url", "\"" + out.url + "\"", "an http URL with a host");
    }
    if (!errors.empty())
    {
        return fail(errc::request_malformed, step_announce, peer,
                    errors.first());
    }
    while (out.url.back() == '/')
    {
        out.url.pop_back();
    }
    for (auto& name : names)
    {
        out.services.emplace_back(std::move(name));
    }
    return out;
}

target_availability::target_availability(target_name target)
    : target_(std::move(target))
{
}

// modifiers

bool target_availability::announce(announcement_request a)
{
    if (announcement_ == a)
    {
        return false;
    }
    announcement_ = std::move(a);
    return true;
}

bool target_availability::withdraw()
{
    const bool changed = announcement_.has_value();
    announcement_.reset();
    return changed;
}

bool target_availability::configure(const agent_configuration& c)
{
    if (configuration_ && c.version <= configuration_->version)
    {
        return false;
    }
    configuration_ = c;
    return true;
}

bool target_availability::set_leaving()
{
    return !std::exchange(leaving_, true);
}

// lookup

const start_refusal* target_availability::refusal() const
{
    if (leaving_)
    {
        return &agent_leaving;
    }
    if (!announcement_)
    {
        return &not_announced;
    }
    if (!configuration_)
    {
        return &not_configured;
    }
    if (!configuration_->in_inventory)
    {
        return &not_in_inventory;
    }
    return configuration_->state == target_state::active ? nullptr : &draining;
}

const start_refusal*
target_availability::refusal(const start_order& order) const
{
    if (const auto* why = refusal())
    {
        return why;
    }
    const bool offered = contains(announcement_->services, order.service) &&
                         contains(configuration_->services, order.service);
    return offered ? nullptr : &unknown_service;
}

target_report target_availability::report() const
{
    target_report out;
    out.target = target_;
    if (announcement_ && configuration_)
    {
        out.slots = std::min(announcement_->slots, configuration_->slots);
        for (const auto& it : announcement_->services)
        {
            if (contains(configuration_->services, it))
            {
                out.services.push_back(it);
            }
        }
    }
    out.accepts_work =
        refusal() == nullptr && out.slots > 0 && !out.services.empty();
    return out;
}

uint32_t target_availability::queue_allowance() const
{
    return configuration_ ? configuration_->queue_allowance : 0;
}

const std::string& target_availability::url() const
{
    static const std::string none;
    return announcement_ ? announcement_->url : none;
}

config_version target_availability::version() const
{
    return configuration_ ? configuration_->version : config_version();
}

bool target_availability::announced() const noexcept
{
    return announcement_.has_value();
}

} // namespace agatebank
