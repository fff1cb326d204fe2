#include "safe_submitter.hpp"

#include <agatebank/core/json_reader.hpp>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

constexpr const char* step_store = "client.store";
constexpr const char* step_reserve = "client.reserve";
constexpr const char* step_submit = "client.submit";
constexpr unsigned status_created = 201;
constexpr unsigned status_running = 202;
constexpr unsigned status_busy = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr mode_t owner_only = 0600;
// Time for the response in addition to the wait for the answer.
constexpr auto response_margin = std::chrono::seconds(5);

std::string read_id(const std::string& file)
{
    std::ifstream in(file);
    std::string id;
    std::getline(in, id);
    return id;
}

// Writes a temporary file, syncs it and renames it, so that the file is either
// complete or absent after a crash.
result<void> store_id(const std::string& file, const std::string& id)
{
    const auto temporary = file + ".part";
    const auto text = id + "\n";
    const int fd =
        open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC, owner_only);
    const bool written = fd >= 0 &&
                         write(fd, text.data(), text.size()) ==
                             static_cast<ssize_t>(text.size()) &&
                         fsync(fd) == 0;
    if (fd >= 0)
    {
        close(fd);
    }
    if (!written || std::rename(temporary.c_str(), file.c_str()) != 0)
    {
        return fail(errc::log_unwritable, step_store, file,
                    std::strerror(errno));
    }
    return {};
}

std::string first_id(const std::string& body)
{
    const auto document = parse_json(body, step_reserve, {});
    if (!document || !document->is_object() ||
        !document->contains("submissions") ||
        !document->at("submissions").is_array() ||
        document->at("submissions").empty() ||
        !document->at("submissions")[0].is_string())
    {
        return {};
    }
    return document->at("submissions")[0].get<std::string>();
}

// Whether the job has no final result yet, so that the same request may be sent
// again.
bool is_retryable(unsigned status)
{
    return status == status_running || status == status_busy ||
           status >= status_bad_gateway;
}

} // namespace

safe_submitter::safe_submitter(event_loop& loop, http_client& client,
                               submission_plan plan, completion done)
    : loop_(loop)
    , client_(client)
    , plan_(std::move(plan))
    , done_(std::move(done))
{
}

void safe_submitter::start()
{
    id_ = read_id(plan_.id_file);
    if (id_.empty())
    {
        reserve();
        return;
    }
    send_job();
}

void safe_submitter::reserve()
{
    call("POST", "/v1/submissions?count=1", {},
         [this](const http_response& r)
         {
             const auto id =
                 r.status == status_created ? first_id(r.body) : std::string();
             if (id.empty())
             {
                 retry({make_error_code(errc::not_ready),
                        step_reserve,
                        {},
                        "status " + std::to_string(r.status)});
                 return;
             }
             // The id must be on disk before the job is sent.
             const auto stored = store_id(plan_.id_file, id);
             if (!stored)
             {
                 done_(tl::unexpected(stored.error()));
                 return;
             }
             id_ = id;
             send_job();
         });
}

void safe_submitter::send_job()
{
    const auto path = "/v1/submissions/" + id_ +
                      "?wait_ms=" + std::to_string(plan_.wait.count() / 1000);
    call("PUT", path, plan_.job,
         [this](const http_response& r)
         {
             if (is_retryable(r.status))
             {
                 retry({make_error_code(errc::not_ready),
                        step_submit,
                        {},
                        "status " + std::to_string(r.status)});
                 return;
             }
             done_(r);
         });
}

void safe_submitter::call(const std::string& method, const std::string& path,
                          const std::string& body,
                          std::function<void(const http_response&)> on_response)
{
    const auto index =
        static_cast<std::size_t>(attempts_) % plan_.entries.size();
    http_call rq;
    rq.method = method;
    rq.url = plan_.entries[index] + path;
    rq.headers.push_back({"Authorization", "Bearer " + plan_.token});
    rq.body = body;
    rq.timeout = plan_.wait + response_margin;
    call_ =
        client_.send(rq,
                     [this, on_response = std::move(on_response)](const auto& r)
                     {
                         if (!r)
                         {
                             retry(r.error().reason);
                             return;
                         }
                         on_response(*r);
                     });
}

void safe_submitter::retry(const failure& reason)
{
    ++attempts_;
    if (attempts_ >= plan_.max_attempts)
    {
        done_(tl::unexpected(reason));
        return;
    }
    retry_timer_ = loop_.after(plan_.retry_delay,
                               [this]
                               {
                                   if (id_.empty())
                                   {
                                       reserve();
                                       return;
                                   }
                                   send_job();
                               });
}

} // namespace agatebank
