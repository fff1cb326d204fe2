#include <agatebank/core/json_reader.hpp>

#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace agatebank
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_described_characters = 60;
constexpr std::size_t max_error_bytes = 300;

// Checks JSON text without building values. Rejects nesting deeper than a limit
// and duplicate field names in an object, both of which nlohmann::json accepts.
// A parser callback could do the same, but then nlohmann::json searches the
// enclosing array after each object, so that long lists take quadratic time.
class structure_check : public nlohmann::json_sax<json>
{
  public:
    explicit structure_check(int max_depth) : max_depth_(max_depth) {}

    bool null() override
    {
        return true;
    }

    bool boolean(bool) override
    {
        return true;
    }

    bool number_integer(number_integer_t) override
    {
        return true;
    }

    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }

    bool number_float(number_float_t, const string_t&) override
    {
        return true;
    }

    bool string(string_t&) override
    {
        return true;
    }

    bool binary(binary_t&) override
    {
        return true;
    }

    bool start_object(std::size_t) override
    {
        names_.emplace_back();
        return enter();
    }

    bool end_object() override
    {
        names_.pop_back();
        --depth_;
        return true;
    }

    bool start_array(std::size_t) override
    {
        return enter();
    }

    bool end_array() override
    {
        --depth_;
        return true;
    }

    bool key(string_t& name) override
    {
        if (!names_.back().insert(name).second)
        {
            error_ = "duplicate field \"" + name + "\"";
        }
        return error_.empty();
    }

    bool parse_error(std::size_t, const std::string&,
                     const json::exception& e) override
    {
        error_ = e.what();
        return false;
    }

    const std::string& error() const noexcept
    {
        return error_;
    }

  private:
    bool enter()
    {
        if (++depth_ > max_depth_)
        {
            error_ =
                "nested deeper than " + std::to_string(max_depth_) + " levels";
        }
        return error_.empty();
    }

    int max_depth_;
    int depth_ = 0;
    std::string error_;
    std::vector<std::set<std::string>> names_; ///< of each open object
};

// Escapes a field name for a JSON pointer (RFC 6901).
std::string escape_pointer(const std::string& name)
{
    std::string out;
    for (const char c : name)
    {
        if (c == '~')
        {
            out += "~0";
        }
        else if (c == '/')
        {
            out += "~1";
        }
        else
        {
            out += c;
        }
    }
    return out;
}

std::string describe(const json& value)
{
    auto out = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (out.size() > max_described_characters)
    {
        out = out.substr(0, max_described_characters) + "...";
    }
    return out;
}

} // namespace

result<json> parse_json(std::string_view text, const std::string& step,
                        const std::string& peer, int max_depth)
{
    structure_check check(max_depth);
    if (!json::sax_parse(text.begin(), text.end(), &check))
    {
        // The parser quotes the text that it read last, however long it is.
        return fail(errc::request_malformed, step, peer,
                    check.error().substr(0, max_error_bytes));
    }
    return json::parse(text.begin(), text.end());
}

void json_errors::add(const std::string& path, const std::string& found,
                      const std::string& expected)
{
    if (first_.empty())
    {
        first_ = "at " + (path.empty() ? std::string("/") : path) + ": found " +
                 found + ", expected " + expected;
    }
}

bool json_errors::empty() const noexcept
{
    return first_.empty();
}

const std::string& json_errors::first() const noexcept
{
    return first_;
}

json_fields::json_fields(const json& object, std::string path,
                         json_errors& errors)
    : object_(object), path_(std::move(path)), errors_(errors)
{
    if (!object_.is_object())
    {
        errors_.add(path_, describe(object_), "an object");
    }
}

const json* json_fields::find(const char* name, bool required)
{
    read_names_.insert(name);
    if (!object_.is_object())
    {
        return nullptr;
    }
    const auto it = object_.find(name);
    if (it != object_.end())
    {
        return &*it;
    }
    if (required)
    {
        errors_.add(path_ + "/" + name, "nothing", "a value");
    }
    return nullptr;
}

