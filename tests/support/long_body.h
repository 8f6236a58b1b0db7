// SPDX-License-Identifier: Apache-2.0
//
// Bodies of any size that nobody holds: made, sent in cuts and digested as they go.
#ifndef KESTRELLINE_TESTS_SUPPORT_LONG_BODY_H_
#define KESTRELLINE_TESTS_SUPPORT_LONG_BODY_H_

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "support/client.h"

namespace kestrelline::testing {

#if defined(__SANITIZE_ADDRESS__)
inline constexpr std::size_t kLong = 1 << 20;
#else
inline constexpr std::size_t kLong = 32 << 20;
#endif

struct Digest {
  std::uint64_t bytes = 0, hash = 14695981039346656037u;
  void Add(const char* data, std::size_t n) {
    bytes += n;
    for (std::size_t i = 0; i < n; ++i) hash = (hash ^ static_cast<unsigned char>(data[i])) * 1099511628211u;
  }
  bool operator==(const Digest&) const = default;
};

enum class Form { kLength, kChunks, kEnd };

// Each byte depends on where it stands and on the seed.
class LongBody {
 public:
  LongBody(std::uint64_t seed, std::size_t bytes) : bytes_(bytes), random_(seed) {
    block_.resize(65521);
    for (char& c : block_) c = static_cast<char>(random_());
  }
  std::size_t bytes() const { return bytes_; }
  Digest digest() const {
    Digest all;
    ForEach([&](const char* data, std::size_t n) { all.Add(data, n); });
    return all;
  }
  // In pieces of at most `cut` bytes, of random sizes; false if the other side has gone. `pause` is called
  // between them.
  bool Send(Tcp::socket& socket, Form form, std::size_t cut = 65521,
            const std::function<void()>& pause = {}) {
    error_code failed;
    ForEach([&](const char* data, std::size_t n) {
      for (std::size_t at = 0; at < n && !failed;) {
        const std::size_t piece = std::min(n - at, 1 + random_() % cut);
        std::string out(data + at, piece);
        if (form == Form::kChunks) {
          char size[48];
          std::snprintf(size, sizeof size, "%zx;note=\"a;b\"\r\n", piece);
          out = size + out + "\r\n";
        }
        asio::write(socket, asio::buffer(out), failed);
        at += piece;
        if (pause) pause();
      }
    });
    if (form == Form::kChunks && !failed)
      asio::write(socket, asio::buffer(std::string("0\r\nReq-Cost: 1\r\nX-Trailer: t\r\n\r\n")), failed);
    return !failed;
  }
  std::string Framing(Form form) const {
    return form == Form::kLength   ? "Content-Length: " + std::to_string(bytes_) + "\r\n"
           : form == Form::kChunks ? "Transfer-Encoding: chunked\r\n"
                                   : "Connection: close\r\n";
  }

 private:
  template <typename F>
  void ForEach(F f) const {
    for (std::size_t at = 0; at < bytes_; at += block_.size())
      f(block_.data(), std::min(block_.size(), bytes_ - at));
  }
  std::size_t bytes_;
  std::mt19937_64 random_;
  std::string block_;
};

// A message read without being held. `whole` only if its end came as its framing says.
template <bool is_request>
struct Read {
  http::message<is_request, http::buffer_body> head;
  Digest body;
  bool whole = false;
};
// `pause` is called before each piece is read, with the bytes so far; false reads no further.
template <bool is_request>
Read<is_request> ReadLong(Tcp::socket& socket, boost::beast::flat_buffer& buffer,
                          const std::function<bool(std::uint64_t)>& pause = {}) {
  Read<is_request> read;
  http::parser<is_request, http::buffer_body> parser;
  parser.body_limit(boost::none);
  error_code failed;
  http::read_header(socket, buffer, parser, failed);
  if (failed) return read;
  std::vector<char> piece(65536);
  while (!parser.is_done()) {
    if (pause && !pause(read.body.bytes)) break;
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    http::read_some(socket, buffer, parser, failed);
    if (failed == http::error::need_buffer) failed = {};
    read.body.Add(piece.data(), piece.size() - parser.get().body().size);
    if (failed) break;
  }
  read.whole = parser.is_done() && !failed;
  read.head = std::move(parser.get());
  return read;
}

// A backend that reads bodies of any size without holding them.
class LongBackend {
 public:
  using Request = Read<true>;
  // Returns false to end the connection.
  using Answer = std::function<bool(Tcp::socket&, const Request&)>;
  explicit LongBackend(Answer answer)
      : answer_(std::move(answer)), listener_([this](Tcp::socket& s) { Serve(s); }) {}
  Tcp::endpoint address() const { return listener_.address; }

  struct Seen {
    std::vector<Request> requests;  // also those that did not come whole
    int opened = 0;
  };
  Watched<Seen> seen;
  // Whether a request is read at all, and how: see ReadLong.
  std::function<bool(std::uint64_t)> pause;

 private:
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    seen.Do([](Seen& s) { ++s.opened; });
    for (;;) {
      auto request = ReadLong<true>(socket, buffer, pause);
      if (request.head.target().empty()) return;
      seen.Do([&](Seen& s) { s.requests.push_back(request); });
      if (!answer_(socket, request)) return;
    }
  }
  Answer answer_;
  Listener listener_;
};

inline std::string Head(const std::string& kind, const std::string& id, const std::string& more) {
  return "POST /" + kind + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
         "\r\n" + (kind == "change" ? "Idempotency-Key: 7e\r\n" : "") + more + "\r\n";
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_LONG_BODY_H_
