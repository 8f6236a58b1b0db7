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

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr std::chrono::milliseconds kDrainCheckInterval{10};
constexpr double kBodyMemoryShare = 0.25;  // of the memory of the process, for buffered request bodies
constexpr std::chrono::milliseconds kSweepInterval{50};
constexpr double kIdleEvictionShare =
    0.4;  // of the client side's own share: up to this, idle connections are not evicted
constexpr double kNearLimitShare =
    0.7;  // of the own share: from this on, each response closes its connection

// Whether the kernel's queue holds connections that were not accepted yet.
bool HasBacklog(Tcp::acceptor& acceptor) {
  pollfd query{acceptor.native_handle(), POLLIN, 0};
  return ::poll(&query, 1, 0) > 0;
}

}  // namespace

Clients::Clients(asio::io_context& io, const Config& config, ConnectionLimits places,
                 const kestrelline::lifecycle::ProcessLifecycle& life,
                 kestrelline::management::Metrics& figures, kestrelline::bodies::Budget& bodies,
                 RequestHandler& handler)
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
  if (accepting_ || !acceptor_.is_open() || !life_.AcceptsConnections(Steady::now())) return;
  if (sessions_.size() >= limits_.max() && !EvictConnection()) {
    accept_blocked_ = true;  // further connections wait in the kernel's queue
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    accepting_ = false;
    // When descriptors run out the queue stays readable, so an immediate retry would spin.
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

// Accepts the connections in the kernel's queue: they may carry requests, and closing the listener would
// reset them.
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

// Limits the memory of buffered request bodies. Requests beyond the limit are rejected.
bool Clients::Reserve(std::size_t bytes) {
  if (reserved_ + bytes > max_body_bytes_) return false;
  reserved_ += bytes;
  return true;
}

// Closes one connection: the one whose client has been slowest to close after its last response, else the one
// that has been idle longest, else the oldest one that never sent a request. Recent connections are spared,
// since their request may be in transit.
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
  const bool waiting = std::exchange(accept_blocked_, false);  // the caller continues to accept by itself
  session->Close();
  accept_blocked_ = waiting;
  return true;
}

// Enforces timeouts, and evicts idle connections before the limit is reached.
void Clients::Sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](const Error& cancelled) {
    if (cancelled) return;
    const auto now = Steady::now();
    const auto idle_limit = static_cast<std::size_t>(static_cast<double>(limits_.own()) * kIdleEvictionShare);
    // Closing a connection may accept another client, which may evict any other connection: iterate over a
    // copy.
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

// Polls until no connections are accepted, no request is half read, and no response is outstanding or not yet
// acknowledged by the client's close. The exit of the process closes open sockets, and closing one with
// unread bytes resets it, which could destroy the response.
void Clients::CheckDrained() {
  const auto now = Steady::now();
  const bool accepts = life_.AcceptsConnections(now);
  if (!accepts && acceptor_.is_open()) {
    const bool own = config_.inherited_listener < 0;
    if (own) AcceptBacklog();
    Error ignored;
    // Connections over the limit stay in the queue until another one has ended.
    if (!own || sessions_.empty() || !HasBacklog(acceptor_))
      acceptor_.close(
          ignored);  // no shutdown(): the queue of an inherited listener is shared with other processes
  }
  bool wait = accepts || acceptor_.is_open();
  // As in Sweep: closing a connection may evict others, so iterate over a copy.
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
