// SPDX-License-Identifier: Apache-2.0
//
// The proxy: turns socket events into events for its Balancer and executes the actions that this returns. The
// Balancer makes every decision.
#ifndef KESTRELLINE_PROXY_PROXY_H_
#define KESTRELLINE_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/container/small_vector.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "backends.h"
#include "clients.h"
#include "clock.h"
#include "config.h"
#include "descriptors.h"
#include "discovery.h"
#include "handover/last_byte.h"
#include "kestrelline/balancer.h"
#include "lifecycle/process_lifecycle.h"
#include "management/endpoint.h"
#include "management/metrics.h"
#include "members.h"
#include "plugin/tagger.h"
#include "replica/claims.h"
#include "routing/table.h"
#include "shared_limits/process_registry.h"

namespace kestrelline::proxy {

class Proxy : public RequestHandler, private kestrelline::management::Operations {
 public:
  using Routes = std::shared_ptr<const kestrelline::routing::RouteTable>;
  using Tagger = std::shared_ptr<kestrelline::plugin::Tagger>;

  // Starts to listen and to watch discovery. `routes` and `tagger` may be null. Runs on the single thread of
  // `io`.
  Proxy(boost::asio::io_context& io, Config config, Routes routes = nullptr, Tagger tagger = nullptr);
  ~Proxy() override;

  // Hooks to the connection with the other proxies, if there is one.
  struct Peers {
    std::function<std::string()> report, figures;
    std::function<std::string()> replica;  // report on the replicated state; unset if there is none
    std::function<void()> leave, rejoin;   // a drain began; it was cancelled
    std::function<void()> departed;        // no request is left, and the process ends
    std::function<void()> hand_over;       // to another process of this proxy, which keeps its name
    // After `leave` or `hand_over`, with no request open: calls back once other proxies hold all of the
    // replicated state.
    std::function<void(std::function<void()>)> await_handover;
  };
  void SetPeers(Peers peers) { peers_ = std::move(peers); }

  // The claims on idempotency keys that are shared among the proxies; must outlive all requests.
  void SetClaims(kestrelline::replica::Claims* claims) { claims_ = claims; }

  // The replicated state has arrived, or is no longer awaited (Config::await_replica).
  void OnReplicaReady();

  // Sets this proxy's share of common limits; see Share in balancer.h.
  void OnShare(double share, Steady::time_point until, double after);
  // Sets the limit on requests of a class per second over all proxies; below 0: unlimited.
  void OnClassLimit(int request_class, double per_s);
  std::uint64_t requests() const { return last_request_; }

  // Applies a reloaded configuration: only the address of discovery. All other settings take effect at the
  // next start.
  void Reload(const Config& config);

  // Takes effect with the next request; pending requests keep the routes and plug-ins with which they began.
  void SetRoutes(Routes routes, Tagger tagger = nullptr) {
    routes_ = std::move(routes);
    tagger_ = std::move(tagger);
  }

  // As read at the start; in force except for the address of discovery, which Reload may change.
  const Config& config() const { return config_; }

  // Begins the shutdown: serves what still arrives for a while, and calls `done` when no request is left.
  void Stop(std::function<void()> done);

  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnClientGone(RequestId request) override;
  bool IsOpen(std::string_view id) const override { return open_ids_.contains(std::string(id)); }

  boost::asio::ip::tcp::endpoint address() const { return clients_->address(); }
  std::size_t backend_connections() const { return backends_->connections(); }
  std::uint64_t last_revision() const { return discovery_->revision(); }
  std::size_t backends_known() const { return backends_->known(); }
  std::size_t held() const { return pending_.size(); }
  const kestrelline::management::Metrics& figures() const { return figures_; }
  // Address of the management interface; requires Config::management.
  boost::asio::ip::tcp::endpoint management_address() const { return management_endpoint_->address(); }

