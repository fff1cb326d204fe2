#include <agatebank/wire/frame_codec.hpp>

#include <glib.h>

#include <utility>

namespace agatebank
{

namespace
{

std::string random_nonce()
{
    std::string out(nonce_bytes, '\0');
    for (auto& c : out)
    {
        c = static_cast<char>(g_random_int() & 0xffU);
    }
    return out;
}

std::string encode_length(uint64_t n)
{
    return encode_number(n, frame_length_bytes);
}

} // namespace

std::string encode_number(uint64_t n, std::size_t bytes)
{
    std::string out(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i)
    {
        out[i] = static_cast<char>((n >> (8 * i)) & 0xffU);
    }
    return out;
}

uint64_t decode_number(std::string_view bytes)
{
    uint64_t n = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        n |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i]))
             << (8 * i);
    }
    return n;
}

frame_codec::frame_codec(const authenticator& auth)
    : auth_(auth), local_nonce_(random_nonce())
{
}

void frame_codec::set_remote_nonce(std::string nonce)
{
    remote_nonce_ = std::move(nonce);
}

std::string frame_codec::encode(std::string_view payload)
{
    const auto tag = auth_.tag(
        remote_nonce_ + local_nonce_ + encode_length(frames_sent_), payload);
    ++frames_sent_;
    auto out = encode_length(tag.size() + payload.size());
    out += tag;
    out += payload;
    return out;
}

std::optional<std::string_view> frame_codec::decode(std::string_view frame)
{
    const auto tag = frame.substr(0, auth_.tag_bytes());
    const auto payload = frame.substr(tag.size());
    const auto position = encode_length(frames_received_);
    ++frames_received_;
    if (!auth_.verify(local_nonce_ + remote_nonce_ + position, payload, tag))
    {
        return std::nullopt;
    }
    return payload;
}

const std::string& frame_codec::local_nonce() const noexcept
{
    return local_nonce_;
}

bool frame_codec::has_remote_nonce() const noexcept
{
    return !remote_nonce_.empty();
}

} // namespace agatebank
