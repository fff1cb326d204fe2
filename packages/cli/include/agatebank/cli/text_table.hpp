#pragma once

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Formats rows of text as aligned columns.
///
/// @code
/// text_table table({"TARGET", "SLOTS"});
/// table.add({"t-1", "8"});
/// out << table.to_string();
/// @endcode
class text_table
{
  public:
    // construction
    explicit text_table(std::vector<std::string> header);

    // modifiers
    /// @param row cells in the order of the header; missing ones are empty
    void add(std::vector<std::string> row);

    // lookup
    std::string to_string() const;

  private:
    std::vector<std::vector<std::string>> rows_; ///< the header first
};

} // namespace agatebank
