#pragma once

#include <streambuf>
#include <string>

namespace agatebank
{

/// @brief Buffers output for a file descriptor and writes it without blocking.
/// Bytes that the descriptor does not take stay in the buffer. The buffer has a
/// limit, which callers check with @ref can_accept_line before they add a line;
/// a line that passes the limit is kept whole.
class line_output : public std::streambuf
{
  public:
    // construction
    explicit line_output(int fd);

    // modifiers
    /// @brief Writes as much as the descriptor takes without blocking.
    int sync() override;

    // lookup
    /// @brief Whether the buffer is below its limit, so that another line may
    /// be added.
    bool can_accept_line() const noexcept;

  protected:
    int_type overflow(int_type c) override;
    std::streamsize xsputn(const char* text, std::streamsize n) override;

  private:
    int fd_;
    std::string pending_;
};

} // namespace agatebank
