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
/// Serialisation of strings and vectors in place of cereal's own headers for
/// them, which allocate what a length field claims before reading. Here the
/// memory grows with the bytes that are really there, so a false length ends
/// in cereal::Exception and not in a large allocation. Booleans and
/// enumerations are checked too: a byte that is no value of theirs ends in
/// cereal::Exception.

namespace cereal
{

constexpr uint32_t string_chunk_bytes = 64U << 10U;

/// @brief Reads a boolean, which must be 0 or 1.
/// @throw cereal::Exception for another byte
inline void load(PortableBinaryInputArchive& ar, bool& value)
{
    uint8_t byte = 0;
    ar(byte);
    if (byte > 1)
    {
        throw Exception("a boolean out of range");
    }
    value = byte == 1;
}

/// @brief Makes a value of an enumeration that goes from 0 to @p last.
/// @throw cereal::Exception for another number
template <class Enum>
Enum to_enumeration(std::underlying_type_t<Enum> number, Enum last)
{
    if (number < 0 || number > static_cast<decltype(number)>(last))
    {
        throw Exception("an enumeration out of range");
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