 private:
  // The claims of a request with a shared idempotency key.
  struct ClaimState {
    kestrelline::replica::Claims::Key key;
    std::vector<std::uint64_t> groups;  // group of the backend, by attempt
  };
  struct Pending {
    std::shared_ptr<const HttpRequest> message;
    std::shared_ptr<Upload> upload;  // the body, if it is streamed
    Steady::time_point due{};
    Steady::time_point begin_by{};         // of the last attempt sent; see Dispatch::begin_by
    std::shared_ptr<Responder> responder;  // null once the request has its response
    std::size_t request_class = 0;
    int attempts = 0;
    int attempts_in_flight = 0;                   // two while a hedged attempt is in flight
    kestrelline::plugin::Tagger::Ticket tagging;  // null once the balancer has the request
    std::unique_ptr<ClaimState> claim_state;      // null if the key is not claimed
    boost::container::small_vector<AttemptHandle, 2> sent;
  };
  struct TaggingRequest;  // a request that its plug-ins are tagging

  // management::Operations: commands of the management interface.
  kestrelline::lifecycle::State state() const override { return life_.state(); }
  kestrelline::lifecycle::CommandResult Drain() override;
  kestrelline::lifecycle::CommandResult Resume() override;
  std::string MetricsText() const override;
  std::string PeersText() const override { return peers_.report ? peers_.report() : std::string(); }
  std::string ReplicaText() const override { return peers_.replica ? peers_.replica() : std::string(); }

  void AwaitFreshList();
  void OnListReceived();
  void OnLifecycleChange();
  void ShareLimits();

  void Feed(Event event);
  void HandleQueued();
  void OnList(const MemberList& list, ListKind kind);
  void ForgetOldBackends();
  int ZoneOf(const std::string& name) const;
  int MaxAttemptsInFlight() const { return config_.settings.parallel_tries ? 2 : 1; }  // per request

  void RunPlugins(RequestId id, const std::shared_ptr<const TaggingRequest>& tagging_request,
                  std::uint32_t route);
  void OnUploadProgress(RequestId id);
  void OnPluginVerdict(RequestId id, const TaggingRequest& tagging_request,
                       const kestrelline::plugin::Verdict& verdict);

  void SubmitToBalancer(Submit submit);
  // Whether an attempt may still begin: the request has no response yet, and its client is still connected.
  static bool IsWanted(const Pending& pending) {
    return pending.responder && !pending.responder->ClientClosed();
  }
  void SendAttempt(const Dispatch& action, int attempt);
  void OnClaimResult(const Dispatch& action, int attempt, kestrelline::replica::Claims::Decision go);

  void Execute(const Dispatch& action);
  void Execute(const Refuse& action);
  void Execute(const Fail& action);
  void Execute(const SetTimer& action);
  void Execute(const Subscribe& action);
  void Execute(const struct CloseIdle& action);
  void Execute(const Log& action);

  void OnAttemptDone(RequestId request, int attempt, ServerId server, Steady::time_point sent,
                     AttemptResult result);
  std::shared_ptr<Responder> TakeResponder(RequestId request);
  void EraseIfDone(RequestId request);
  void ArmTimer();

  Config config_;
  kestrelline::lifecycle::ProcessLifecycle life_;
  kestrelline::management::Metrics figures_;
  Routes routes_;
  Tagger tagger_;
  Peers peers_;
  kestrelline::replica::Claims* claims_ = nullptr;
  BalancerClock clock_;
  Balancer balancer_;
  kestrelline::handover::LastByte last_byte_;
  ServerNumbers numbers_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_set<std::string> open_ids_;  // Req-Id of each pending request
  std::unordered_map<std::string, Steady::time_point> removed_since_;
  RequestId last_request_ = 0;
  std::deque<Event> events_;
  bool handling_ = false;
  DescriptorShares shares_;
  kestrelline::bodies::Budget bodies_;
  std::multimap<TimePoint, std::uint64_t> timers_;
  TimePoint armed_for_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<Backends> backends_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<kestrelline::management::ManagementEndpoint>
      management_endpoint_;  // null: no management interface
  std::unique_ptr<kestrelline::shared_limits::ProcessRegistry> sibling_processes_;  // null: single process
  boost::asio::steady_timer list_timer_, sharing_timer_;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_PROXY_H_
