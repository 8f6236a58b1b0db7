// SPDX-License-Identifier: Apache-2.0
//
// The proxy: turns what happens on sockets into events for its Balancer, and carries out the actions. Every
// decision is the Balancer's.
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
#include "management/door.h"
#include "management/figures.h"
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

  // Listens, and watches discovery, from here on. Null routes, or a null tagger: none.
  Proxy(boost::asio::io_context& io, Config config, Routes routes = nullptr, Tagger tagger = nullptr);
  ~Proxy() override;

  // The other proxies, where this one knows of any: what is asked of whoever keeps that, and told to it.
  struct Peers {
    std::function<std::string()> report, figures;
    std::function<std::string()> replica;  // a report of what is shared; empty where nothing is
    std::function<void()> leave, stay;     // a drain, and its end
    std::function<void()> gone;            // nothing is held any more
    std::function<void()> hand_over;       // to another process of this proxy
    // After `leave` or `hand_over`, with nothing open: calls back once others have all that is shared.
    std::function<void(std::function<void()>)> when_held_elsewhere;
  };
  void SetPeers(Peers peers) { peers_ = std::move(peers); }

  // What is known of keys among them, and told; must outlive all requests.
  void SetClaims(kestrelline::replica::Claims* claims) { claims_ = claims; }

  // What other proxies know has come, or is waited for no longer (Config::await_copies).
  void OnCopies();

  // Of what all proxies have together; see Share in balancer.h. Requests that came since the start.
  void OnShare(double share, Steady::time_point until, double after);
  // How many requests of a class all proxies may take together, a second; below 0: any number.
  void OnClassLimit(int request_class, double per_s);
  std::uint64_t requests() const { return last_request_; }

  // Takes over where discovery is from a configuration read anew; the rest of it holds from the next start
  // on.
  void Reload(const Config& config);

  // From the next request on; those that are held end under the routes and the plug-ins that they came by.
  void SetRoutes(Routes routes, Tagger tagger = nullptr) {
    routes_ = std::move(routes);
    tagger_ = std::move(tagger);
  }

  // As it was read at the start: what is in force but for the address of discovery.
  const Config& config() const { return config_; }

  // Serves what comes for a while yet; `done` is called when nothing is held any more.
  void Stop(std::function<void()> done);

  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnClientGone(RequestId request) override;
  bool IsOpen(std::string_view id) const override { return open_ids_.contains(std::string(id)); }

  boost::asio::ip::tcp::endpoint address() const { return clients_->address(); }
  std::size_t backend_connections() const { return backends_->connections(); }
  std::uint64_t last_revision() const { return discovery_->revision(); }
  std::size_t backends_known() const { return backends_->known(); }
  std::size_t held() const { return pending_.size(); }
  const kestrelline::management::Figures& figures() const { return figures_; }
  // The door's; where there is one.
  boost::asio::ip::tcp::endpoint management_address() const { return door_->address(); }

 private:
  // From its Submit until it has its answer and no attempt is out.
  struct Keyed {
    kestrelline::replica::Claims::Key key;
    std::vector<std::uint64_t> groups;  // by attempt
  };
  struct Pending {
    std::shared_ptr<const HttpRequest> message;
    std::shared_ptr<Upload> upload;  // its body, where that is passed on as it comes
    Steady::time_point due{};
    Steady::time_point begin_by{};         // of the attempt sent last: see Dispatch
    std::shared_ptr<Responder> responder;  // null once answered
    std::size_t request_class = 0;
    int attempts = 0;
    int attempts_out = 0;                         // two where a second copy is out
    kestrelline::plugin::Tagger::Ticket tagging;  // null once the module has the request
    std::unique_ptr<Keyed> keyed;                 // null where nothing is claimed
    boost::container::small_vector<AttemptHandle, 2> sent;
  };
  struct Arrival;  // a request that is with its plug-ins

  // What operators call for.
  kestrelline::lifecycle::State state() const override { return life_.state(); }
  kestrelline::lifecycle::CommandResult Drain() override;
  kestrelline::lifecycle::CommandResult Resume() override;
  std::string FiguresText() const override;
  std::string PeersText() const override { return peers_.report ? peers_.report() : std::string(); }
  std::string ReplicaText() const override { return peers_.replica ? peers_.replica() : std::string(); }

  void AwaitList();
  void OnListed();
  void OnLife();
  void ShareLimits();

  void Feed(Event event);
  void HandleQueued();
  void OnList(const MemberList& list, ListKind kind);
  void ForgetLongGone();
  int ZoneOf(const std::string& name) const;
  int MostOut() const { return config_.settings.parallel_tries ? 2 : 1; }  // attempts of one request

  void TagFirst(RequestId id, const std::shared_ptr<const Arrival>& arrival, std::uint32_t route);
  void OnUploadNews(RequestId id);
  void OnTagged(RequestId id, const Arrival& arrival, const kestrelline::plugin::Verdict& verdict);

  void GiveToModule(Submit submit);
  // Whether an attempt may begin: its request has no answer yet, and somebody still waits for one.
  static bool Wanted(const Pending& pending) { return pending.responder && !pending.responder->Gone(); }
  void SendAttempt(const Dispatch& action, int attempt);
  void OnClaimed(const Dispatch& action, int attempt, kestrelline::replica::Claims::Go go);

  void Do(const Dispatch& action);
  void Do(const Refuse& action);
  void Do(const Fail& action);
  void Do(const SetTimer& action);
  void Do(const Subscribe& action);
  void Do(const struct CloseIdle& action);
  void Do(const Log& action);

  void OnAttemptDone(RequestId request, int attempt, ServerId server, Steady::time_point sent,
                     AttemptResult result);
  std::shared_ptr<Responder> Conclude(RequestId request);
  void ForgetIfOver(RequestId request);
  void ArmTimer();

  Config config_;
  kestrelline::lifecycle::ProcessLifecycle life_;
  kestrelline::management::Figures figures_;
  Routes routes_;
  Tagger tagger_;
  Peers peers_;
  kestrelline::replica::Claims* claims_ = nullptr;
  ModuleClock clock_;
  Balancer balancer_;
  kestrelline::handover::LastByte last_byte_;
  ServerNumbers numbers_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_set<std::string> open_ids_;  // Req-Id of those pending
  std::unordered_map<std::string, Steady::time_point> gone_since_;
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
  std::unique_ptr<kestrelline::management::Door> door_;  // null: none
  std::unique_ptr<kestrelline::shared_limits::ProcessRegistry>
      companions_;  // null: this process is the only one
  boost::asio::steady_timer list_wait_, sharing_;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_PROXY_H_
