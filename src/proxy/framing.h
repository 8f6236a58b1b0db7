// SPDX-License-Identifier: Apache-2.0
//
// Validation of messages: their framing must be unambiguous, and the headers of a request must be consistent.
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

inline constexpr std::size_t kMaxBufferedBody =
    64 * 1024;  // maximum of the protocol; larger bodies are streamed, both ways

// True if every reader finds the same body: at most one Content-Length, which is a number, or one
// Transfer-Encoding, which is `chunked`, and never both. Guards against request smuggling: the parser accepts
// unknown codings next to a length.
bool FramingIsUnambiguous(const boost::beast::http::fields& fields, unsigned version);

// Body type for reading piece by piece. Memory is allocated for received bytes only, never for an announced
// length.
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

// A request as read from a client, with its headers parsed.
struct ClientRequest {
  HttpRequest message;             // as forwarded to backends
  std::shared_ptr<Upload> upload;  // the body, if it is streamed; `due` is then an estimate
  Steady::time_point due{};
  int request_class = -1;  // also set for a rejected request if its path names a class
  int tenant = 0;
  std::uint64_t key = 0;
  bool has_hint = false, client_retry = false;
  double work_ms = 0;
};

// Hash of the object that a request is about; 0 if the name is empty.
std::uint64_t HashKey(std::string_view name);

struct Rejection {
  boost::beast::http::status status = boost::beast::http::status::bad_request;
  std::string text;
};

// Index of the class that a request target names; -1 if none.
int ClassOfTarget(std::string_view target, const Config& config);

// Checks the header of a request before its body is read. Returns nullopt if it is acceptable.
std::optional<Rejection> CheckHeader(const boost::beast::http::request_header<>& header);

// Validates the headers of a request whose last byte was read at `read_at` and fills in `request`. Returns
// the reason if the request is rejected. With `body_follows`, the body is streamed with the framing that the
// client announced (a length, or chunks).
std::optional<Rejection> ParseClientRequest(HttpRequest message, Steady::time_point read_at,
                                            const Config& config, ClientRequest* request,
                                            bool body_follows = false);

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_FRAMING_H_
