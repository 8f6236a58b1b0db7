// SPDX-License-Identifier: Apache-2.0
//
// One connection of a client, from its accept to its end: reads a request, holds it until its one answer is
// there, writes that, waits for the next.
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

#include "bodies/pace.h"
#include "clients.h"
#include "upload.h"

namespace kestrelline::proxy {

class Session : public std::enable_shared_from_this<Session>, public Responder {
 public:
  using Error = boost::system::error_code;
  using Tcp = boost::asio::ip::tcp;

  // `serial`: its number among the connections of this process.
  Session(Clients& owner, Tcp::socket socket, std::uint64_t serial)
      : owner_(&owner), socket_(std::move(socket)), serial_(serial) {}

  std::list<std::shared_ptr<Session>>::iterator position;

  void Start();

  // Between requests, with none on its way as far as can be seen.
  bool Idle() const;
  bool Reading() const { return state_ == State::kAwaitingRequest || state_ == State::kReading; }
  bool AwaitsResponse() const { return state_ == State::kAwaitingResponse; }
  // Owes an answer, or the rest of one.
  bool OwesResponse() const { return AwaitsResponse() || state_ == State::kWriting; }
  // Its last answer is written; the client has not closed yet.
  bool Lingering() const { return state_ == State::kLingering; }
  bool LingeringSince(Steady::time_point at) const { return Lingering() && state_since_ <= at; }
  bool Closed() const { return state_ == State::kClosed; }
  // For how long it has been without a request, of one that asked before.
  bool IdleSince(Steady::time_point at) const { return has_sent_request_ && state_since_ <= at && Idle(); }
  bool UnusedSince(Steady::time_point at) const { return !has_sent_request_ && state_since_ <= at && Idle(); }

  // Ends what has taken too long.
  void EnforceTimeout(Steady::time_point now);
  // Ends what has no request, or half of one, where the life of the process says that it is time.
  void CloseIfDraining(Steady::time_point now);
  void Close();
  void Detach();

  void Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
              std::optional<std::uint64_t> length) override;
  void Refused(Duration retry_after) override;
  void Failed() override;
  void Rejected(boost::beast::http::status status) override;
  bool ClientClosed() const override;

  // Looks whether the client has gone, where its end stands behind bytes that are not read yet.
  void CheckForDisconnect();

 private:
  static constexpr std::size_t kMaxRequestHeader = 16 * 1024;

  // Waiting for the first byte of a request, and then for its last.
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
  // A body that may be long: its first bytes, which are kept, and then the rest as it is asked for.
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
  // An answer that passes in pieces.
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
  boost::beast::http::request_header<> header_;  // of the request that is read
  HttpResponse response_;
  const std::uint64_t serial_;
  RequestId request_ = 0;
  int class_ = -1;  // of the request that is read or answered now; -1: not known, or none of a class
  bool counted_active_ = false;     // it is among those that are active
  std::shared_ptr<Upload> upload_;  // of the request that is held: its body is still coming, or was
  kestrelline::bodies::Pace pace_{{}, 1};
  Steady::time_point read_started_{};   // for more of it
  std::shared_ptr<BodySource> source_;  // of the answer that passes
  std::string stream_buffer_;           // of it, that is being written
  std::size_t stream_written_ = 0;      // of out_
  bool chunked_ = false, stream_ends_ = false;
  bool head_only_ = false, http_1_0_ = false;  // the request's method is HEAD; its version is 1.0
  std::vector<char> discard_buffer_;  // what is read and not looked at, once the last answer is written
  std::size_t discarded_bytes_ = 0, reserved_bytes_ = 0, empty_line_bytes_ = 0;
  State state_ = State::kAwaitingRequest;
  Steady::time_point state_since_{}, deadline_{};  // of the state
  bool has_sent_request_ = false;                  // has sent a whole request
  bool body_complete_ = false;                     // the request that is answered now
  bool poll_for_disconnect_ = false;               // its client's end shows only where it is looked for
  bool close_after_response_ = false;              // the connection closes after this answer
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_SESSION_H_
