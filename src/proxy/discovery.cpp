// SPDX-License-Identifier: Apache-2.0
#include "discovery.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <optional>
#include <utility>

namespace kestrelline::proxy {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMaxLine = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds kMinBackoff{50}, kMaxBackoff{500};

}  // namespace

// One watch, from connecting to its end. Optionally fetches the full list first.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Discovery& owner, const asio::ip::tcp::endpoint& address, bool fetch_full_list)
      : owner_(&owner), address_(address), fetch_full_list_(fetch_full_list), stream_(owner.io_) {}

  void Start() {
    started_at_ = std::chrono::steady_clock::now();
    stream_.expires_after(owner_->options_.call_timeout);
    stream_.async_connect(address_, [self = shared_from_this()](const Error& failed) {
      if (!self->owner_) return;
      if (failed) return self->End(failed.message());
      self->SendRequest();
    });
  }

  void Detach() {
    owner_ = nullptr;
    stream_.close();
  }

 private:
  void End(const std::string& why) {
    if (Discovery* owner = std::exchange(owner_, nullptr)) {
      stream_.close();
      owner->OnEnd(this, why);
    }
  }

  void SendRequest() {
    body_started_ = false;
    request_.method(http::verb::get);
    request_.version(11);
    const std::string from = std::to_string(owner_->options_.revision);
    request_.target(fetch_full_list_ ? "/v1/endpoints" : "/v1/endpoints?stream=1&index=" + from);
    request_.set(http::field::host, address_.address().to_string());
    http::async_write(stream_, request_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!self->owner_) return;
      if (failed) return self->End(failed.message());
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    http::async_read_header(
        stream_, buffer_, *parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
          if (!self->owner_) return;
          if (failed) return self->End(failed.message());
          if (self->parser_->get().result() != http::status::ok)
            return self->End("status " + std::to_string(self->parser_->get().result_int()));
          self->ReadSome();
        });
  }

  void ReadSome() {
    if (parser_->is_done()) return fetch_full_list_ ? ApplyFullList() : End("the service ended the watch");
    parser_->get().body().data = piece_.data();
    parser_->get().body().size = piece_.size();
    // Heartbeats count as data. The first byte must arrive within silence_timeout of the start of the call.
    const auto& silence_timeout = owner_->options_.silence_timeout;
    body_started_ ? stream_.expires_after(silence_timeout)
                  : stream_.expires_at(started_at_ + silence_timeout);
    http::async_read_some(stream_, buffer_, *parser_, [self = shared_from_this()](Error failed, std::size_t) {
      if (!self->owner_) return;
      if (failed == http::error::need_buffer) failed = {};
      const std::size_t got = self->piece_.size() - self->parser_->get().body().size;
      self->body_started_ |= got > 0;
      if (!self->ConsumePiece({self->piece_.data(), got})) return;
      if (failed) return self->End(failed.message());
      self->ReadSome();
    });
  }

  // The full list was one response. The watch continues from it, on the same connection if that stays open.
  void ApplyFullList() {
    const bool open = parser_->keep_alive();
    const std::string list = std::exchange(line_, {});
    if (!owner_->OnLine(this, list)) return End("malformed list");
    fetch_full_list_ = false;
    if (open) {
      started_at_ = std::chrono::steady_clock::now();
      stream_.expires_after(owner_->options_.call_timeout);
      return SendRequest();
    }
    stream_.close();
    buffer_.clear();
    Start();
  }

  // Returns false if the watch has ended.
  bool ConsumePiece(std::string_view piece) {
    line_ += piece;
    std::size_t from = fetch_full_list_ ? line_.size() : 0;  // a full list may contain line ends
    for (std::size_t end; (end = line_.find('\n', from)) != std::string::npos; from = end + 1) {
      const bool good = owner_->OnLine(this, std::string_view(line_).substr(from, end - from));
      if (!owner_) return false;
      if (!good) {
        End("malformed line");
        return false;
      }
    }
    if (!fetch_full_list_) line_.erase(0, from);
    if (line_.size() <= kMaxLine) return true;
    End("line too long");
    return false;
  }

  Discovery* owner_;
  const asio::ip::tcp::endpoint address_;
  bool fetch_full_list_;       // before the watch
  bool body_started_ = false;  // a byte of the response body was received
  std::chrono::steady_clock::time_point started_at_{};
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::array<char, 16384> piece_;
  std::string line_;
};

Discovery::Discovery(asio::io_context& io, Options options, OnList on_list, OnFailure on_failure)
    : io_(io),
      options_(std::move(options)),
      on_list_(std::move(on_list)),
      on_failure_(std::move(on_failure)),
      retry_timer_(io),
      jitter_(options_.seed | 1) {}

Discovery::~Discovery() {
  for (const auto& stream : {stream_, next_stream_}) {
    if (stream) stream->Detach();
  }
}

void Discovery::Watch() {
  if (moving_) return StartMove();
  retry_timer_.cancel();
  if (stream_) stream_->Detach();
  stream_ = std::make_shared<Stream>(*this, options_.address, /*whole_list_first=*/false);
  stream_->Start();
}

void Discovery::Move(const asio::ip::tcp::endpoint& address) {
  if (address == (moving_ ? next_address_ : options_.address)) return;
  moving_ = true;
  next_address_ = address;
  backoff_ = std::chrono::milliseconds(0);
  StartMove();
}

void Discovery::StartMove() {
  retry_timer_.cancel();
  if (next_stream_) next_stream_->Detach();
  next_stream_ = std::make_shared<Stream>(*this, next_address_, /*whole_list_first=*/true);
  next_stream_->Start();
}

bool Discovery::OnLine(Stream* from, std::string_view line) {
  if (line.find_first_not_of(" \r\t\n") == std::string_view::npos) return from != next_stream_.get();
  std::string why;
  const auto list = ParseMembers(line, &why);
  if (!list) {
    std::fprintf(stderr, "discovery: malformed line: %s\n", why.c_str());
    return false;
  }
  if (from == next_stream_.get()) {
    if (!list->complete) return false;
    if (stream_) stream_->Detach();
    stream_ = std::move(next_stream_);
    options_.address = next_address_;
    moving_ = false;
  }
  backoff_ = std::chrono::milliseconds(0);
  if (std::exchange(outage_logged_, false)) std::fprintf(stderr, "discovery: available again\n");
  // A change that is older than the current list must not undo it.
  if (!list->complete && list->revision < options_.revision) return true;
  options_.revision = list->revision;
  on_list_(*list);
  return true;
}

void Discovery::OnEnd(Stream* from, const std::string& why) {
  // During a move the old watch is not restored; only the new one is retried.
  if (moving_ && from == stream_.get()) return stream_.reset();
  if (!std::exchange(outage_logged_, true)) std::fprintf(stderr, "discovery: unavailable: %s\n", why.c_str());
  if (moving_) {
    next_stream_.reset();
    return RetryLater();
  }
  stream_.reset();
  if (options_.reconnect == Reconnect::kOnRequest) return on_failure_();
  RetryLater();
}

void Discovery::RetryLater() {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  jitter_ = jitter_ * 6364136223846793005u + 1442695040888963407u;  // proxies must not reconnect in lockstep
  retry_timer_.expires_after(backoff_ / 2 + backoff_ * (jitter_ >> 33) / 2 / (1ull << 31));
  retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Watch();
  });
}

}  // namespace kestrelline::proxy
