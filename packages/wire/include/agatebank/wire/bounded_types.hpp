#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// @file
/// Serialisation of strings and vectors that replaces cereal's own headers for
/// them, which allocate the size given in a length field before reading. Here
/// memory grows only with the bytes that are present, so a false length causes
/// a cereal::Exception instead of a large allocation. Booleans and enumerations
/// are checked too: a value out of range causes a cereal::Exception.

namespace cereal
{

constexpr uint32_t string_chunk_bytes = 64U << 10U;

/// @brief Reads a boolean, which must be 0 or 1.
/// @throw cereal::Exception for any other value
inline void load(PortableBinaryInputArchive& ar, bool& value)
{
    uint8_t byte = 0;
    ar(byte);
    if (byte > 1)
    {
        throw Exception("boolean out of range: " + std::to_string(byte));
    }
    value = byte == 1;
}

/// @brief Converts a number to an enumeration with the values 0 to @p last.
/// @throw cereal::Exception for any other number
template <class Enum>
Enum to_enumeration(std::underlying_type_t<Enum> number, Enum last)
{
    if (number < 0 || number > static_cast<decltype(number)>(last))
    {
        throw Exception("enumeration value out of range: " +
                        std::to_string(number));
    }
    return static_cast<Enum>(number);
}

template <class Archive>
void save(Archive& ar, const std::string& text)
{
    ar(static_cast<uint32_t>(text.size()));
    ar(binary_data(text.data(), text.size()));
}

template <class Archive>
void load(Archive& ar, std::string& text)
{
    uint32_t size = 0;
    ar(size);
    text.clear();
    while (text.size() < size)
    {
        const auto at = text.size();
        const auto n = std::min<std::size_t>(string_chunk_bytes, size - at);
        text.resize(at + n);
        ar(binary_data(text.data() + at, n));
    }
}

template <class Archive, class T>
void save(Archive& ar, const std::vector<T>& items)
{
    ar(static_cast<uint32_t>(items.size()));
    for (const auto& it : items)
    {
        ar(it);
    }
}

template <class Archive, class T>
void load(Archive& ar, std::vector<T>& items)
{
    uint32_t size = 0;
    ar(size);
    items.clear();
    for (uint32_t i = 0; i < size; ++i)
    {
        T item{};
        ar(item);
        items.push_back(std::move(item));
    }
}

} // namespace cereal
