// SPDX-License-Identifier: Apache-2.0
//
// One connection to a backend and the attempt on it, if any. Once closed it is never used again, so that an
// answer which comes after its attempt's time-out has nowhere to go.
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
  // Its server is to get nothing new. The result comes from the event loop: the news go first.
  void AbandonUnwritten();
  void Reuse();
  // An attempt that ends before it has begun; its result still comes from the event loop.
  void PostFinish(Outcome outcome);
  // Open, with nothing to read. Guards against writing to a connection that the backend has closed in the
  // meantime, which would end as a reset that may have run, and against taking for an answer what was sent
  // before the request.
  bool IsQuiet();
  void WatchIdle(Duration at_most);
  void Close();
  // The owner goes: nothing may be reported any more.
  void Detach();

  // Of an answer that passes in pieces.
  void Next(OnPiece on_piece) override;
  void Drop() override;

 private:
  static constexpr std::size_t kMaxResponseHeader = 16 * 1024;

  void SetTimer(Steady::time_point at);
  void WriteRequest();
  // All but the last byte: no backend can have begun with it, whatever becomes of the connection.
  void WriteAllButLastByte();
  void OnRequestWritten();
  void WatchWhileHolding();
  void WriteLastByte();
  // An answer that has begun comes whole soon, or not at all: its connection may stay open and silent.
  void AwaitResponse();
  void ReadHeader();
  void OnHeader();
  void ReadWholeBody();
  // The answer in pieces: as long as it may be small it is gathered, and then passes.
  void ReadBodyPiece();
  void OnBufferedRead(const Error& failed);
  // From here on the answer is the client's, piece by piece. False if there is nothing of it to pass.
  bool StartStreaming();
  void OnStreamedRead(const Error& failed);
  void FailStream();
  void Finish(Outcome outcome, HttpResponse response = {});
  void ReleaseMemory();

  // The request's body as it comes; meanwhile the server may say something.
  void WriteUpload();
  void PumpUpload();
  void WriteUploadPiece(Piece piece);
  void OnUploadWriteFailed();
  bool PeerClosed();
  // What a break proves, by whether the request's last byte was written.
  Outcome OutcomeOfBreak() const { return request_written_ ? Outcome::kReset : Outcome::kConnectFailed; }

  Backends* owner_;
  ServerId server_;
  std::uint64_t generation_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMaxBufferedBody + kMaxResponseHeader};
  std::optional<boost::beast::http::response_parser<PieceBody>> parser_;
  std::shared_ptr<const HttpRequest> request_;
  // The request as it is written; its body is request_'s.
  boost::beast::http::request<boost::beast::http::span_body<const char>> header_;
  std::shared_ptr<Upload> upload_;                             // null: the body is request_'s
  std::string upload_piece_;                                   // of it, that is being written
  std::unique_ptr<kestrelline::bodies::Budget::Share> share_;  // of an answer that passes
  OnPiece on_piece_;                                           // its next piece
  AttemptDone on_done_;                                        // set while an attempt is out
  Backends::Wanted still_wanted_;
  std::string serialized_;  // the same as bytes, where its last one is held back
  Steady::time_point deadline_{}, idle_since_{}, first_byte_at_{}, last_byte_at_{};
  Duration hold_{0}, timeout_{0};
  std::uint64_t use_ = 0;
  int interim_responses_ = 0;
  bool request_written_ = false, response_started_ = false, holding_last_byte_ = false, reusable_ = false,
       closed_ = false;
  bool final_header_read_ = false;  // the head of the final answer has come
  bool read_in_flight_ = false;     // a piece of it is on its way
  bool streaming_ = false;          // it is the client's by now, and its attempt is over
  bool stream_broken_ = false;      // the rest of it will not come
  bool local_failure_ = false;      // no server is to blame for the end, but this process
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_CONNECTION_H_
