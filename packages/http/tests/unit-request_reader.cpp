#include "../src/request_reader.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatebank;

namespace
{

constexpr request_limits limits{1000, 100};

// What is read, as one line for each request or refusal.
std::vector<std::string> read_all(request_reader& reader)
{
    std::vector<std::string> out;
    while (auto next = reader.next())
    {
        if (const auto* refusal = std::get_if<http_response>(&*next))
        {
            out.push_back(std::to_string(refusal->status));
            break;
        }
        const auto& [rq, keep_alive] = std::get<whole_request>(*next);
        out.push_back(rq.method + " " + rq.path + " " + rq.parameter("q") +
                      " " + rq.header("x-a") + " " + rq.body +
                      (keep_alive ? "" : " closes"));
    }
    return out;
}

struct row
{
    const char* name;
    std::string bytes;
    std::vector<std::string> read;
};

const std::string host = "Host: a\r\n";

const row rows[] = {
    {"a request", "GET /p HTTP/1.1\r\n" + host + "\r\n", {"GET /p   "}},
    {"a body",
     "POST /p HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc",
     {"POST /p   abc"}},
    {"two requests, the first with a body",
     "POST /p HTTP/1.1\r\n" + host + "Content-Length: 1\r\n\r\na" +
         "GET /r HTTP/1.1\r\n" + host + "\r\n",
     {"POST /p   a", "GET /r   "}},
    {"empty lines before a request",
     "\r\n\r\nGET /p HTTP/1.1\r\n" + host + "\r\n",
     {"GET /p   "}},
    {"escapes, a query and a header",
     "GET /a%20b?q=c%20d+e HTTP/1.1\r\n" + host + "X-A: 1\r\n\r\n",
     {"GET /a b c d e 1 "}},
    {"absolute form",
     "GET http://h:1/p?q=1 HTTP/1.1\r\n" + host + "\r\n",
     {"GET /p 1  "}},
    {"absolute form without a path",
     "GET http://h HTTP/1.1\r\n" + host + "\r\n",
     {"GET /   "}},
    {"the last request",
     "GET /p HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n",
     {"GET /p    closes"}},
    {"version 1.0", "GET /p HTTP/1.0\r\n\r\n", {"GET /p    closes"}},
    {"invalid escape", "GET /a%zz HTTP/1.1\r\n" + host + "\r\n", {"400"}},
    {"escaped zero", "GET /a%00b HTTP/1.1\r\n" + host + "\r\n", {"400"}},
    {"no path", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", {"400"}},
    {"no host", "GET /p HTTP/1.1\r\n\r\n", {"400"}},
    {"two hosts", "GET /p HTTP/1.1\r\n" + host + host + "\r\n", {"400"}},
    {"two lengths",
     "POST /p HTTP/1.1\r\n" + host +
         "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     {"400"}},
    {"chunks",
     "POST /p HTTP/1.1\r\n" + host +
         "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
     {"411"}},
    {"another transfer encoding",
     "POST /p HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\nabc",
     {"411"}},
    {"body over the limit",
     "POST /p HTTP/1.1\r\n" + host + "Content-Length: 101\r\n\r\n",
     {"413"}},
    {"head over the limit",
     "GET /p HTTP/1.1\r\n" + host + "X: " + std::string(2000, 'x') + "\r\n\r\n",
     {"431"}},
    {"not whole",
     "POST /p HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nab",
     {}}};

} // namespace

TEST_CASE("request_reader: bytes are read as the same requests however they "
          "are split")
{
    for (const auto& row : rows)
    {
        for (std::size_t n = 1; n <= row.bytes.size(); ++n)
        {
            INFO(row.name << ", " << n << " bytes at a time");
            request_reader reader(limits);
            std::vector<std::string> read;
            for (std::size_t i = 0; i < row.bytes.size(); i += n)
            {
                reader.append(std::string_view(row.bytes).substr(i, n));
                const auto more = read_all(reader);
                read.insert(read.end(), more.begin(), more.end());
                if (!more.empty() && more.back().size() == 3)
                {
                    break; // refused
                }
            }
            CHECK(read == row.read);
        }
    }
}

TEST_CASE("request_reader: a client is told to send its body once")
{
    request_reader reader(limits);
    reader.append("POST /p HTTP/1.1\r\n" + host +
                  "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    CHECK_FALSE(reader.next());
    CHECK(reader.take_continue_request());
    CHECK_FALSE(reader.take_continue_request());
    reader.append("abc");
    CHECK(read_all(reader) == std::vector<std::string>{"POST /p   abc"});
    CHECK_FALSE(reader.take_continue_request());
}
