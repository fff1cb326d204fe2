#pragma once

#include <agatebank/core/ids.hpp>

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Address and port at which an entry accepts links.
struct entry_address
{
    std::string address; ///< IP address
    uint16_t port = 0;

    auto operator<=>(const entry_address&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(address, port);
    }
};

/// @brief What a process knows of one entry. Of two records with the same
/// address, the one with the higher version is newer; with equal versions, the
/// one that says the entry is gone.
struct entry_record
{
    entry_address address;
    failure_domain_name failure_domain;
    /// 0: from the settings only; raised by the entry itself, when it finds
    /// itself recorded as gone
    uint64_t version = 0;
    bool gone = false; ///< unreachable for so long that it counts as removed

    bool operator==(const entry_record&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(address, failure_domain, version, gone);
    }
};

} // namespace agatebank
