// SPDX-License-Identifier: Apache-2.0
//
// Aliases for Boost.Asio and Boost.Beast, which the fleet's programs use with coroutines on one thread.
#ifndef KESTRELLINE_HTTP_ASIO_H_
#define KESTRELLINE_HTTP_ASIO_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>

namespace kestrelline::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

template <typename T>
using Awaitable = asio::awaitable<T>;
// Limit of the buffer that a parser reads from. With more, Boost.Beast 1.81 throws out of the io_context for
// a header field longer than it can count; with this limit such a field fails with `buffer_overflow`.
inline constexpr std::size_t kMaxParserBufferBytes = 65532;
// Completion token: the error is the first value of the result, rather than an exception.
inline constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace kestrelline::http

#endif  // KESTRELLINE_HTTP_ASIO_H_
