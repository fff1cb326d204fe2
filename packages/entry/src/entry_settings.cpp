#include <agatebank/core/json_reader.hpp>
#include <agatebank/entry/entry_settings.hpp>

#include <utility>

namespace agatebank
{

namespace
{

using nlohmann::json;

constexpr const char* step_settings = "settings.read";
constexpr number_range port_range{1, 65535};
constexpr number_range milliseconds_range{1, 24L * 3600 * 1000};

void check_address(const std::string& address, const std::string& path,
                   json_errors& errors)
{
    const object_ptr<GInetAddress> inet(
        g_inet_address_new_from_string(address.c_str()));
    if (!inet)
    {
        errors.add(path, "\"" + address + "\"", "an IP address");
    }
}

endpoint read_endpoint(const json& value, const std::string& path,
                       json_errors& errors)
{
    endpoint out;
    json_fields fields(value, path, errors);
    fields.text("address", out.address);
    fields.number("port", out.port, port_range);
    fields.finish();
    check_address(out.address, path + "/address", errors);
    return out;
}

void read_http(const json& value, const std::string& path, json_errors& errors,
               http_server_options& out)
{
    json_fields fields(value, path, errors);
    fields.text("address", out.address);
    fields.number("port", out.port, port_range);
    fields.optional_text("tls_certificate", out.tls_certificate);
    fields.optional_text("tls_key", out.tls_key);
    fields.optional_number("max_body_bytes", out.max_body_bytes,
                           {1024, 64 << 20});
    fields.optional_milliseconds("read_timeout_ms", out.read_timeout,
                                 milliseconds_range);
    fields.finish();
    check_address(out.address, path + "/address", errors);
    if (out.tls_certificate.empty() != out.tls_key.empty())
    {
        errors.add(path, "one of tls_certificate and tls_key",
                   "both or neither");
    }
}

void read_log(const json& value, const std::string& path, json_errors& errors,
              log_settings& out)
{
    json_fields fields(value, path, errors);
    fields.optional_text("file", out.file);
    fields.optional_text("level", out.level);
    fields.finish();
    if (out.level != "debug" && out.level != "info" && out.level != "warning" &&
        out.level != "error")
    {
        errors.add(path + "/level", "\"" + out.level + "\"",
                   "debug, info, warning or error");
    }
}

void read_timing(const json& value, const std::string& path,
                 json_errors& errors, entry_settings& out)
{
    json_fields fields(value, path, errors);
    const auto read = [&](const char* name, duration& d)
    {
        fields.optional_milliseconds(name, d, milliseconds_range);
    };
    read("configuration_poll_ms", out.configuration_poll);
    read("agent_loss_ms", out.agent_loss_timeout);
    read("leave_delay_ms", out.leave_delay);
    read("stop_timeout_ms", out.stop_timeout);
    read("announce_period_ms", out.membership.announce_period);
    read("entry_silence_ms", out.membership.silence_timeout);
    read("heartbeat_ms", out.links.heartbeat_period);
    read("link_silence_ms", out.links.silence_timeout);
    fields.finish();
}

void read_limits(const json& value, const std::string& path,
                 json_errors& errors, submission_limits& out)
{
    json_fields fields(value, path, errors);
    auto validity = out.validity.count();
    auto retention = out.answer_retention.count();
    fields.optional_number("id_validity_s", validity, {1, 24L * 3600});
    fields.optional_number("answer_retention_s", retention, {1, 24L * 3600});
    fields.optional_number("max_answer_bytes", out.max_answer_bytes,
                           {1 << 20, 16L << 30});
    fields.optional_number("max_records", out.max_records, {1, 100'000'000});
    fields.optional_number("max_tasks", out.job.max_tasks, {1, 100'000});
    fields.finish();
    out.validity = std::chrono::seconds(validity);
    out.answer_retention = std::chrono::seconds(retention);
}

void read_platform(const json& value, const std::string& path,
                   json_errors& errors, entry_settings& out)
{
    json_fields fields(value, path, errors);
    fields.text("url", out.platform_url);
    fields.optional_text("ca_file", out.platform_ca_file);
    fields.finish();
}

} // namespace

result<entry_settings> parse_entry_settings(const json& document,
                                            const std::string& file)
{
    entry_settings out;
    json_errors errors;
    json_fields fields(document, "", errors);
    fields.text("name", out.name);
    fields.text("failure_domain", out.failure_domain);
    fields.object("http", [&](const json& v, const std::string& at)
                  { read_http(v, at, errors, out.http); });
    fields.object("wire", [&](const json& v, const std::string& at)
                  { out.wire = read_endpoint(v, at, errors); });
    fields.optional_array("peers",
                          [&](const json& v, const std::string& at) {
                              out.peers.push_back(read_endpoint(v, at, errors));
                          });
    fields.object("platform", [&](const json& v, const std::string& at)
                  { read_platform(v, at, errors, out); });
    fields.optional_text("shared_key_file", out.shared_key_file);
    fields.optional_text("bootstrap_operator_sha256",
                         out.bootstrap_operator_sha256);
    fields.optional_object("log", [&](const json& v, const std::string& at)
                           { read_log(v, at, errors, out.log); });
    fields.optional_object("timing", [&](const json& v, const std::string& at)
                           { read_timing(v, at, errors, out); });
    fields.optional_object("limits", [&](const json& v, const std::string& at)
                           { read_limits(v, at, errors, out.submissions); });
    fields.finish();
    return checked_settings(std::move(out), errors, step_settings, file);
}

} // namespace agatebank
