// SPDX-License-Identifier: Apache-2.0
//
// Sends arrivals at their intended times, whether or not answers come: an open loop on sockets (Boost.Asio).
//
// Clients behave as the platform's protocol says: connections are kept and carry one request at a time, more
// are opened while all are busy; a request gives up at its deadline; a refused one is tried again as often as
// the plan says; one whose kept connection was closed before any of its answer came is sent once more on a
// new one. A proxy that cannot be reached is passed over for a while, as a front would, and its request goes
// to the next. What is due while all connections are taken waits; what waits until its deadline is kUnsent,
// and never hidden.
#ifndef KESTRELLINE_LOAD_ENGINE_H_
#define KESTRELLINE_LOAD_ENGINE_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "load/arrivals.h"
#include "load/events.h"
#include "load/latency.h"
#include "load/plan.h"
#include "load/results.h"

namespace kestrelline::load {

class Engine {
 public:
  static constexpr Microseconds kSlack{50000};

  using Source = std::function<std::optional<Arrival>()>;  // in the order of their times
  // The end of each request, retries included.
  using OnEnd = std::function<void(const Arrival&, Outcome, const Timing&)>;

  // `plan` must outlive it. `targets` are those of the plan, understood.
  Engine(boost::asio::io_context& io, const Plan& plan, std::vector<boost::asio::ip::tcp::endpoint> targets,
         Source source, OnEnd on_end);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // What clients see, for the ledger; call it before Start. Clients then wait a moment longer (kSlack), so
  // that an answer that the rules hold to be in time is seen. Target number i is the proxy "n<i>".
  void Watch(OnEvent on_event) { on_event_ = std::move(on_event); }

  // For tests: the clock is read through this. A clock that goes back stands still until it has caught up;
  // one that jumps ahead makes all that was meant for the gap late, and the lateness says so.
  using ReadClock = std::function<std::chrono::steady_clock::time_point()>;
  void SetClock(ReadClock read) { read_clock_ = std::move(read); }

  // The start of the run is now; `done` is called once every request has ended.
  void Start(std::function<void()> done);
  // No more arrivals; what is open ends as it would.
  void Stop();

  std::uint64_t opened() const { return opened_; }  // connections
  std::size_t open_requests() const { return open_requests_; }
  // How many connections there could be before this process ran out of descriptors; 0 if it did not. From
  // then on there are no more, and requests wait for these.
  std::size_t descriptors_ran_out_at() const { return ran_out_at_; }

 private:
  using Steady = std::chrono::steady_clock;
  class Connection;
  friend class Connection;
  // A request with all its tries.
  struct Request {
    Arrival arrival;
    std::uint64_t number = 0;  // of the Idempotency-Key
    std::string id;            // of the try that is open
    Microseconds ready{0};     // when it was pulled
    Microseconds sent{-1};     // its first try
    int tries = 0;
    std::size_t unreached = 0;  // targets
    bool again = false;         // sent once more, as its connection had been closed
  };
  using RequestPtr = std::shared_ptr<Request>;

  Microseconds Now();
  void Arm(boost::asio::steady_timer& timer, Microseconds at) {
    timer.expires_after(std::max(Microseconds(0), at - Now()));
  }
  Microseconds DeadlineOf(const Request& request) const;
  void Pull();
  void Place(RequestPtr request);
  void Assign(const std::shared_ptr<Connection>& connection, RequestPtr request);
  void ServeWaiting(const std::shared_ptr<Connection>& connection);
  void DropOverdue();
  void ArmOverdue();
  void TryAgain(RequestPtr request, Microseconds pause);
  void End(const RequestPtr& request, Outcome outcome);
  void Forget(Connection* connection);
  void EndIfOver();
  std::string Text(Request& request);
  void Say(Event::Kind kind, const Request& request, std::size_t target, const std::string& subject,
           int number);

  boost::asio::io_context& io_;
  const Plan& plan_;
  std::vector<boost::asio::ip::tcp::endpoint> targets_;
  Source source_;
  OnEnd on_end_;
  OnEvent on_event_;
  std::function<void()> done_;
  ReadClock read_clock_ = Steady::now;
  Steady::time_point start_{};
  Microseconds last_read_{0};
  boost::asio::steady_timer due_, overdue_;
  std::optional<Arrival> next_;
  std::vector<std::vector<std::shared_ptr<Connection>>> idle_;  // by target, the last used last
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::vector<Steady::time_point> down_until_;  // by target
  std::deque<RequestPtr> waiting_;
  std::uint64_t requests_ = 0, ids_ = 0, opened_ = 0;
  std::size_t open_requests_ = 0, turn_ = 0, ran_out_at_ = 0;
  bool stopped_ = false, overdue_armed_ = false;
};

}  // namespace kestrelline::load

#endif  // KESTRELLINE_LOAD_ENGINE_H_
