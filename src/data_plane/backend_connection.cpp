// SPDX-License-Identifier: Apache-2.0
#include "data_plane/backend_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "http/sockets.h"
#include "node/settings.h"

namespace kestrelline::data_plane {
namespace {

using namespace http;

constexpr int kMaxSkippedResponses = 2;  // late responses to earlier requests
constexpr int kMaxInterimResponses = 8;  // 1xx, before the final response
constexpr unsigned kFirstFinalStatus = 200;
constexpr milliseconds kDefaultIdleTimeout{4000};  // if the backend announces no Keep-Alive timeout
constexpr std::chrono::seconds kMaxIdleTimeout{3600};
constexpr milliseconds kIdleTimeoutMargin{700};  // closed this long before the backend would close it

// Parses `timeout=N` of a Keep-Alive header; N is in seconds.
std::optional<milliseconds> KeepAliveTimeout(std::string_view text) {
  constexpr std::string_view kField = "timeout=";
  const std::size_t position = text.find(kField);
  if (position == std::string_view::npos) return std::nullopt;
  int seconds = 0;
  const char* const begin = text.data() + position + kField.size();
  if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc()) return std::nullopt;
  return std::clamp(std::chrono::seconds(seconds), std::chrono::seconds(0), kMaxIdleTimeout);
}

}  // namespace

BackendConnection::BackendConnection(asio::io_context& io, std::string address)
    : stream_(io), address_(std::move(address)) {}

Awaitable<error_code> BackendConnection::Connect(steady_clock::time_point deadline) {
  const auto endpoint = node::ParseEndpoint(address_);
  if (!endpoint) co_return asio::error::invalid_argument;
  co_return co_await http::Connect(stream_, *endpoint, deadline);
}

Awaitable<error_code> BackendConnection::Send(const std::string& head, const std::string& body,
                                              steady_clock::time_point deadline) {
  reusable_ = false;
  skipped_responses_ = 0;
  response_has_no_body_ = head.starts_with("HEAD ");
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(body)};
  stream_.expires_at(deadline);
  const auto [error, written] = co_await asio::async_write(stream_, buffers, kTuple);
  co_return error;
}

Awaitable<error_code> BackendConnection::ReadHead(const std::string& request_id,
                                                  steady_clock::time_point deadline) {
  int interim_responses = 0;
  while (skipped_responses_ <= kMaxSkippedResponses && interim_responses <= kMaxInterimResponses) {
    parser_.emplace();
    parser_->skip(response_has_no_body_);
    parser_->header_limit(static_cast<std::uint32_t>(kMaxHeaderBytes));
    parser_->body_limit(boost::none);
    stream_.expires_at(deadline);
    const auto [error, read] = co_await bhttp::async_read_header(stream_, buffer_, *parser_, kTuple);
    if (error) co_return error;
    const bool interim = parser_->get().result_int() < kFirstFinalStatus;
    interim_responses += interim;
    if (interim) continue;
    const std::string_view id = parser_->get()["Request-Id"];
    if (id == request_id) co_return error_code();
    ++skipped_responses_;
    std::string chunk;
    do {
      const error_code failed = co_await ReadChunk(chunk, deadline);
      if (failed) co_return failed;
    } while (!chunk.empty());
  }
  co_return bhttp::error::unexpected_body;  // none of them was the response that is due
}

Awaitable<error_code> BackendConnection::ReadChunk(std::string& chunk, steady_clock::time_point deadline) {
  chunk.clear();
  while (!parser_->is_done() && chunk.empty()) {
    chunk_.resize(kReadChunkBytes);
    auto& body = parser_->get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    stream_.expires_at(deadline);
    auto [error, read] = co_await bhttp::async_read_some(stream_, buffer_, *parser_, kTuple);
    if (error == bhttp::error::need_buffer) error = {};
    if (error) co_return error;
    chunk.assign(chunk_.data(), chunk_.size() - body.size);
    if (const error_code invalid = ParseBuffered(chunk)) co_return invalid;
  }
  if (parser_->is_done()) UpdateIdleDeadline();
  co_return error_code();
}

// Appends what else of the body has arrived already, so that whoever checks it sees all of it at once.
error_code BackendConnection::ParseBuffered(std::string& chunk) {
  while (!parser_->is_done() && buffer_.size() > 0 && chunk.size() < kReadChunkBytes) {
    auto& body = parser_->get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    error_code error;
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    chunk.append(chunk_.data(), chunk_.size() - body.size);
    if (error == bhttp::error::need_more || consumed == 0) break;
    if (error && error != bhttp::error::need_buffer) return error;
  }
  return {};
}

void BackendConnection::UpdateIdleDeadline() {
  reusable_ = parser_->get().keep_alive() && buffer_.size() == 0;
  const auto announced = KeepAliveTimeout(parser_->get()[bhttp::field::keep_alive]);
  idle_deadline_ = steady_clock::now() + (announced ? *announced - kIdleTimeoutMargin : kDefaultIdleTimeout);
}

bool BackendConnection::EndIsInDoubt() const {
  constexpr std::string_view kResponseStart = "HTTP/";
  if (!HasSurplusBytes()) return false;
  const auto bytes = buffer_.cdata();
  const std::string_view surplus(static_cast<const char*>(bytes.data()), bytes.size());
  const std::size_t compared = std::min(surplus.size(), kResponseStart.size());
  return surplus.substr(0, compared) != kResponseStart.substr(0, compared);
}

bool BackendConnection::Reusable() const {
  return reusable_ && complete() && idle_deadline_ > steady_clock::now();
}

bool BackendConnection::IsOpenAndSilent() {
  return stream_.socket().is_open() && Peek(stream_.socket()) == Peeked::kNothing;
}

void BackendConnection::Abort() {
  reusable_ = false;
  stream_.close();
}

BackendConnectionPtr ConnectionPool::AcquireIdle(const std::string& instance) {
  const auto entry = idle_.find(instance);
  if (entry == idle_.end()) return nullptr;
  auto& idle = entry->second;
  while (!idle.empty()) {
    BackendConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (connection->Reusable() && connection->IsOpenAndSilent()) return connection;
  }
  return nullptr;
}

BackendConnectionPtr ConnectionPool::Create(const std::string& address) {
  return std::make_shared<BackendConnection>(io_, address);
}

void ConnectionPool::Release(const std::string& instance, BackendConnectionPtr connection) {
  if (!connection->Reusable()) return;
  auto& idle = idle_[instance];
  if (idle.size() >= kMaxIdlePerBackend) idle.pop_front();
  idle.push_back(std::move(connection));
}

void ConnectionPool::Tick() {
  const auto now = steady_clock::now();
  for (auto& [instance, idle] : idle_) {
    std::erase_if(
        idle, [now](const BackendConnectionPtr& connection) { return connection->idle_deadline() <= now; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace kestrelline::data_plane
