#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/units.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatebank
{

/// @brief Parses JSON text with its nesting bounded. A field that stands
/// twice in one object is refused.
/// @param step named in the failure
/// @param peer file or address the text came from
/// @return errc::request_malformed with the position of the error
result<nlohmann::json> parse_json(std::string_view text,
                                  const std::string& step,
                                  const std::string& peer, int max_depth = 32);

/// @brief Bounds of a whole number.
struct number_range
{
    int64_t min = 0;
    int64_t max = std::numeric_limits<int64_t>::max();
};

/// @brief Collects the first error found while a JSON document is read: its
/// path (JSON pointer), what was found and what was expected.
class json_errors
{
  public:
    // modifiers
    void add(const std::string& path, const std::string& found,
             const std::string& expected);

    // lookup
    bool empty() const noexcept;
    /// @brief "at PATH: found X, expected Y"; empty without an error.
    const std::string& first() const noexcept;

  private:
    std::string first_;
};

/// @brief Settings that were read, unless there was an error.
/// @param file named in the failure
/// @return errc::settings_invalid with the first error
template <class T>
result<T> checked_settings(T settings, const json_errors& errors,
                           const std::string& step, const std::string& file)
{
    if (!errors.empty())
    {
        return fail(errc::settings_invalid, step, file, errors.first());
    }
    return settings;
}

/// @brief Reads the fields of one JSON object. Fields that nobody read are
/// errors, reported by @ref finish.
///
/// @code
/// json_errors errors;
/// json_fields fields(document, "", errors);
/// fields.text("address", address);
/// fields.number("port", port, {1, 65535});
/// fields.finish();
/// if (!errors.empty()) { ... }
/// @endcode
class json_fields
{
  public:
    /// @brief Reads one element of an array or object, with its path.
    using element = std::function<void(const nlohmann::json& value,
                                       const std::string& path)>;

    // construction
    json_fields(const nlohmann::json& object, std::string path,
                json_errors& errors);

    // required fields
    void text(const char* name, std::string& out);
    template <class Tag>
    void text(const char* name, strong_id<Tag, std::string>& out)
    {
        std::string value = out.value();
        text(name, value);
        out = strong_id<Tag, std::string>(value);
    }
    template <class Integer>
    void number(const char* name, Integer& out, number_range range)
    {
        if (const auto n = read_number(name, range, true))
        {
            out = static_cast<Integer>(*n);
        }
    }
    /// @brief Reads a whole number of milliseconds.
    void milliseconds(const char* name, duration& out, number_range range);
    void array(const char* name, const element& read);
    void object(const char* name, const element& read);

    // optional fields: the value is kept when the field is absent
    void optional_text(const char* name, std::string& out);
    void optional_flag(const char* name, bool& out);
    /// @brief Allows a field of any type; the caller reads it.
    void optional_any(const char* name);
    template <class Integer>
    void optional_number(const char* name, Integer& out, number_range range)
    {
        if (const auto n = read_number(name, range, false))
        {
            out = static_cast<Integer>(*n);
        }
    }
    void optional_milliseconds(const char* name, duration& out,
                               number_range range);
    /// @brief Reads a number from @p min to @p max.
    void optional_real(const char* name, double& out, double min, double max);
    void optional_array(const char* name, const element& read);
    void optional_object(const char* name, const element& read);
    void optional_texts(const char* name, std::vector<std::string>& out);

    // end
    /// @brief Reports the first field that was not read.
    void finish();

    // lookup
    bool has(const char* name) const;
    const std::string& path() const noexcept;
    json_errors& errors() noexcept;

  private:
    const nlohmann::json* find(const char* name, bool required);
    std::optional<int64_t> read_number(const char* name, number_range range,
                                       bool required);
    void read_text(const char* name, std::string& out, bool required);
    void read_array(const char* name, const element& read, bool required);
    void wrong(const char* name, const nlohmann::json& found,
               const std::string& expected);

    const nlohmann::json& object_;
    std::string path_;
    json_errors& errors_;
    std::set<std::string> read_;
};

} // namespace agatebank
