#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief A stored value and its version.
struct table_row
{
    std::string etag;
    std::string body;
};

/// @brief Condition of a write. Both empty: unconditional.
struct write_condition
{
    std::optional<std::string> if_match; ///< version that must be stored
    bool if_none_match = false;          ///< the key must be absent
};

/// @brief Rows with conditional writes, kept in memory.
class table
{
  public:
    // lookup
    std::optional<table_row> read(const std::string& key) const;

    // modifiers
    /// @brief Writes when the condition holds.
    /// @return the new version, or nothing when the condition failed
    std::optional<std::string> write(const std::string& key,
                                     const std::string& body,
                                     const write_condition& condition);

  private:
    std::map<std::string, table_row> rows_;
    uint64_t last_etag_ = 0;
};

/// @brief Counts operations against a limit per second of wall time.
class rate_limit
{
  public:
    /// @param per_second 0: no limit
    explicit rate_limit(unsigned per_second) : per_second_(per_second) {}

    /// @brief Counts one operation. @return false when over the limit
    /// @param now_us monotonic time
    bool take(int64_t now_us);

  private:
    unsigned per_second_;
    unsigned used_ = 0;
    int64_t second_ = -1;
};

} // namespace agatebank
