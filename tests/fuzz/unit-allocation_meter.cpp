#include "allocation_meter.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <memory>
#include <new>

namespace
{

std::size_t largest_allocation = 0;

} // namespace

void* operator new(std::size_t n)
{
    largest_allocation = n > largest_allocation ? n : largest_allocation;
    if (void* p = std::malloc(n))
    {
        return p;
    }
    throw std::bad_alloc();
}

void operator delete(void* p) noexcept
{
    std::free(p);
}

void operator delete(void* p, std::size_t) noexcept
{
    std::free(p);
}

namespace agatebank
{

void allocation_meter::reset() noexcept
{
    largest_allocation = 0;
}

std::size_t allocation_meter::largest() noexcept
{
    return largest_allocation;
}

} // namespace agatebank

TEST_CASE("allocation_meter: reports a large allocation")
{
    agatebank::allocation_meter::reset();
    const auto block = std::make_unique<char[]>(12345678);
    CHECK(block != nullptr);
    CHECK(agatebank::allocation_meter::largest() >= 12345678);
}
