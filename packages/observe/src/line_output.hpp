#pragma once

#include <streambuf>
#include <string>

namespace agatebank
{

/// @brief Collects whole lines for a descriptor and hands them over without
/// waiting: what it does not take stays here, up to a bound.
class line_output : public std::streambuf
{
  public:
    // construction
    explicit line_output(int fd);

    // modifiers
    /// @brief Writes what the descriptor takes now.
    int sync() override;

    // lookup
    /// @brief Whether a line of usual length still fits in here.
    bool has_room() const noexcept;

  protected:
    int_type overflow(int_type c) override;
    std::streamsize xsputn(const char* text, std::streamsize n) override;

  private:
    int fd_;
    std::string pending_;
};

} // namespace agatebank
