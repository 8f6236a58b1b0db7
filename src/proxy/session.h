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

  std::list<std::shared_ptr<Session>>::iterator place;

  void Start();

  // Between requests, with none on its way as far as can be seen.
  bool Idle() const;
  bool Reading() const { return state_ == State::kWaiting || state_ == State::kReading; }
  bool Holds() const { return state_ == State::kHeld; }
  // Owes an answer, or the rest of one.
  bool Owes() const { return Holds() || state_ == State::kWriting; }
  // Its last answer is written; the client has not closed yet.
  bool Ending() const { return state_ == State::kDraining; }
  bool EndingSince(Steady::time_point at) const { return Ending() && since_ <= at; }
  bool Closed() const { return state_ == State::kClosed; }
  // For how long it has been without a request, of one that asked before.
  bool SpareSince(Steady::time_point at) const { return asked_ && since_ <= at && Idle(); }
  bool SilentSince(Steady::time_point at) const { return !asked_ && since_ <= at && Idle(); }

  // Ends what has taken too long.
  void EndIfDue(Steady::time_point now);
  // Ends what has no request, or half of one, where the life of the process says that it is time.
  void EndIfLeaving(Steady::time_point now);
  void Close();
  void Orphan();

  void Served(HttpResponse answer, std::shared_ptr<BodySource> rest,
              std::optional<std::uint64_t> length) override;
  void Refused(Duration retry_after) override;
  void Failed() override;
  void Rejected(boost::beast::http::status status) override;
  bool Gone() const override;

  // Looks whether the client has gone, where its end stands behind bytes that are not read yet.
  void LookForEnd();

 private:
  static constexpr std::size_t kMostRequestHeader = 16 * 1024;

  // Waiting for the first byte of a request, and then for its last.
  enum class State { kWaiting, kReading, kHeld, kWriting, kDraining, kClosed };

  using Parser = boost::beast::http::request_parser<PieceBody>;

  const Timeouts& timeouts() const;

  void Enter(State state, std::optional<Steady::duration> at_most);
  void Wait(Steady::duration at_most);
  void Begin();
  void ReadHeader();
  bool SkipEmptyLines();
  void OnHeader();
  void Release();
  void Continue();
  void ReadBody();
  // A body that may be long: its first bytes, which are kept, and then the rest as it is asked for.
  void ReadFirst();
  bool ReserveFor(std::size_t body);
  void BeginUpload();
  void ReadMore();
  void OnMore(const Error& failed);
  void GiveUpload(boost::beast::http::status status, const char* text);
  std::optional<ClientRequest> Take(std::string body, bool whole, Steady::time_point at);
  void Hold(ClientRequest request);
  void OnUnreadable(const Error& failed);
  void OnRead(Steady::time_point at);
  void WatchClient();
  void OnGone();
  void ReadAhead();
  void Over();
  void TurnAway(boost::beast::http::status status, std::string text);
  void NoMemory();
  void Write(HttpResponse response);
  void BeginAnswer(Steady::duration at_most);
  void AfterAnswer(bool failed);
  // An answer that passes in pieces.
  void Pass(HttpResponse head, std::shared_ptr<BodySource> rest, std::optional<std::uint64_t> length);
  void AddPiece(std::string_view bytes, bool last);
  void WritePassing();
  void BreakOff();
  void CloseGently();
  void Drain();

  Clients* owner_;
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMostBody + kMostRequestHeader};
  std::optional<Parser> parser_;
  boost::beast::http::request_header<> head_;  // of the request that is read
  HttpResponse response_;
  const std::uint64_t serial_;
  RequestId request_ = 0;
  int class_ = -1;      // of the request that is read or answered now; -1: not known, or none of a class
  bool taken_ = false;  // it is among those that are active
  std::shared_ptr<Upload> upload_;  // of the request that is held: its body is still coming, or was
  kestrelline::bodies::Pace pace_{{}, 1};
  Steady::time_point asked_at_{};       // for more of it
  std::shared_ptr<BodySource> source_;  // of the answer that passes
  std::string out_;                     // of it, that is being written
  std::size_t written_ = 0;             // of out_
  bool chunked_ = false, out_last_ = false;
  bool head_only_ = false, old_ = false;  // the request's method is HEAD; its version is 1.0
  std::vector<char> rest_;                // what is read and not looked at, once the last answer is written
  std::size_t drained_ = 0, reserved_ = 0, empty_lines_ = 0;
  State state_ = State::kWaiting;
  Steady::time_point since_{}, until_{};  // of the state
  bool asked_ = false;                    // has sent a whole request
  bool read_whole_ = false;               // the request that is answered now
  bool unwatched_ = false;                // its client's end shows only where it is looked for
  bool last_ = false;                     // the connection closes after this answer
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_SESSION_H_
