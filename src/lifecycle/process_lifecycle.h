// SPDX-License-Identifier: Apache-2.0
//
// The lifecycle of the process as a state machine. Performs no I/O and reads no clock: callers pass the time.
//
// The response to `GET /ready`, whether new connections are accepted, whether a response closes its
// connection and when idle connections are closed all follow from this state. It is not kept anywhere else.
//
//     starting --backend list received--> ready --drain--> draining --resume--> ready
//     any --SIGTERM--> stopping
//
// If the process also waits for copies of the state of other proxies, it stays in starting until they arrive.
//
// A drain takes effect in any state but stopping, even before there is a backend list. A resume returns to
// the state that the process would be in without the drain. Both are idempotent. Stopping is final.
#ifndef KESTRELLINE_LIFECYCLE_PROCESS_LIFECYCLE_H_
#define KESTRELLINE_LIFECYCLE_PROCESS_LIFECYCLE_H_

#include <chrono>
#include <cstdint>
#include <utility>

namespace kestrelline::lifecycle {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;
using Ms = std::chrono::milliseconds;

enum class State { kStarting, kReady, kDraining, kStopping };
const char* NameOf(State state);

// Delays after the start of a drain (`drain_`) or after SIGTERM (`stop_`).
struct Delays {
  // New connections keep arriving for another 0.2 s after /ready first reports not ready. Connections in use
  // are closed with their next response. Idle ones are closed one by one over this interval, so that their
  // clients do not all reconnect to the other proxies at once.
  Ms drain_close_idle_from{300}, drain_close_idle_to{1500};
  Ms drain_close_incomplete{1900};  // connections with an incomplete request are closed
  // After SIGTERM, new connections keep arriving for up to 0.4 s.
  Ms stop_accepting{600};
  // As drain_close_idle_from, drain_close_idle_to and drain_close_incomplete.
  Ms stop_close_idle_from{350}, stop_close_idle_to{600};
  Ms stop_close_incomplete{1100};
  // SIGKILL follows SIGTERM after 3.7 s at the earliest. A request that is unanswered by then counts as lost
  // if it arrived more than 0.7 s after SIGTERM, so later requests are only accepted if they end by
  // stop_last_end. This leaves 0.2 s for an event loop that runs late.
  Ms stop_accept_any{700}, stop_last_end{3500};
  // A connection that became idle, or on which a request began to arrive, less than this ago is not closed: a
  // request is about to arrive, or the rest of one is in flight.
  Ms min_age{150};
};

// The result of a command.
enum class CommandResult {
  kDone,
  kNoChange,  // the process was in the requested state already
  kStopping,  // rejected, because the process is stopping
};

class ProcessLifecycle {
 public:
  // `listener_is_shared`: the listening socket is kept open by its owner, and other processes accept
  // connections on it. This process then accepts none before it can serve, nor after SIGTERM; another process
  // will. `waits_for_copies`: whether to wait for copies of the state of other proxies; see CopiesReceived.
  explicit ProcessLifecycle(bool listener_is_shared = false, bool waits_for_copies = false,
                            Delays delays = {})
      : delays_(delays), listener_is_shared_(listener_is_shared), copies_received_(!waits_for_copies) {}

  // Report that a backend list has been received, and that the copies have arrived or the wait for them has
  // timed out. Both return true if this makes the process able to serve.
  bool BackendListReceived() { return SetAndCheckServable(&list_received_); }
  bool CopiesReceived() { return SetAndCheckServable(&copies_received_); }
  CommandResult Drain(Time now);
  CommandResult Resume();
  CommandResult Stop(Time now);

  State state() const;
  bool Ready() const { return state() == State::kReady; }
  bool Stopping() const { return stopping_; }
  // Whether to accept new connections.
  bool AcceptsConnections(Time now) const;
  // Whether each response must close its connection.
  bool ClosesAfterResponse() const { return stopping_ || drained_; }
  // Whether to close a connection that has had no request since `idle_since`. `serial` is the number of the
  // connection and spreads the closes over time.
  bool ClosesIdle(Time now, Time idle_since, std::uint64_t serial) const;
  // Whether to close a connection on which an incomplete request has been arriving since `read_since`. Recent
  // ones are kept: if this process runs late, the rest may have been in the socket for long.
  bool ClosesIncomplete(Time now, Time read_since) const;
  // Whether to accept a request that was read completely by now and ends by `due`. A late one must end before
  // SIGKILL can arrive.
  bool AcceptsRequest(Time now, Time due) const;

 private:
  bool servable() const { return list_received_ && copies_received_; }
  bool SetAndCheckServable(bool* condition) { return !std::exchange(*condition, true) && servable(); }
  // Time from the start of the drain, or from SIGTERM if that has arrived.
  Span Since(Time now) const { return now - (stopping_ ? stopping_since_ : drained_since_); }

  Delays delays_;
  bool listener_is_shared_;
  bool list_received_ = false, copies_received_, drained_ = false, stopping_ = false;
  Time drained_since_{}, stopping_since_{};
};

}  // namespace kestrelline::lifecycle

#endif  // KESTRELLINE_LIFECYCLE_PROCESS_LIFECYCLE_H_
