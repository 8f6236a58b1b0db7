// SPDX-License-Identifier: Apache-2.0
//
// Reads the platform's whole list of backends, page by page, on a connection that is kept.
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
  static constexpr int kMostPages = 200;
  static constexpr std::size_t kLongestPage = 4 * 1024 * 1024;

  ListReader(http::asio::io_context& io, node::Endpoint platform);

  // Nothing if the platform did not answer in time, or refused.
  http::Awaitable<std::optional<std::vector<wire::Instance>>> Read();

 private:
  http::Awaitable<bool> Connect();
  http::Awaitable<std::optional<std::string>> Get(std::string target);

  http::asio::io_context& io_;
  node::Endpoint platform_;
  std::unique_ptr<http::beast::tcp_stream> stream_;
  http::beast::flat_buffer buffer_{http::kMaxParserBufferBytes};
};

}  // namespace kestrelline::discovery

#endif  // KESTRELLINE_DISCOVERY_LIST_READER_H_
