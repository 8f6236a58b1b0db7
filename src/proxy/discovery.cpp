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
#include <utility>

namespace brackenspoke::proxy {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMostLine = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds kLeastBackoff{50}, kMostBackoff{1000};

}  // namespace

// One watch, from its connection to its end.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Discovery& owner) : owner_(&owner), stream_(owner.io_) {}

  void Start() {
    Extend();
    stream_.async_connect(owner_->options_.address, [self = shared_from_this()](const Error& failed) {
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
  void Extend() { stream_.expires_after(owner_->options_.silence); }

  void End(const std::string& why) {
    if (Discovery* owner = std::exchange(owner_, nullptr)) {
      stream_.close();
      owner->OnEnd(why);
    }
  }

  void Ask() {
    request_.method(http::verb::get);
    request_.version(11);
    request_.target("/v1/endpoints?stream=1&index=" + std::to_string(owner_->options_.revision));
    request_.set(http::field::host, owner_->options_.address.address().to_string());
    http::async_write(stream_, request_, [self = shared_from_this()](const Error& failed, std::size_t) {
      if (!self->owner_) return;
      if (failed) return self->End(failed.message());
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    parser_.body_limit(boost::none);
    http::async_read_header(
        stream_, buffer_, parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
          if (!self->owner_) return;
          if (failed) return self->End(failed.message());
          if (self->parser_.get().result() != http::status::ok)
            return self->End("answer " + std::to_string(self->parser_.get().result_int()));
          self->ReadSome();
        });
  }

  void ReadSome() {
    if (parser_.is_done()) return End("the watch ended");
    parser_.get().body().data = piece_.data();
    parser_.get().body().size = piece_.size();
    Extend();  // its heartbeat is data too
    http::async_read_some(stream_, buffer_, parser_, [self = shared_from_this()](Error failed, std::size_t) {
      if (!self->owner_) return;
      if (failed == http::error::need_buffer) failed = {};
      const std::size_t got = self->piece_.size() - self->parser_.get().body().size;
      if (!self->Take({self->piece_.data(), got})) return;
      if (failed) return self->End(failed.message());
      self->ReadSome();
    });
  }

  // False when the watch is over.
  bool Take(std::string_view piece) {
    line_ += piece;
    std::size_t from = 0;
    for (std::size_t end; (end = line_.find('\n', from)) != std::string::npos; from = end + 1) {
      const bool good = owner_->OnLine(std::string_view(line_).substr(from, end - from));
      if (!owner_) return false;
      if (!good) {
        End("a garbled line");
        return false;
      }
    }
    line_.erase(0, from);
    if (line_.size() <= kMostLine) return true;
    End("a line without end");
    return false;
  }

  Discovery* owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::buffer_body> parser_;
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
  if (stream_) stream_->Orphan();
}

void Discovery::Watch() {
  again_.cancel();
  if (stream_) stream_->Orphan();
  stream_ = std::make_shared<Stream>(*this);
  stream_->Start();
}

bool Discovery::OnLine(std::string_view line) {
  if (line.find_first_not_of(" \r\t") == std::string_view::npos) return true;
  std::string why;
  const auto list = ParseMembers(line, &why);
  if (!list) {
    std::fprintf(stderr, "discovery: garbled line: %s\n", why.c_str());
    return false;
  }
  backoff_ = std::chrono::milliseconds(0);
  if (std::exchange(told_, false)) std::fprintf(stderr, "discovery: back\n");
  // A change older than the list that it would change must not undo it.
  if (!list->complete && list->revision < options_.revision) return true;
  options_.revision = list->revision;
  on_list_(*list);
  return true;
}

void Discovery::OnEnd(const std::string& why) {
  if (!std::exchange(told_, true)) std::fprintf(stderr, "discovery: away: %s\n", why.c_str());
  stream_.reset();
  if (options_.reconnect == Reconnect::kWhenAsked) return on_failure_();
  backoff_ = std::clamp(backoff_ * 2, kLeastBackoff, kMostBackoff);
  jitter_ = jitter_ * 6364136223846793005u + 1442695040888963407u;  // proxies must not come back in step
  again_.expires_after(backoff_ / 2 + backoff_ * (jitter_ >> 33) / 2 / (1ull << 31));
  again_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Watch();
  });
}

}  // namespace brackenspoke::proxy
