// SPDX-License-Identifier: Apache-2.0
//
// One connection to a backend and the attempt on it, if any. A closed connection is never reused, so that a
// response that arrives after its attempt timed out cannot be taken for another one.
#ifndef KESTRELLINE_PROXY_CONNECTION_H_
#define KESTRELLINE_PROXY_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "backends.h"
#include "clock.h"

namespace kestrelline::proxy {

class Connection : public std::enable_shared_from_this<Connection>, public BodySource {
 public:
  using Error = boost::system::error_code;
  using Tcp = boost::asio::ip::tcp;

  Connection(Backends& owner, ServerId server, std::uint64_t generation)
      : owner_(&owner), server_(server), generation_(generation), socket_(owner.io_), timer_(owner.io_) {}
  ServerId server() const { return server_; }
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }
  void Open(const Tcp::endpoint& address, Duration connect_timeout);
  void Assign(std::shared_ptr<const HttpRequest> request, std::shared_ptr<Upload> upload, Duration timeout,
              Duration hold, AttemptDone done, Backends::Wanted wanted);
  std::uint64_t use() const { return use_; }
  void Abandon(std::uint64_t use);
  // Cancels the attempt if nothing of it was written, because its backend was retired. The result is posted
  // to the event loop, so that the list update that caused it is handled first.
  void AbandonUnwritten();
  void Reuse();
  // Ends an attempt that could not start. The result is posted to the event loop.
  void PostFinish(Outcome outcome);
  // Whether the connection is open with nothing to read. Writing to a connection that the backend has closed
  // would end as a reset, after which the request may have been executed; and bytes that were sent before the
  // request must not be taken for its response.
  bool IsQuiet();
  void WatchIdle(Duration at_most);
  void Close();
  // Called when the owner is destroyed: closes the connection without reporting a result.
  void Detach();

  // The body of a streamed response.
  void Next(OnPiece on_piece) override;
  void Drop() override;

 private:
  static constexpr std::size_t kMaxResponseHeader = 16 * 1024;

  void SetTimer(Steady::time_point at);
  void WriteRequest();
  // Writes the request without its last byte. No backend can have started to execute it, whatever happens to
  // the connection.
  void WriteAllButLastByte();
  void OnRequestWritten();
  void WatchWhileHolding();
  void WriteLastByte();
  // Waits for the response. Once it has begun, it must be complete within response_read: a backend may stall
  // in the middle of a response and keep its connection open.
  void AwaitResponse();
  void ReadHeader();
  void OnHeader();
  void ReadWholeBody();
  // Reads more of a body of unknown or large size. It is buffered up to kMaxBufferedBody and streamed from
  // then on.
  void ReadBodyPiece();
  void OnBufferedRead(const Error& failed);
  // Reports the result with what was read so far; the rest follows as a BodySource. False if no body byte was
  // read yet.
  bool StartStreaming();
  void OnStreamedRead(const Error& failed);
  void FailStream();
  void Finish(Outcome outcome, HttpResponse response = {});
  void ReleaseMemory();

  // Writes the header and then the streamed request body, while the backend may already respond.
  void WriteUpload();
  void PumpUpload();
  void WriteUploadPiece(Piece piece);
  void OnUploadWriteFailed();
  bool PeerClosed();
  // The outcome of a broken connection: only if the last byte of the request was written may it have been
  // executed.
  Outcome OutcomeOfBreak() const { return request_written_ ? Outcome::kReset : Outcome::kConnectFailed; }

  Backends* owner_;
  ServerId server_;
  std::uint64_t generation_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxBufferedBody + kMaxResponseHeader};
  std::optional<boost::beast::http::response_parser<PieceBody>> parser_;
  std::shared_ptr<const HttpRequest> request_;
  // The request as written; its body refers to that of request_.
  boost::beast::http::request<boost::beast::http::span_body<const char>> header_;
  std::shared_ptr<Upload> upload_;                             // null: the body is in request_
  std::string upload_piece_;                                   // the part of it that is being written
  std::unique_ptr<kestrelline::bodies::Budget::Share> share_;  // of a streamed response
  OnPiece on_piece_;                                           // set while its next piece is requested
  AttemptDone on_done_;                                        // set while an attempt is in flight
  Backends::Wanted still_wanted_;
  std::string serialized_;  // the request, or the header of an upload, as bytes
  Steady::time_point deadline_{}, idle_since_{}, first_byte_at_{}, last_byte_at_{};
  Duration hold_{0}, timeout_{0};
  std::uint64_t use_ = 0;
  int interim_responses_ = 0;
  bool request_written_ = false, response_started_ = false, holding_last_byte_ = false, reusable_ = false,
       closed_ = false;
  bool final_header_read_ = false;  // the header of the final response was read
  bool read_in_flight_ = false;     // a read of its body is in flight
  bool streaming_ = false;          // the attempt is over; its body is being streamed
  bool stream_broken_ = false;      // the streamed body was cut off
  bool local_failure_ = false;      // the attempt failed because of this process, not the backend
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CONNECTION_H_
