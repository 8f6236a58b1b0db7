// SPDX-License-Identifier: Apache-2.0
#include "proxy.h"

#include <algorithm>
#include <cstdio>
#include <unordered_set>
#include <utility>

#include "hashing/fnv.h"

namespace kestrelline::proxy {
namespace {

// Descriptors for neither clients nor backends: standard streams, event loop, listener, watches of discovery,
// and a connection that is being accepted.
constexpr int kOtherDescriptors = 24;
// The clients' share of the remaining descriptors. Half of these connections have a request open; the others
// are evicted when idle. Either side may borrow descriptors of the other: see descriptors.h.
constexpr double kClientShare = 0.6;
constexpr TimePoint kUnarmed{Duration(1e300)};
// A process that takes over from another one waits this long for a fresh list, and then uses the known one.
constexpr std::chrono::milliseconds kFreshListTimeout{1500};
// Interval at which processes of one proxy read each other's usage.
constexpr std::chrono::milliseconds kShareInterval{20};

// `all`: the number of descriptors that this process may have open.
DescriptorShares SharesOf(const Config& config, int all) {
  const int others =
      kOtherDescriptors + (config.management ? kestrelline::management::ManagementEndpoint::kDescriptors : 0);
  const double shared = std::max(all - others, 0);
  return {static_cast<std::size_t>(shared * kClientShare),
          static_cast<std::size_t>(shared * (1 - kClientShare))};
}

Discovery::Options DiscoveryOptions(const Config& config) {
  Discovery::Options options;
  options.address = config.discovery;
  options.revision = config.known.revision;
  options.reconnect =
      config.settings.must_ask_for_list ? Discovery::Reconnect::kOnRequest : Discovery::Reconnect::kAutomatic;
  options.seed = config.seed;
  return options;
}

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, Config config, Routes routes, Tagger tagger)
    : config_(std::move(config)),
      life_(/*listener_is_shared=*/config_.inherited_listener >= 0, config_.await_replica),
      figures_(config_.classes),
      routes_(std::move(routes)),
      tagger_(std::move(tagger)),
      balancer_(config_.settings, config_.seed),
      shares_(SharesOf(config_, config_.sockets)),
      bodies_(kestrelline::bodies::Budget::OfMemory(config_.memory_mb)),
      armed_for_(kUnarmed),
      timer_(io),
      list_timer_(io),
      sharing_timer_(io) {
  Backends::Limits limits{config_.connect_timeout, config_.conn_idle, {}, config_.timeouts};
  limits.bodies = &bodies_;
  limits.connections = [this] { return shares_.ForBackends(clients_ ? clients_->connections() : 0); };
  limits.on_written = [this] { figures_.OnAttempt(); };
  backends_ = std::make_unique<Backends>(io, std::move(limits));
  discovery_ = std::make_unique<Discovery>(
      io, DiscoveryOptions(config_),
      [this](const MemberList& list) {
        OnList(list, list.complete ? ListKind::kFull : ListKind::kDelta);
        if (!list.members.empty()) OnListReceived();
      },
      [this] {
        Feed(ListUpdate{ListKind::kFailed, {}});
      });
  OnList(config_.known, ListKind::kCached);
  if (!config_.settings.must_ask_for_list) discovery_->Watch();
  clients_ = std::make_unique<Clients>(
      io, config_,
      Clients::ConnectionLimits{[this] { return shares_.clients(); },
                                [this] { return shares_.ForClients(backends_->connections()); }},
      life_, figures_, bodies_, *this);
  if (!config_.known.members.empty()) AwaitFreshList();
  if (!config_.sibling_folder.empty()) {
    sibling_processes_ =
        std::make_unique<kestrelline::shared_limits::ProcessRegistry>(config_.sibling_folder, config_.name);
    if (!sibling_processes_->joined()) {
      std::fprintf(stderr, "kestrelline: cannot share limits with other processes: %s\n",
                   sibling_processes_->failure_reason().c_str());
      sibling_processes_.reset();
    } else {
      ShareLimits();
    }
  }
  if (config_.management)
    management_endpoint_.reset(
        new kestrelline::management::ManagementEndpoint(io, *config_.management, *this));
}

Proxy::~Proxy() = default;

// Called with a list from the configuration. While another process serves, there is time to wait for a fresh
// list.
void Proxy::AwaitFreshList() {
  if (config_.inherited_listener < 0) return OnListReceived();
  list_timer_.expires_after(kFreshListTimeout);
  list_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) OnListReceived();
  });
}

