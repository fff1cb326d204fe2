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

/// @brief Parses JSON text. Nesting deeper than @p max_depth and duplicate
/// fields in one object are errors.
/// @param step step reported in the failure
/// @param peer file or address that the text came from
/// @return errc::request_malformed with the position of the error
result<nlohmann::json> parse_json(std::string_view text,
                                  const std::string& step,
                                  const std::string& peer, int max_depth = 32);

/// @brief Inclusive bounds of a whole number.
struct number_range
{
    int64_t min = 0;
    int64_t max = std::numeric_limits<int64_t>::max();
};

/// @brief Keeps the first error found while a JSON document is read: its path
/// (JSON pointer), the value found and the value expected. Later errors are
/// ignored.
class json_errors
{
  public:
    // modifiers
    /// @brief Records an error if there is none yet.
    void add(const std::string& path, const std::string& found,
             const std::string& expected);

    // lookup
    bool empty() const noexcept;
    /// @brief The first error as "at PATH: found X, expected Y"; empty if there
    /// was none.
    const std::string& first() const noexcept;

  private:
    std::string first_;
};

/// @brief Returns settings if they were read without errors.
/// @param step step reported in the failure
/// @param file settings file reported in the failure
/// @return errc::settings_invalid with the first error, if there was one
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

/// @brief Reads the fields of one JSON object. An invalid field is added to the
/// json_errors given and a scalar output variable keeps its value. @ref finish
/// reports fields that were not read as unknown.
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
    /// @brief Callback that reads a nested value.
    /// @param path JSON pointer to the value
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

    // optional fields: an absent field leaves the output variable unchanged
    void optional_text(const char* name, std::string& out);
    void optional_boolean(const char* name, bool& out);
    /// @brief Accepts a field of any type, which the caller reads itself.
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
    void optional_double(const char* name, double& out, double min, double max);
    void optional_array(const char* name, const element& read);
    void optional_object(const char* name, const element& read);
    void optional_texts(const char* name, std::vector<std::string>& out);

    // end
    /// @brief Reports the first field of the object that was not read.
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
    void add_error(const char* name, const nlohmann::json& found,
                   const std::string& expected);

    const nlohmann::json& object_;
    std::string path_;
    json_errors& errors_;
    std::set<std::string> read_names_;
};

} // namespace agatebank
