#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief A stored value and its version (ETag).
struct table_row
{
    std::string etag;
    std::string body;
};

/// @brief Condition of a write; unconditional if neither member is set.
struct write_condition
{
    std::optional<std::string> if_match; ///< required stored version
    bool if_none_match = false;          ///< the key must not exist
};

/// @brief In-memory table with conditional writes.
class table
{
  public:
    // lookup
    /// @return the stored row, or nothing if the key does not exist
    std::optional<table_row> read(const std::string& key) const;

    // modifiers
    /// @brief Writes if the condition is met.
    /// @return the new version, or nothing if the condition is not met
    std::optional<std::string> write(const std::string& key,
                                     const std::string& body,
                                     const write_condition& condition);

  private:
    std::map<std::string, table_row> rows_;
    uint64_t last_etag_ = 0;
};

/// @brief Limits the number of operations in each second of the monotonic
/// clock.
class rate_limit
{
  public:
    /// @param per_second operations per second; 0 for no limit
    explicit rate_limit(unsigned per_second) : per_second_(per_second) {}

    /// @brief Counts one operation.
    /// @param now_us monotonic time in microseconds
    /// @return false if the operation exceeds the limit
    bool try_acquire(int64_t now_us);

  private:
    unsigned per_second_;
    unsigned used_in_second_ = 0;
    int64_t current_second_ = -1;
};

} // namespace agatebank
