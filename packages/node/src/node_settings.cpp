#include <agatebank/core/json_reader.hpp>
#include <agatebank/node/node_settings.hpp>

#include <charconv>
#include <utility>

namespace agatebank
{

namespace
{

using nlohmann::json;

constexpr const char* step_settings = "settings.read";
constexpr int64_t max_port = 65535;
constexpr double max_processor_share = 1024; // cores
constexpr number_range lease_range{100, 60'000};
constexpr number_range announcement_range{0, 60'000};
constexpr number_range table_silence_range{1, 60'000};
constexpr number_range poll_spacing_range_us{0, 20'000};

endpoint to_endpoint(const std::string& text, const std::string& path,
                     json_errors& errors)
{
    endpoint out;
    const auto colon = text.rfind(':');
    int64_t port = 0;
    if (colon != std::string::npos)
    {
        out.address = text.substr(0, colon);
        std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                        port);
    }
    const object_ptr<GInetAddress> inet(
        g_inet_address_new_from_string(out.address.c_str()));
    if (!inet || port < 1 || port > max_port)
    {
        errors.add(path, "\"" + text + "\"", "IP:port");
        return {};
    }
    out.port = static_cast<uint16_t>(port);
    return out;
}

void read_endpoint(json_fields& fields, const char* name, endpoint& out)
{
    std::string text;
    fields.text(name, text);
    if (!text.empty())
    {
        out = to_endpoint(text, fields.path() + "/" + name, fields.errors());
    }
}

void read_advertised_address(json_fields& fields, std::string& out)
{
    constexpr const char* name = "advertised_address";
    if (!fields.has(name))
    {
        return;
    }
    fields.optional_text(name, out);
    const object_ptr<GInetAddress> inet(
        g_inet_address_new_from_string(out.c_str()));
    if (!inet)
    {
        fields.errors().add(fields.path() + "/" + name, "\"" + out + "\"",
                            "IP");
    }
}

void read_node(const json& value, const std::string& path, json_errors& errors,
               node_role role, node_settings& out)
{
    json_fields fields(value, path, errors);
    std::vector<std::string> seeds;
    fields.number("link_port", out.link_port, {1, max_port});
    fields.optional_texts("seeds", seeds);
    for (const auto& it : seeds)
    {
        out.seeds.push_back(to_endpoint(it, path + "/seeds", errors));
        out.seeds.back().port = out.link_port;
    }
    fields.optional_double("processor_share", out.processor_share, 0,
                           max_processor_share);
    read_endpoint(fields, "metrics", out.metrics);
    if (role == node_role::entry)
    {
        fields.text("address", out.address);
        read_advertised_address(fields, out.advertised_address);
        read_endpoint(fields, "callers", out.callers);
        read_endpoint(fields, "readiness", out.readiness);
        fields.text("table_service", out.table_service);
        fields.optional_milliseconds("table_silence_limit_ms",
                                     out.table_silence_limit,
                                     table_silence_range);
        fields.optional_double("remote_data_factor", out.remote_data_factor, 1,
                               100);
        fields.optional_milliseconds("announcement_period_ms",
                                     out.announcement_period,
                                     announcement_range);
        fields.optional_boolean("relay", out.relay);
        int64_t spacing_us = 0;
        fields.optional_number("poll_spacing_us", spacing_us,
                               poll_spacing_range_us);
        out.poll_spacing = duration(spacing_us);
    }
    else
    {
        read_endpoint(fields, "announcements", out.announcements);
        fields.text("target", out.target);
        to_endpoint(out.target, path + "/target", errors);
        fields.optional_milliseconds("longest_lease_ms", out.max_lease,
                                     lease_range);
        fields.optional_boolean("order_returns", out.order_returns);
    }
    fields.finish();
}

} // namespace

bool has_node_settings(const json& document)
{
    return document.is_object() && document.contains("node");
}

result<node_settings> parse_node_settings(const json& document, node_role role,
                                          const std::string& file)
{
    node_settings out;
    json_errors errors;
    json_fields fields(document, "", errors);
    fields.text("name", out.name);
    fields.text("failure_domain", out.failure_domain);
    fields.optional_text("log_level", out.log_level);
    fields.object("node", [&](const json& v, const std::string& at)
                  { read_node(v, at, errors, role, out); });
    fields.finish();
    return checked_settings(std::move(out), errors, step_settings, file);
}

} // namespace agatebank