void Proxy::OnListReceived() {
  if (life_.BackendListReceived()) OnLifecycleChange();
}

void Proxy::OnReplicaReady() {
  if (life_.CopiesReceived()) OnLifecycleChange();
}

void Proxy::OnShare(double share, Steady::time_point until, double after) {
  constexpr double kNothing = 1e-9;  // the balancer divides by it
  Feed(Share{std::max(share, kNothing),
             until == Steady::time_point() ? TimePoint() : clock_.FromSteady(until),
             std::max(after, kNothing)});
}

void Proxy::OnClassLimit(int request_class, double per_s) { Feed(ClassLimit{request_class, per_s}); }

void Proxy::OnLifecycleChange() { clients_->OnLifecycleChange(); }

kestrelline::lifecycle::CommandResult Proxy::Drain() {
  const auto done = life_.Drain(Steady::now());
  if (done == kestrelline::lifecycle::CommandResult::kDone) std::fprintf(stderr, "kestrelline: draining\n");
  if (done == kestrelline::lifecycle::CommandResult::kDone && peers_.leave) peers_.leave();
  OnLifecycleChange();
  return done;
}

kestrelline::lifecycle::CommandResult Proxy::Resume() {
  const auto done = life_.Resume();
  if (done == kestrelline::lifecycle::CommandResult::kDone)
    std::fprintf(stderr, "kestrelline: no longer draining\n");
  if (done == kestrelline::lifecycle::CommandResult::kDone && peers_.rejoin) peers_.rejoin();
  OnLifecycleChange();
  return done;
}

std::string Proxy::MetricsText() const {
  return figures_.Text({numbers_.all().size() - removed_since_.size(), balancer_.Ejected()}) +
         (peers_.figures ? peers_.figures() : std::string());
}

// Divides descriptors and memory with other processes of this proxy; see shared_limits/process_limits.h.
void Proxy::ShareLimits() {
  kestrelline::shared_limits::ProcessUsage own;
  own.descriptors = static_cast<int>(clients_->connections() + backends_->connections()) + kOtherDescriptors +
                    (management_endpoint_ ? static_cast<int>(management_endpoint_->connections()) : 0);
  own.stopping = life_.Stopping();
  sibling_processes_->Publish(own);
  const auto allowance =
      kestrelline::shared_limits::ComputeLimits(config_.sockets, own, sibling_processes_->OtherProcesses());
  shares_ = SharesOf(config_, allowance.descriptors);
  backends_->TrimIdle();
  clients_->SetMemoryShare(allowance.memory);
  bodies_.SetTotal(kestrelline::bodies::Budget::OfMemory(config_.memory_mb * allowance.memory));
  sharing_timer_.expires_after(kShareInterval);
  sharing_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) ShareLimits();
  });
}

void Proxy::Reload(const Config& config) { discovery_->Move(config.discovery); }

void Proxy::Stop(std::function<void()> done) {
  if (life_.Stop(Steady::now()) != kestrelline::lifecycle::CommandResult::kDone) return;
  if (peers_.leave) {
    // If another process continues under the name of this proxy, the proxy does not leave its peers.
    bool taken_over = false;
    if (sibling_processes_)
      for (const auto& other : sibling_processes_->OtherProcesses()) taken_over |= !other.stopping;
    if (taken_over) {
      peers_.hand_over();
      done = [this, done = std::move(done)] { peers_.await_handover(done); };
    } else {
      peers_.leave();
      done = [this, done = std::move(done)] {
        peers_.await_handover([this, done] {
          peers_.departed();
          done();
        });
      };
    }
  }
  clients_->SetDrainedCallback(std::move(done));
  OnLifecycleChange();
}