void json_fields::add_error(const char* name, const json& found,
                            const std::string& expected)
{
    errors_.add(path_ + "/" + name, describe(found), expected);
}

void json_fields::read_text(const char* name, std::string& out, bool required)
{
    const auto* value = find(name, required);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_string() || (required && value->get<std::string>().empty()))
    {
        add_error(name, *value, required ? "a non-empty string" : "a string");
        return;
    }
    out = value->get<std::string>();
}

std::optional<int64_t>
json_fields::read_number(const char* name, number_range range, bool required)
{
    const auto* value = find(name, required);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    const bool fits =
        value->is_number_unsigned()
            ? value->get<uint64_t>() <=
                  static_cast<uint64_t>(std::numeric_limits<int64_t>::max())
            : value->is_number_integer();
    if (!fits || value->get<int64_t>() < range.min ||
        value->get<int64_t>() > range.max)
    {
        add_error(name, *value,
                  "a whole number from " + std::to_string(range.min) + " to " +
                      std::to_string(range.max));
        return std::nullopt;
    }
    return value->get<int64_t>();
}

void json_fields::read_array(const char* name, const element& read,
                             bool required)
{
    const auto* value = find(name, required);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_array())
    {
        add_error(name, *value, "an array");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i)
    {
        read((*value)[i], path_ + "/" + name + "/" + std::to_string(i));
    }
}

void json_fields::text(const char* name, std::string& out)
{
    read_text(name, out, true);
}

void json_fields::optional_text(const char* name, std::string& out)
{
    read_text(name, out, false);
}

void json_fields::optional_boolean(const char* name, bool& out)
{
    const auto* value = find(name, false);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_boolean())
    {
        add_error(name, *value, "true or false");
        return;
    }
    out = value->get<bool>();
}

void json_fields::optional_any(const char* name)
{
    find(name, false);
}

void json_fields::milliseconds(const char* name, duration& out,
                               number_range range)
{
    if (const auto n = read_number(name, range, true))
    {
        out = std::chrono::milliseconds(*n);
    }
}

void json_fields::optional_milliseconds(const char* name, duration& out,
                                        number_range range)
{
    if (const auto n = read_number(name, range, false))
    {
        out = std::chrono::milliseconds(*n);
    }
}

void json_fields::optional_double(const char* name, double& out, double min,
                                  double max)
{
    const auto* value = find(name, false);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_number() || value->get<double>() < min ||
        value->get<double>() > max)
    {
        add_error(name, *value,
                  "a number from " + json(min).dump() + " to " +
                      json(max).dump());
        return;
    }
    out = value->get<double>();
}

void json_fields::array(const char* name, const element& read)
{
    read_array(name, read, true);
}

void json_fields::optional_array(const char* name, const element& read)
{
    read_array(name, read, false);
}

void json_fields::object(const char* name, const element& read)
{
    if (const auto* value = find(name, true))
    {
        read(*value, path_ + "/" + name);
    }
}

void json_fields::optional_object(const char* name, const element& read)
{
    if (const auto* value = find(name, false))
    {
        read(*value, path_ + "/" + name);
    }
}

void json_fields::optional_texts(const char* name,
                                 std::vector<std::string>& out)
{
    read_array(
        name,
        [&](const json& value, const std::string& at)
        {
            if (!value.is_string())
            {
                errors_.add(at, describe(value), "a string");
                return;
            }
            out.push_back(value.get<std::string>());
        },
        false);
}

void json_fields::finish()
{
    if (!object_.is_object())
    {
        return;
    }
    for (const auto& item : object_.items())
    {
        if (read_names_.count(item.key()) == 0)
        {
            errors_.add(path_ + "/" + escape_pointer(item.key()),
                        "an unknown field", "no such field");
        }
    }
}

bool json_fields::has(const char* name) const
{
    return object_.is_object() && object_.contains(name);
}

const std::string& json_fields::path() const noexcept
{
    return path_;
}

json_errors& json_fields::errors() noexcept
{
    return errors_;
}

} // namespace agatebank
