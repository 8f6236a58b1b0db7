// SPDX-License-Identifier: Apache-2.0
//
// Registry of requests that this proxy has read and not answered completely. Those left at process exit are
// lost to their clients.
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

// Progress of a request.
enum class RequestStage {
  kRead,           // read completely, not sent to any backend
  kForwarded,      // sent, or possibly sent, to a backend
  kResponseBegun,  // the client has received part of the response
};
const char* Name(RequestStage stage);

struct OpenRequest {
  std::string id;  // Request-Id from the client
  std::chrono::steady_clock::time_point read_at;
  std::size_t earlier_on_connection = 0;  // number of requests read before on the same connection
  RequestStage stage = RequestStage::kRead;
  std::int64_t output_tokens = 0;  // from the `Token-Count` header
  // Events forwarded to the client.
  std::optional<std::chrono::steady_clock::time_point> first_event_at = std::nullopt;
  std::optional<std::chrono::steady_clock::time_point> last_event_at = std::nullopt;
  int events = 0;  // events forwarded together count as one
  // Answers the request now, with an error if there is no response. A started response continues.
  std::function<void()> finalize;
};

// Log fields of a request that is not answered completely, such as `request_id=r1 stage=read
// read_after_term_ms=12 ...`. Times are in ms; -1 if the event did not happen.
std::string LogFields(const OpenRequest& request, std::chrono::steady_clock::time_point now,
                      std::chrono::steady_clock::time_point term_at);

class OpenRequests {
 public:
  // Owned by the request's RequestFlow, which may outlive this registry at process exit.
  using Handle = std::shared_ptr<OpenRequest>;

  Handle Add(OpenRequest request) {
    auto handle = std::make_shared<OpenRequest>(std::move(request));
    entries_.push_back(handle);
    return handle;
  }
  // Oldest first.
  std::vector<Handle> Entries() {
    std::vector<Handle> open;
    for (const std::weak_ptr<OpenRequest>& entry : entries_) {
      if (Handle handle = entry.lock()) open.push_back(std::move(handle));
    }
    return open;
  }
  // Removes finished requests.
  void Tick() {
    std::erase_if(entries_, [](const std::weak_ptr<OpenRequest>& entry) { return entry.expired(); });
  }

 private:
  std::vector<std::weak_ptr<OpenRequest>> entries_;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_OPEN_REQUESTS_H_
