#include <agatebank/agent/agent_settings.hpp>
#include <agatebank/core/json_reader.hpp>

#include <gio/gio.h>

#include <algorithm>
#include <array>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_settings = "settings.read";
constexpr std::size_t max_entries = 64;
constexpr int64_t max_port = 65535;

bool is_ip_number(const std::string& text)
{
    const object_ptr<GInetAddress> inet(
        g_inet_address_new_from_string(text.c_str()));
    return inet != nullptr;
}

endpoint read_endpoint(const nlohmann::json& value, const std::string& path,
                       json_errors& errors, int64_t min_port)
{
    endpoint out;
    json_fields fields(value, path, errors);
    fields.text("address", out.address);
    fields.number("port", out.port, {min_port, max_port});
    fields.finish();
    if (!is_ip_number(out.address))
    {
        errors.add(path + "/address", "\"" + out.address + "\"",
                   "an IP address");
    }
    return out;
}

void read_entries(json_fields& fields, std::vector<endpoint>& out)
{
    fields.array("entries",
                 [&](const nlohmann::json& value, const std::string& path)
                 {
                     const auto e =
                         read_endpoint(value, path, fields.errors(), 1);
                     if (std::find(out.begin(), out.end(), e) != out.end())
                     {
                         fields.errors().add(path, "\"" + e.to_string() + "\"",
                                             "no duplicate entry");
                     }
                     out.push_back(e);
                 });
    if (out.empty() || out.size() > max_entries)
    {
        fields.errors().add("/entries", std::to_string(out.size()) + " entries",
                            "1 to " + std::to_string(max_entries) + " entries");
    }
}

void read_log(json_fields& fields, agent_settings& out)
{
    constexpr std::array levels{"debug", "info", "warning", "error"};
    fields.optional_object(
        "log",
        [&](const nlohmann::json& value, const std::string& path)
        {
            json_fields log(value, path, fields.errors());
            log.optional_text("file", out.log_file);
            log.optional_text("level", out.log_level);
            log.finish();
            if (std::find(levels.begin(), levels.end(), out.log_level) ==
                levels.end())
            {
                fields.errors().add(path + "/level",
                                    "\"" + out.log_level + "\"",
                                    "debug, info, warning or error");
            }
        });
}

} // namespace

result<agent_settings> parse_agent_settings(const nlohmann::json& document,
                                            const std::string& file)
{
    agent_settings out;
    json_errors errors;
    json_fields fields(document, "", errors);
    fields.text("name", out.name);
    fields.text("target", out.target);
    fields.text("failure_domain", out.failure_domain);
    fields.object("http",
                  [&](const nlohmann::json& value, const std::string& path)
                  { out.http = read_endpoint(value, path, errors, 0); });
    read_entries(fields, out.entries);
    fields.optional_text("shared_key_file", out.shared_key_file);
    read_log(fields, out);
    fields.finish();
    return checked_settings(std::move(out), errors, step_settings, file);
}

} // namespace agatebank
