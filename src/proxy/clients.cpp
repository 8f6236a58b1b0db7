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

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};  // after a failed accept
constexpr std::chrono::milliseconds kDrainCheckInterval{10};
constexpr double kBodyMemoryShare = 0.25;  // of the memory, for clients' bodies
constexpr std::chrono::milliseconds kSweepInterval{50};
constexpr double kIdleEvictionShare = 0.4;  // of the own share, up to which those that stand idle are kept
constexpr double kNearLimitShare = 0.7;     // of the own share, from which on each answer ends its connection

// Whether the system has accepted connections that have not been taken.
bool HasBacklog(Tcp::acceptor& acceptor) {
  pollfd query{acceptor.native_handle(), POLLIN, 0};
  return ::poll(&query, 1, 0) > 0;
}

}  // namespace

Clients::Clients(asio::io_context& io, const Config& config, ConnectionLimits places,
                 const kestrelline::lifecycle::Life& life, kestrelline::management::Figures& figures,
                 kestrelline::bodies::Budget& bodies, RequestHandler& handler)
    : io_(io),
      config_(config),
      limits_(std::move(places)),
      life_(life),
      figures_(figures),
      bodies_(bodies),
      handler_(handler),
      acceptor_(OpenListener(io, config.listen, config.inherited_listener)),
      accept_retry_timer_(io),
      drain_timer_(io),
      sweep_timer_(io) {
  SetMemoryShare(1);
  Accept();
}

void Clients::SetMemoryShare(double share) {
  max_body_bytes_ = static_cast<std::size_t>(config_.memory_mb * kBodyMemoryShare * share * 1024 * 1024);
}

Clients::~Clients() {
  const auto sessions = std::move(sessions_);
  sessions_.clear();
  for (const auto& session : sessions) session->Detach();
}

void Clients::Accept() {
  accept_blocked_ = false;
  if (accepting_ || !acceptor_.is_open() || !life_.Accepts(Steady::now())) return;
  if (sessions_.size() >= limits_.max() && !EvictConnection()) {
    accept_blocked_ = true;  // the next connections wait in the kernel's queue
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    accepting_ = false;
    // Guards against spinning when descriptors run out: the queue stays readable all the while.
    if (failed) return RetryAccept();
    AddSession(std::move(socket));
    Accept();
  });
}

void Clients::AddSession(Tcp::socket socket) {
  if (sessions_.empty()) Sweep();
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket), ++last_serial_));
  const auto session = sessions_.back();
  session->position = std::prev(sessions_.end());
  session->Start();
}

// Connections that the system has accepted may have their requests on them; the listener's end would reset
// them.
void Clients::AcceptBacklog() {
  Error none_left;
  acceptor_.non_blocking(true, none_left);
  while (!none_left && (sessions_.size() < limits_.max() || EvictConnection())) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, none_left);
    if (!none_left) AddSession(std::move(socket));
  }
}

void Clients::RetryAccept() {
  EvictConnection();
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

bool Clients::NearConnectionLimit() const {
  return accept_blocked_ ||
         static_cast<double>(sessions_.size()) >= static_cast<double>(limits_.own()) * kNearLimitShare;
}

// Bodies that are being read, or are held, must not fill the memory: what comes beyond is turned away.
bool Clients::Reserve(std::size_t bytes) {
  if (reserved_ + bytes > max_body_bytes_) return false;
  reserved_ += bytes;
  return true;
}

// Gives up the connection whose client has been slowest to close after its last answer; failing that, the one
// that has stood idle for the longest, or the oldest of those that never said anything. Those that are fresh
// stay, since their request may be on its way.
bool Clients::EvictConnection() {
  const auto now = Steady::now();
  const auto& timeouts = config_.timeouts;
  std::shared_ptr<Session> session;
  const auto find = [&](const auto& may_close) {
    if (session) return;
    const auto match = std::find_if(sessions_.begin(), sessions_.end(), may_close);
    if (match != sessions_.end()) session = *match;
  };
  find([&](const auto& s) { return s->LingeringSince(now - timeouts.evict_unused); });
  find([&](const auto& s) { return s->IdleSince(now - timeouts.evict_idle); });
  find([&](const auto& s) { return s->UnusedSince(now - timeouts.evict_unused); });
  if (!session) return false;
  const bool waiting = std::exchange(accept_blocked_, false);  // whoever asks goes on by itself
  session->Close();
  accept_blocked_ = waiting;
  return true;
}

// Ends what has taken too long, and makes room ahead of need.
void Clients::Sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    const auto now = Steady::now();
    const auto idle_limit = static_cast<std::size_t>(static_cast<double>(limits_.own()) * kIdleEvictionShare);
    // A close may let another client in, and that one may make room: any of the others may be gone by its
    // turn.
    const std::vector<std::shared_ptr<Session>> present(sessions_.begin(), sessions_.end());
    for (const auto& session : present) {
      if (session->Closed()) continue;
      if (sessions_.size() > idle_limit && session->IdleSince(now - config_.timeouts.evict_idle)) {
        session->Close();
      } else {
        session->EnforceTimeout(now);
        session->CloseIfDraining(now);
        session->CheckForDisconnect();
      }
    }
    if (accept_blocked_) Accept();
    if (!sessions_.empty()) Sweep();
  });
}

void Clients::Remove(Session* session) {
  sessions_.erase(session->position);
  if (accept_blocked_) Accept();
}

void Clients::OnLifecycleChange() {
  Accept();
  if (life_.Stopping()) CheckDrained();
}

// Looks again until nothing is accepted, no answer is owed or on its way to a client that has not closed yet,
// and no request is half read. The end of the process closes what is open, and a close over unread bytes
// resets it.
void Clients::CheckDrained() {
  const auto now = Steady::now();
  const bool accepts = life_.Accepts(now);
  if (!accepts && acceptor_.is_open()) {
    const bool own = config_.inherited_listener < 0;
    if (own) AcceptBacklog();
    Error ignored;
    // Those for whom there is no place wait until a connection has ended.
    if (!own || sessions_.empty() || !HasBacklog(acceptor_))
      acceptor_.close(ignored);  // never shut down: where it was inherited, its queue is others' too
  }
  bool wait = accepts || acceptor_.is_open();
  // As in Sweep: a close may let another client in, which may make room by closing any of the others.
  const std::vector<std::shared_ptr<Session>> present(sessions_.begin(), sessions_.end());
  for (const auto& session : present) {
    session->CloseIfDraining(now);
    wait |= session->Reading() || session->OwesResponse() || session->Lingering();
  }
  if (!wait) return on_drained_ ? on_drained_() : void();
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) CheckDrained();
  });
}

}  // namespace kestrelline::proxy
