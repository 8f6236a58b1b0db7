// SPDX-License-Identifier: Apache-2.0
//
// The requests that this proxy has read and not answered in full yet. What is left of them when the process
// ends is what its clients lose.
#ifndef KESTRELLINE_DATA_PLANE_OPEN_REQUESTS_H_
#define KESTRELLINE_DATA_PLANE_OPEN_REQUESTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kestrelline::data_plane {

// How far a request has come.
enum class RequestStage {
  kRead,         // whole, and sent to no backend
  kPassedOn,     // a backend has it, or may have it
  kAnswerBegun,  // the client has got a part of its answer
};
const char* Name(RequestStage stage);

struct OpenRequest {
  std::string id;  // Request-Id, as the client sent it
  std::chrono::steady_clock::time_point read_at;
  std::size_t earlier_on_connection = 0;  // requests that were read on the same connection before
  RequestStage stage = RequestStage::kRead;
  std::int64_t output_tokens = 0;  // that its `Token-Count` announces
  // Events of its answer, as they went on to the client.
  std::optional<std::chrono::steady_clock::time_point> first_event_at = std::nullopt;
  std::optional<std::chrono::steady_clock::time_point> last_event_at = std::nullopt;
  int events = 0;  // those that came together count as one
  // Answers it now, with an error if there is nothing else; an answer that has begun goes on.
  std::function<void()> conclude;
};

// Log fields of a request that is not answered in full, such as `request_id=r1 stage=read
// read_after_term_ms=12 ...`; times in ms, -1 for what did not happen.
std::string LogFields(const OpenRequest& request, std::chrono::steady_clock::time_point now,
                      std::chrono::steady_clock::time_point term_at);

class OpenRequests {
 public:
  // Owned by the request's flow: a flow may outlive this registry, when the process ends.
  using Handle = std::shared_ptr<OpenRequest>;

  Handle Add(OpenRequest request) {
    auto handle = std::make_shared<OpenRequest>(std::move(request));
    entries_.push_back(handle);
    return handle;
  }
  // The earliest first.
  std::vector<Handle> Entries() {
    std::vector<Handle> open;
    for (const std::weak_ptr<OpenRequest>& entry : entries_) {
      if (Handle handle = entry.lock()) open.push_back(std::move(handle));
    }
    return open;
  }
  // Forgets those that have ended.
  void Tick() {
    std::erase_if(entries_, [](const std::weak_ptr<OpenRequest>& entry) { return entry.expired(); });
  }

 private:
  std::vector<std::weak_ptr<OpenRequest>> entries_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_OPEN_REQUESTS_H_
