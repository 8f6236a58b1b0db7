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

constexpr std::size_t kMostLine = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds kLeastBackoff{50}, kMostBackoff{500};

}  // namespace

// One watch, from its connection to its end. It may take the whole list before it begins.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Discovery& owner, const asio::ip::tcp::endpoint& address, bool whole_list_first)
      : owner_(&owner), address_(address), whole_list_(whole_list_first), stream_(owner.io_) {}

  void Start() {
    called_at_ = std::chrono::steady_clock::now();
    stream_.expires_after(owner_->options_.call);
    stream_.async_connect(address_, [self = shared_from_this()](const Error& failed) {
      if (!self->owner_) return;
      if (failed) return self->End(failed.message());
      self->Ask();
    });
  }

  void Orphan() {
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

  void Ask() {
    spoke_ = false;
    request_.method(http::verb::get);
    request_.version(11);
    const std::string from = std::to_string(owner_->options_.revision);
    request_.target(whole_list_ ? "/v1/endpoints" : "/v1/endpoints?stream=1&index=" + from);
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
            return self->End("answer " + std::to_string(self->parser_->get().result_int()));
          self->ReadSome();
        });
  }

  void ReadSome() {
    if (parser_->is_done()) return whole_list_ ? TakeWholeList() : End("the watch ended");
    parser_->get().body().data = piece_.data();
    parser_->get().body().size = piece_.size();
    // Its heartbeat is data too; before the first byte it is a call yet.
    const auto& silence = owner_->options_.silence;
    spoke_ ? stream_.expires_after(silence) : stream_.expires_at(called_at_ + silence);
    http::async_read_some(stream_, buffer_, *parser_, [self = shared_from_this()](Error failed, std::size_t) {
      if (!self->owner_) return;
      if (failed == http::error::need_buffer) failed = {};
      const std::size_t got = self->piece_.size() - self->parser_->get().body().size;
      self->spoke_ |= got > 0;
      if (!self->Take({self->piece_.data(), got})) return;
      if (failed) return self->End(failed.message());
      self->ReadSome();
    });
  }

  // The list came as one answer; the watch goes on from it, on the same connection if that stays open.
  void TakeWholeList() {
    const bool open = parser_->keep_alive();
    const std::string list = std::exchange(line_, {});
    if (!owner_->OnLine(this, list)) return End("a garbled list");
    whole_list_ = false;
    if (open) {
      called_at_ = std::chrono::steady_clock::now();
      stream_.expires_after(owner_->options_.call);
      return Ask();
    }
    stream_.close();
    buffer_.clear();
    Start();
  }

  // False when the watch is over.
  bool Take(std::string_view piece) {
    line_ += piece;
    std::size_t from = whole_list_ ? line_.size() : 0;  // a whole list may hold line ends
    for (std::size_t end; (end = line_.find('\n', from)) != std::string::npos; from = end + 1) {
      const bool good = owner_->OnLine(this, std::string_view(line_).substr(from, end - from));
      if (!owner_) return false;
      if (!good) {
        End("a garbled line");
        return false;
      }
    }
    if (!whole_list_) line_.erase(0, from);
    if (line_.size() <= kMostLine) return true;
    End("a line without end");
    return false;
  }

  Discovery* owner_;
  const asio::ip::tcp::endpoint address_;
  bool whole_list_;     // is to be taken first
  bool spoke_ = false;  // something of the answer's body has come
  std::chrono::steady_clock::time_point called_at_{};
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
      again_(io),
      jitter_(options_.seed | 1) {}

Discovery::~Discovery() {
  for (const auto& stream : {stream_, next_}) {
    if (stream) stream->Orphan();
  }
}

void Discovery::Watch() {
  if (moving_) return StartMove();
  again_.cancel();
  if (stream_) stream_->Orphan();
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
  again_.cancel();
  if (next_) next_->Orphan();
  next_ = std::make_shared<Stream>(*this, next_address_, /*whole_list_first=*/true);
  next_->Start();
}

bool Discovery::OnLine(Stream* from, std::string_view line) {
  if (line.find_first_not_of(" \r\t\n") == std::string_view::npos) return from != next_.get();
  std::string why;
  const auto list = ParseMembers(line, &why);
  if (!list) {
    std::fprintf(stderr, "discovery: garbled line: %s\n", why.c_str());
    return false;
  }
  if (from == next_.get()) {
    if (!list->complete) return false;
    if (stream_) stream_->Orphan();
    stream_ = std::move(next_);
    options_.address = next_address_;
    moving_ = false;
  }
  backoff_ = std::chrono::milliseconds(0);
  if (std::exchange(told_, false)) std::fprintf(stderr, "discovery: back\n");
  // A change older than the list that it would change must not undo it.
  if (!list->complete && list->revision < options_.revision) return true;
  options_.revision = list->revision;
  on_list_(*list);
  return true;
}

void Discovery::OnEnd(Stream* from, const std::string& why) {
  // After a move nothing is lost with the old watch: only the new one is tried again.
  if (moving_ && from == stream_.get()) return stream_.reset();
  if (!std::exchange(told_, true)) std::fprintf(stderr, "discovery: away: %s\n", why.c_str());
  if (moving_) {
    next_.reset();
    return RetryLater();
  }
  stream_.reset();
  if (options_.reconnect == Reconnect::kWhenAsked) return on_failure_();
  RetryLater();
}

void Discovery::RetryLater() {
  backoff_ = std::clamp(backoff_ * 2, kLeastBackoff, kMostBackoff);
  jitter_ = jitter_ * 6364136223846793005u + 1442695040888963407u;  // proxies must not come back in step
  again_.expires_after(backoff_ / 2 + backoff_ * (jitter_ >> 33) / 2 / (1ull << 31));
  again_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Watch();
  });
}

}  // namespace kestrelline::proxy
