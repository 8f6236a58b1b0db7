// SPDX-License-Identifier: Apache-2.0
#include "discovery/list_reader.h"

#include <utility>

#include "discovery/page.h"
#include "http/sockets.h"

namespace kestrelline::discovery {
namespace {

using namespace http;

constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kResponseTimeout{1000};

}  // namespace

ListReader::ListReader(asio::io_context& io, node::Endpoint platform)
    : io_(io), platform_(std::move(platform)) {}

Awaitable<bool> ListReader::Connect() {
  buffer_.clear();
  stream_ = std::make_unique<beast::tcp_stream>(io_);
  co_return !co_await http::Connect(*stream_, platform_, steady_clock::now() + kConnectTimeout);
}

Awaitable<std::optional<std::string>> ListReader::Get(std::string target) {
  if (!stream_ && !co_await Connect()) {
    stream_.reset();
    co_return std::nullopt;
  }
  bhttp::request<bhttp::empty_body> request(bhttp::verb::get, target, 11);
  request.set(bhttp::field::host, platform_.ip + ":" + std::to_string(platform_.port));
  stream_->expires_after(kResponseTimeout);
  const auto [write_error, written] = co_await bhttp::async_write(*stream_, request, kTuple);
  bhttp::response_parser<bhttp::string_body> parser;
  parser.body_limit(kMaxPageBytes);
  if (!write_error) {
    const auto [read_error, read] = co_await bhttp::async_read(*stream_, buffer_, parser, kTuple);
    if (!read_error) {
      if (!parser.get().keep_alive()) stream_.reset();
      if (parser.get().result() != bhttp::status::ok) co_return std::nullopt;
      co_return std::move(parser.get().body());
    }
  }
  stream_.reset();
  co_return std::nullopt;
}

Awaitable<std::optional<std::vector<wire::Instance>>> ListReader::Read() {
  std::vector<wire::Instance> instances;
  std::string token;
  for (int page_number = 0; page_number < kMaxPages; ++page_number) {
    std::string target = "/instances";
    if (!token.empty()) target += "?page_token=" + token;
    const bool reused = stream_ != nullptr;
    auto body = co_await Get(target);
    // A reused connection may have been closed by the platform in the meantime: try once more on a new one.
    if (!body && reused && !stream_) body = co_await Get(target);
    if (!body) co_return std::nullopt;
    auto page = ParsePage(*body);
    if (!page) co_return std::nullopt;
    std::move(page->instances.begin(), page->instances.end(), std::back_inserter(instances));
    if (page->next_token.empty()) co_return instances;
    token = std::move(page->next_token);
  }
  co_return std::nullopt;
}

}  // namespace kestrelline::discovery
