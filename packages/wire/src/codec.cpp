#include <agatebank/wire/codec.hpp>

#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/stream.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>

#include <sstream>

namespace agatebank
{

namespace
{

constexpr const char* step_decode = "wire.decode";

using memory_stream = boost::iostreams::stream<boost::iostreams::array_source>;

template <class Message>
std::string encode_any(const hybrid_stamp& stamp, const Message& m)
{
    std::ostringstream os;
    {
        cereal::PortableBinaryOutputArchive ar(os);
        ar(stamp, m);
    }
    return std::move(os).str();
}

template <class Message>
result<stamped<Message>> decode_any(std::string_view bytes)
{
    try
    {
        memory_stream is(bytes.data(), bytes.size());
        stamped<Message> out;
        {
            cereal::PortableBinaryInputArchive ar(is);
            ar(out.stamp, out.body);
        }
        if (is.peek() != memory_stream::traits_type::eof())
        {
            return fail(errc::message_malformed, step_decode, {},
                        "unexpected bytes after the message");
        }
        return out;
    }
    catch (const std::exception& e)
    {
        return fail(errc::message_malformed, step_decode, {}, e.what());
    }
}

} // namespace

std::string encode(const hybrid_stamp& stamp, const message& m)
{
    return encode_any(stamp, m);
}

std::string encode(const hybrid_stamp& stamp, const entry_announcement& a)
{
    return encode_any(stamp, a);
}

result<stamped<message>> decode_message(std::string_view bytes)
{
    return decode_any<message>(bytes);
}

result<stamped<entry_announcement>> decode_announcement(std::string_view bytes)
{
    return decode_any<entry_announcement>(bytes);
}

} // namespace agatebank
