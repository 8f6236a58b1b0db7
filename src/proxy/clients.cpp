// SPDX-License-Identifier: Apache-2.0
#include "clients.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "listener.h"
#include "session.h"

namespace kestrelline::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kPause{50};  // after a failed accept
constexpr std::chrono::milliseconds kLookAgain{10};
constexpr double kBodyShare = 0.25;  // of the memory, for clients' bodies
constexpr std::chrono::milliseconds kSweep{50};
constexpr double kRoomy = 0.4;  // of the own share, up to which those that stand idle are kept
constexpr double kShort = 0.7;  // of the own share, from which on each answer ends its connection

// Whether the system has accepted connections that have not been taken.
bool HasQueue(Tcp::acceptor& acceptor) {
  pollfd look{acceptor.native_handle(), POLLIN, 0};
  return ::poll(&look, 1, 0) > 0;
}

}  // namespace

Clients::Clients(asio::io_context& io, const Config& config, Places places,
                 const kestrelline::lifecycle::ProcessLifecycle& life,
                 kestrelline::management::Figures& figures, kestrelline::bodies::Budget& bodies,
                 RequestHandler& handler)
    : io_(io),
      config_(config),
      places_(std::move(places)),
      life_(life),
      figures_(figures),
      bodies_(bodies),
      handler_(handler),
      acceptor_(OpenListener(io, config.listen, config.inherited_listener)),
      pause_(io),
      over_(io),
      sweep_(io) {
  SetMemoryShare(1);
  Accept();
}

void Clients::SetMemoryShare(double share) {
  most_bytes_ = static_cast<std::size_t>(config_.memory_mb * kBodyShare * share * 1024 * 1024);
}

Clients::~Clients() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->Orphan();
}

void Clients::Accept() {
  waiting_for_room_ = false;
  if (accepting_ || !acceptor_.is_open() || !life_.AcceptsConnections(Steady::now())) return;
  if (sessions_.size() >= places_.most() && !MakeRoom()) {
    waiting_for_room_ = true;  // the next connections wait in the kernel's queue
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    accepting_ = false;
    // Guards against spinning when descriptors run out: the queue stays readable all the while.
    if (failed) return AcceptLater();
    Take(std::move(socket));
    Accept();
  });
}

void Clients::Take(Tcp::socket socket) {
  if (sessions_.empty()) Sweep();
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket), ++last_serial_));
  const auto session = sessions_.back();
  session->place = std::prev(sessions_.end());
  session->Start();
}

// Connections that the system has accepted may have their requests on them; the listener's end would reset
// them.
void Clients::TakeQueue() {
  Error none_left;
  acceptor_.non_blocking(true, none_left);
  while (!none_left && (sessions_.size() < places_.most() || MakeRoom())) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, none_left);
    if (!none_left) Take(std::move(socket));
  }
}

void Clients::AcceptLater() {
  MakeRoom();
  pause_.expires_after(kPause);
  pause_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

bool Clients::PlacesRunShort() const {
  return waiting_for_room_ ||
         static_cast<double>(sessions_.size()) >= static_cast<double>(places_.own()) * kShort;
}

// Bodies that are being read, or are held, must not fill the memory: what comes beyond is turned away.
bool Clients::Reserve(std::size_t bytes) {
  if (reserved_ + bytes > most_bytes_) return false;
  reserved_ += bytes;
  return true;
}

// Gives up the connection whose client has been slowest to close after its last answer; failing that, the one
// that has stood idle for the longest, or the oldest of those that never said anything. Those that are fresh
// stay, since their request may be on its way.
bool Clients::MakeRoom() {
  const auto now = Steady::now();
  const auto& patience = config_.patience;
  std::shared_ptr<Session> session;
  const auto find = [&](const auto& may_go) {
    if (session) return;
    const auto found = std::find_if(sessions_.begin(), sessions_.end(), may_go);
    if (found != sessions_.end()) session = *found;
  };
  find([&](const auto& s) { return s->EndingSince(now - patience.silent); });
  find([&](const auto& s) { return s->SpareSince(now - patience.spare); });
  find([&](const auto& s) { return s->SilentSince(now - patience.silent); });
  if (!session) return false;
  const bool waiting = std::exchange(waiting_for_room_, false);  // whoever asks goes on by itself
  session->Close();
  waiting_for_room_ = waiting;
  return true;
}

// Ends what has taken too long, and makes room ahead of need.
void Clients::Sweep() {
  sweep_.expires_after(kSweep);
  sweep_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    const auto now = Steady::now();
    const auto mark = static_cast<std::size_t>(static_cast<double>(places_.own()) * kRoomy);
    // A close may let another client in, and that one may make room: any of the others may be gone by its
    // turn.
    const std::vector<std::shared_ptr<Session>> present(sessions_.begin(), sessions_.end());
    for (const auto& session : present) {
      if (session->Closed()) continue;
      if (sessions_.size() > mark && session->SpareSince(now - config_.patience.spare)) {
        session->Close();
      } else {
        session->EndIfDue(now);
        session->EndIfLeaving(now);
        session->LookForEnd();
      }
    }
    if (waiting_for_room_) Accept();
    if (!sessions_.empty()) Sweep();
  });
}

void Clients::Remove(Session* session) {
  sessions_.erase(session->place);
  if (waiting_for_room_) Accept();
}

void Clients::OnLife() {
  Accept();
  if (life_.Stopping()) LookWhetherOver();
}

// Looks again until nothing is accepted, no answer is owed or on its way to a client that has not closed yet,
// and no request is half read. The end of the process closes what is open, and a close over unread bytes
// resets it.
void Clients::LookWhetherOver() {
  const auto now = Steady::now();
  const bool accepts = life_.AcceptsConnections(now);
  if (!accepts && acceptor_.is_open()) {
    const bool own = config_.inherited_listener < 0;
    if (own) TakeQueue();
    Error ignored;
    // Those for whom there is no place wait until a connection has ended.
    if (!own || sessions_.empty() || !HasQueue(acceptor_))
      acceptor_.close(ignored);  // never shut down: where it was inherited, its queue is others' too
  }
  bool wait = accepts || acceptor_.is_open();
  // As in Sweep: a close may let another client in, which may make room by closing any of the others.
  const std::vector<std::shared_ptr<Session>> present(sessions_.begin(), sessions_.end());
  for (const auto& session : present) {
    session->EndIfLeaving(now);
    wait |= session->Reading() || session->Owes() || session->Ending();
  }
  if (!wait) return stopped_ ? stopped_() : void();
  over_.expires_after(kLookAgain);
  over_.async_wait([this](const Error& cancelled) {
    if (!cancelled) LookWhetherOver();
  });
}

}  // namespace kestrelline::proxy
