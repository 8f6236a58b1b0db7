// SPDX-License-Identifier: Apache-2.0
//
// A stand-in of the platform: the list of backends, over HTTP, in pages.
#ifndef KESTRELLINE_FLEET_STANDIN_PLATFORM_H_
#define KESTRELLINE_FLEET_STANDIN_PLATFORM_H_

#include <functional>
#include <mutex>
#include <vector>

#include "http/api_server.h"
#include "wire/messages.h"

namespace kestrelline::fleet_standin {

class Platform {
 public:
  static constexpr std::size_t kPage = 3;

  // `list` is called for every page, on the thread of `io`.
  Platform(http::asio::io_context& io, std::function<std::vector<wire::Instance>()> list);
  std::error_code Listen(const node::Endpoint& endpoint) { return server_.Listen(endpoint); }
  int calls() const;

 private:
  http::Awaitable<http::ApiResponse> Answer(http::ApiRequest request);

  std::function<std::vector<wire::Instance>()> list_;
  http::ApiServer server_;
  mutable std::mutex mutex_;
  int calls_ = 0;
};

}  // namespace kestrelline::fleet_standin

#endif  // KESTRELLINE_FLEET_STANDIN_PLATFORM_H_
