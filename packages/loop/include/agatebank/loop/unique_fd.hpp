#pragma once

#include <utility>

#include <unistd.h>

namespace agatebank
{

/// @brief Owns a file descriptor and closes it.
class unique_fd
{
  public:
    // construction
    unique_fd() = default;
    explicit unique_fd(int fd) noexcept : fd_(fd) {}
    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        if (this != &other)
        {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    ~unique_fd()
    {
        reset();
    }

    // modifiers
    void reset() noexcept
    {
        if (fd_ >= 0)
        {
            ::close(std::exchange(fd_, -1));
        }
    }
    int release() noexcept
    {
        return std::exchange(fd_, -1);
    }

    // lookup
    /// @return the descriptor; -1: none
    int get() const noexcept
    {
        return fd_;
    }

  private:
    int fd_ = -1;
};

} // namespace agatebank
