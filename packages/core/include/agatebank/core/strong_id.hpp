#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace agatebank
{

/// @brief A strongly typed identifier. Ids with different tags do not convert
/// to or compare with each other.
/// @tparam Tag distinguishes one kind of id from another
/// @tparam Rep type of the stored value
template <class Tag, class Rep>
class strong_id
{
  public:
    using rep = Rep;

    // construction
    strong_id() = default;
    explicit strong_id(Rep value) : value_(std::move(value)) {}

    // lookup
    const Rep& value() const noexcept
    {
        return value_;
    }

    // comparison
    auto operator<=>(const strong_id&) const = default;

    /// @brief Serialises the stored value only (cereal).
    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(value_);
    }

  private:
    Rep value_{};
};

template <class Tag, class Rep>
std::ostream& operator<<(std::ostream& os, const strong_id<Tag, Rep>& id)
{
    return os << id.value();
}

} // namespace agatebank

template <class Tag, class Rep>
struct std::hash<agatebank::strong_id<Tag, Rep>>
{
    std::size_t
    operator()(const agatebank::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
