// SPDX-License-Identifier: Apache-2.0
//
// One client connection: reads a request, waits for its response, writes that and reads the next request.
#ifndef KESTRELLINE_PROXY_SESSION_H_
#define KESTRELLINE_PROXY_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bodies/minimum_rate.h"
#include "clients.h"
#include "upload.h"

namespace kestrelline::proxy {

class Session : public std::enable_shared_from_this<Session>, public Responder {
 public:
  using Error = boost::system::error_code;
  using Tcp = boost::asio::ip::tcp;

  // `serial`: sequence number of the connection in this process.
  Session(Clients& owner, Tcp::socket socket, std::uint64_t serial)
      : owner_(&owner), socket_(std::move(socket)), serial_(serial) {}

  std::list<std::shared_ptr<Session>>::iterator position;

  void Start();

  // Between requests, with no byte of the next one received.
  bool Idle() const;
  bool Reading() const { return state_ == State::kAwaitingRequest || state_ == State::kReading; }
  bool AwaitsResponse() const { return state_ == State::kAwaitingResponse; }
  // Whether a response, or the rest of one, is still to be sent.
  bool OwesResponse() const { return AwaitsResponse() || state_ == State::kWriting; }
  // The last response is written; the client has not closed yet.
  bool Lingering() const { return state_ == State::kLingering; }
  bool LingeringSince(Steady::time_point at) const { return Lingering() && state_since_ <= at; }
  bool Closed() const { return state_ == State::kClosed; }
  // Idle since `at` or earlier: IdleSince is for connections that have sent a request before, UnusedSince for
  // others.
  bool IdleSince(Steady::time_point at) const { return has_sent_request_ && state_since_ <= at && Idle(); }
  bool UnusedSince(Steady::time_point at) const { return !has_sent_request_ && state_since_ <= at && Idle(); }

  // Ends the connection if its state has timed out.
  void EnforceTimeout(Steady::time_point now);
  // While the process drains: closes an idle connection or rejects a half-read request, when Life says so.
  void CloseIfDraining(Steady::time_point now);
  void Close();
  void Detach();

  void Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
              std::optional<std::uint64_t> length) override;
  void Refused(Duration retry_after) override;
  void Failed() override;
  void Rejected(boost::beast::http::status status) override;
  bool ClientClosed() const override;

  // Polls for a disconnect that is hidden behind unread pipelined bytes.
  void CheckForDisconnect();

 private:
  static constexpr std::size_t kMaxRequestHeader = 16 * 1024;

  // kAwaitingRequest: for the first byte; kReading: for the last; kLingering: the last response is written.
  enum class State { kAwaitingRequest, kReading, kAwaitingResponse, kWriting, kLingering, kClosed };

  using Parser = boost::beast::http::request_parser<PieceBody>;

  const Timeouts& timeouts() const;

  void EnterState(State state, std::optional<Steady::duration> timeout);
  void AwaitRequest(Steady::duration timeout);
  void BeginRequest();
  void ReadHeader();
  bool SkipEmptyLines();
  void OnHeader();
  void ReleaseMemory();
  void SendContinue();
  void ReadBody();
  // A large body: its first bytes are buffered, and the rest is read on demand.
  void ReadBodyStart();
  bool ReserveFor(std::size_t body);
  void BeginUpload();
  void ReadUploadPiece();
  void OnUploadPiece(const Error& failed);
  void AbortUpload(boost::beast::http::status status, const char* text);
  std::optional<ClientRequest> ParseRequest(std::string body, bool whole, Steady::time_point at);
  void SubmitRequest(ClientRequest request);
  void OnReadError(const Error& failed);
  void OnRead(Steady::time_point at);
  void WatchForDisconnect();
  void OnDisconnect();
  void ReadAhead();
  void FinishRequest();
  void Reject(boost::beast::http::status status, std::string text);
  void RejectForMemory();
  void Write(HttpResponse response);
  void BeginResponse(Steady::duration timeout);
  void AfterResponse(bool failed);
  // A response with a streamed body.
  void StreamResponse(HttpResponse head, std::shared_ptr<BodySource> rest,
                      std::optional<std::uint64_t> length);
  void AppendPiece(std::string_view bytes, bool last);
  void WriteStream();
  void ResetConnection();
  void LingeringClose();
  void DiscardInput();

  Clients* owner_;
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMaxBufferedBody + kMaxRequestHeader};
  std::optional<Parser> parser_;
  boost::beast::http::request_header<> header_;  // of the current request
  HttpResponse response_;
  const std::uint64_t serial_;
  RequestId request_ = 0;
  int class_ = -1;                  // class of the current request; -1: unknown
  bool counted_active_ = false;     // the current request is counted as active
  std::shared_ptr<Upload> upload_;  // the streamed body of the current request
  kestrelline::bodies::MinimumRate rate_{{}, 1};
  Steady::time_point read_started_{};   // of the current read of the upload
  std::shared_ptr<BodySource> source_;  // of a streamed response
  std::string stream_buffer_;           // the part of it that is being written
  std::size_t stream_written_ = 0;      // bytes of stream_buffer_
  bool chunked_ = false, stream_ends_ = false;
  bool head_only_ = false, http_1_0_ = false;  // HEAD request; HTTP/1.0 client
  std::vector<char> discard_buffer_;           // for input that is read and ignored
  std::size_t discarded_bytes_ = 0, reserved_bytes_ = 0, empty_line_bytes_ = 0;
  State state_ = State::kAwaitingRequest;
  Steady::time_point state_since_{}, deadline_{};  // of the current state
  bool has_sent_request_ = false;                  // a complete request was read before
  bool body_complete_ = false;                     // the current request was read completely
  bool poll_for_disconnect_ = false;               // a disconnect is only found by CheckForDisconnect
  bool close_after_response_ = false;              // the connection closes after the current response
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_SESSION_H_
