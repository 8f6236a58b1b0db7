// SPDX-License-Identifier: Apache-2.0
//
// What of a message is believed: its framing must leave no room for two readings, and what a request's
// headers say must fit together.
#ifndef KESTRELLINE_PROXY_FRAMING_H_
#define KESTRELLINE_PROXY_FRAMING_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "clock.h"
#include "config.h"

namespace kestrelline::proxy {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

inline constexpr std::size_t kMaxBufferedBody = 64 * 1024;  // of the protocol, either way

// True if every reader takes the same bytes for the body: at most one Content-Length, which is a number, or
// one Transfer-Encoding, which is `chunked`, never both. The parser lets unknown codings pass beside a
// length.
bool FramingIsUnambiguous(const boost::beast::http::fields& fields, unsigned version);

// A body that is taken out of its message piece by piece: room is made for what comes, never for what a
// length announces.
struct PieceBody {
  using value_type = std::string;
  class reader {
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t n = 0;
      for (const boost::asio::const_buffer piece : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(piece.data()), piece.size());
        n += piece.size();
      }
      return n;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

class Upload;

// A request as read from a client, its headers understood.
struct ClientRequest {
  HttpRequest message;             // what goes on to backends
  std::shared_ptr<Upload> upload;  // its body, where that is passed on as it comes; `due` is a guess then
  Steady::time_point due{};
  int request_class = -1;  // known also of one that is complained about, where its path tells
  int tenant = 0;
  std::uint64_t key = 0;
  bool has_hint = false, client_retry = false;
  double work_ms = 0;
};

// What a request is about, as a number; 0 for none.
std::uint64_t HashKey(std::string_view name);

struct Rejection {
  boost::beast::http::status status = boost::beast::http::status::bad_request;
  std::string text;
};

// The class that a path names; -1 if none.
int ClassOfTarget(std::string_view target, const Config& config);

// What is wrong with the header of a request whose body is still to come; nothing if it may.
std::optional<Rejection> CheckHeader(const boost::beast::http::request_header<>& header);

// Understands the headers of a request whose last byte was read at `read_at`; a complaint if it can't. Where
// the body is passed on, its framing stays as the client announced it: a length, or chunks.
std::optional<Rejection> ParseClientRequest(HttpRequest message, Steady::time_point read_at,
                                            const Config& config, ClientRequest* request,
                                            bool body_follows = false);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_FRAMING_H_
