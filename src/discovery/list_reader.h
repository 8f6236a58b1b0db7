// SPDX-License-Identifier: Apache-2.0
//
// Reads the complete backend list of the platform, page by page, over a persistent connection.
#ifndef KESTRELLINE_DISCOVERY_LIST_READER_H_
#define KESTRELLINE_DISCOVERY_LIST_READER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/asio.h"
#include "node/settings.h"
#include "wire/messages.h"

namespace kestrelline::discovery {

class ListReader {
 public:
  static constexpr int kMaxPages = 200;
  static constexpr std::size_t kMaxPageBytes = 4 * 1024 * 1024;

  ListReader(http::asio::io_context& io, node::Endpoint platform);

  // Returns nullopt if the platform does not answer in time, refuses, or sends an invalid or too long list.
  http::Awaitable<std::optional<std::vector<wire::Instance>>> Read();

 private:
  http::Awaitable<bool> Connect();
  // Returns the body of a 200 response; nullopt otherwise. Keeps stream_ open if it can be reused.
  http::Awaitable<std::optional<std::string>> Get(std::string target);

  http::asio::io_context& io_;
  node::Endpoint platform_;
  std::unique_ptr<http::beast::tcp_stream> stream_;
  http::beast::flat_buffer buffer_{http::kMaxParserBufferBytes};
};

}  // namespace kestrelline::discovery

#endif  // KESTRELLINE_DISCOVERY_LIST_READER_H_