// The only caller of Balancer::Handle. Executing an action may produce an event immediately; it is queued, so
// that Handle is never entered while its actions are being executed.
void Proxy::Feed(Event event) {
  // List updates go before other queued events: a request must not be dispatched by an outdated list.
  if (std::holds_alternative<ListUpdate>(event)) {
    const auto first_other = std::find_if(events_.begin(), events_.end(), [](const Event& e) {
      return !std::holds_alternative<ListUpdate>(e);
    });
    events_.insert(first_other, std::move(event));
  } else {
    events_.push_back(std::move(event));
  }
  if (handling_) return;
  // Resets the flag also on an exception; otherwise no later event would be handled.
  struct Handling {
    explicit Handling(bool& flag) : flag(flag) { flag = true; }
    ~Handling() { flag = false; }
    bool& flag;
  };
  {
    const Handling handling(handling_);
    HandleQueued();
  }
  ArmTimer();
}

void Proxy::HandleQueued() {
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.Handle(clock_.Now(), next, &actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Execute(a); }, action);
  }
}

void Proxy::OnList(const MemberList& list, ListKind kind) {
  numbers_.Learn(list.members);
  if (kind != ListKind::kDelta) {
    std::unordered_set<ServerId> named;
    for (const Member& m : list.members) named.insert(numbers_.Of(m.id));
    backends_->RetireAllExcept(named);
  }
  ListUpdate update;
  update.kind = kind;
  for (const Member& m : list.members) {
    ServerEntry entry;
    entry.server = numbers_.Of(m.id);
    entry.zone = ZoneOf(m.zone);
    const auto kind_name = std::find(config_.kinds.begin(), config_.kinds.end(), m.kind);
    entry.kind = static_cast<int>(kind_name - config_.kinds.begin());
    entry.cell = m.cell;
    entry.state = m.state;
    entry.weight = m.weight;
    entry.up_since = clock_.FromUnix(m.up_since_unix_ms);
    update.entries.push_back(entry);
    if (m.state == ServerState::kReady) {
      backends_->Set(entry.server, m.address, m.up_since_unix_ms);
    } else {
      backends_->Retire(entry.server);
    }
  }
  std::unordered_set<std::string_view> here;
  for (const Member& m : list.members) {
    if (m.state == ServerState::kGone) {
      removed_since_.try_emplace(m.id, Steady::now());
    } else {
      here.insert(m.id);
      removed_since_.erase(m.id);
    }
  }
  if (kind != ListKind::kDelta) {
    for (const auto& [id, number] : numbers_.all()) {
      if (!here.contains(id)) removed_since_.try_emplace(id, Steady::now());
    }
  }
  Feed(std::move(update));
  ForgetOldBackends();
}

// Backend ids are not reused, so the state of removed backends would grow without limit. It is erased once
// the balancer has forgotten them too.
void Proxy::ForgetOldBackends() {
  std::erase_if(removed_since_,
                [this, until = Steady::now() - config_.timeouts.forget_backend](const auto& departed) {
                  if (departed.second > until) return false;
                  backends_->Forget(numbers_.Of(departed.first));
                  numbers_.Forget(departed.first);
                  return true;
                });
}

// A zone that the settings do not name gets a number outside the range of named zones.
int Proxy::ZoneOf(const std::string& name) const {
  const auto found = std::find(config_.zones.begin(), config_.zones.end(), name);
  if (found != config_.zones.end()) return static_cast<int>(found - config_.zones.begin());
  return static_cast<int>(0x10000 + (kestrelline::hashing::Fnv1a(name) & 0x3fffffff));
}

void Proxy::Execute(const SetTimer& action) { timers_.emplace(action.at, action.token); }

void Proxy::Execute(const Subscribe&) { discovery_->Watch(); }

void Proxy::Execute(const struct CloseIdle& action) { backends_->CloseIdle(action.server); }

void Proxy::Execute(const Log& action) { std::fprintf(stderr, "%s\n", action.text.c_str()); }

// Fires timers only when they are due on the balancer's clock: rounding may wake this up a moment early, and
// the balancer would ignore such a timer and not set it again.
void Proxy::ArmTimer() {
  if (timers_.empty() || timers_.begin()->first >= armed_for_) return;
  armed_for_ = timers_.begin()->first;
  timer_.expires_at(clock_.ToSteady(timers_.begin()->first));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    armed_for_ = kUnarmed;
    while (!timers_.empty() && timers_.begin()->first <= clock_.Now()) {
      const std::uint64_t token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      Feed(TimerFired{token});
    }
    ArmTimer();
  });
}

}  // namespace kestrelline::proxy
