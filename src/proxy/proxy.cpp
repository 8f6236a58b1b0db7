// SPDX-License-Identifier: Apache-2.0
#include "proxy.h"

#include <algorithm>
#include <cstdio>
#include <unordered_set>
#include <utility>

#include "hashing/fnv.h"

namespace kestrelline::proxy {
namespace {

// Descriptors: what is neither a client's nor a backend's (standard streams, the event loop, the listener,
// watches of discovery, a connection being accepted), and the clients' part of the rest. Of the clients',
// those with a request open are a half; the others have to make room when they stand idle.
constexpr int kOtherDescriptors = 24;
constexpr double kClientShare = 0.6;  // half of the rest may be borrowed: see descriptors.h
constexpr TimePoint kUnarmed{Duration(1e300)};
// A process that takes over from another waits this long for a fresh list, and then serves by the known one.
constexpr std::chrono::milliseconds kListWait{1500};
constexpr std::chrono::milliseconds kShareEvery{20};  // two processes look at each other's usage

// `all`: those that this process may have open.
DescriptorShares SharesOf(const Config& config, int all) {
  const int others =
      kOtherDescriptors + (config.management ? kestrelline::management::Door::kDescriptors : 0);
  const double shared = std::max(all - others, 0);
  return {static_cast<std::size_t>(shared * kClientShare),
          static_cast<std::size_t>(shared * (1 - kClientShare))};
}

Discovery::Options DiscoveryOptions(const Config& config) {
  Discovery::Options options;
  options.address = config.discovery;
  options.revision = config.known.revision;
  options.reconnect =
      config.settings.must_ask_for_list ? Discovery::Reconnect::kWhenAsked : Discovery::Reconnect::kByItself;
  options.seed = config.seed;
  return options;
}

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, Config config, Routes routes, Tagger tagger)
    : config_(std::move(config)),
      life_(/*listener_is_shared=*/config_.inherited_listener >= 0, config_.await_copies),
      figures_(config_.classes),
      routes_(std::move(routes)),
      tagger_(std::move(tagger)),
      balancer_(config_.settings, config_.seed),
      shares_(SharesOf(config_, config_.sockets)),
      bodies_(kestrelline::bodies::Budget::OfMemory(config_.memory_mb)),
      armed_for_(kUnarmed),
      timer_(io),
      list_wait_(io),
      sharing_(io) {
  Backends::Limits limits{config_.connect_timeout, config_.conn_idle, {}, config_.patience};
  limits.bodies = &bodies_;
  limits.connections = [this] { return shares_.ForBackends(clients_ ? clients_->connections() : 0); };
  limits.on_written = [this] { figures_.OnTry(); };
  backends_ = std::make_unique<Backends>(io, std::move(limits));
  discovery_ = std::make_unique<Discovery>(
      io, DiscoveryOptions(config_),
      [this](const MemberList& list) {
        OnList(list, list.complete ? ListKind::kFull : ListKind::kDelta);
        if (!list.members.empty()) OnListed();
      },
      [this] {
        Feed(ListUpdate{ListKind::kFailed, {}});
      });
  OnList(config_.known, ListKind::kCached);
  if (!config_.settings.must_ask_for_list) discovery_->Watch();
  clients_ = std::make_unique<Clients>(
      io, config_,
      Clients::Places{[this] { return shares_.clients(); },
                      [this] { return shares_.ForClients(backends_->connections()); }},
      life_, figures_, bodies_, *this);
  if (!config_.known.members.empty()) AwaitList();
  if (!config_.shared_folder.empty()) {
    companions_ =
        std::make_unique<kestrelline::shared_limits::ProcessRegistry>(config_.shared_folder, config_.name);
    if (!companions_->joined()) {
      std::fprintf(stderr, "kestrelline: no look at other processes: %s\n",
                   companions_->failure_reason().c_str());
      companions_.reset();
    } else {
      ShareLimits();
    }
  }
  if (config_.management) door_.reset(new kestrelline::management::Door(io, *config_.management, *this));
}

Proxy::~Proxy() = default;

// With a list that is known from before. Beside another process there is time to hear a fresh one first.
void Proxy::AwaitList() {
  if (config_.inherited_listener < 0) return OnListed();
  list_wait_.expires_after(kListWait);
  list_wait_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) OnListed();
  });
}

void Proxy::OnListed() {
  if (life_.BackendListReceived()) OnLife();
}

void Proxy::OnCopies() {
  if (life_.CopiesReceived()) OnLife();
}

void Proxy::OnShare(double share, Steady::time_point until, double after) {
  constexpr double kNothing = 1e-9;  // the module divides by it
  Feed(Share{std::max(share, kNothing), until == Steady::time_point() ? TimePoint() : clock_.At(until),
             std::max(after, kNothing)});
}

void Proxy::OnClassLimit(int request_class, double per_s) { Feed(ClassLimit{request_class, per_s}); }

void Proxy::OnLife() { clients_->OnLife(); }

kestrelline::lifecycle::CommandResult Proxy::Drain() {
  const auto done = life_.Drain(Steady::now());
  if (done == kestrelline::lifecycle::CommandResult::kDone) std::fprintf(stderr, "kestrelline: draining\n");
  if (done == kestrelline::lifecycle::CommandResult::kDone && peers_.leave) peers_.leave();
  OnLife();
  return done;
}

kestrelline::lifecycle::CommandResult Proxy::Resume() {
  const auto done = life_.Resume();
  if (done == kestrelline::lifecycle::CommandResult::kDone)
    std::fprintf(stderr, "kestrelline: no longer draining\n");
  if (done == kestrelline::lifecycle::CommandResult::kDone && peers_.stay) peers_.stay();
  OnLife();
  return done;
}

std::string Proxy::FiguresText() const {
  return figures_.Text({numbers_.all().size() - gone_since_.size(), balancer_.Ejected()}) +
         (peers_.figures ? peers_.figures() : std::string());
}

// While there is another process of this proxy: see shared_limits/process_limits.h.
void Proxy::ShareLimits() {
  kestrelline::shared_limits::ProcessUsage own;
  own.descriptors = static_cast<int>(clients_->connections() + backends_->connections()) + kOtherDescriptors +
                    (door_ ? static_cast<int>(door_->callers()) : 0);
  own.stopping = life_.Stopping();
  companions_->Publish(own);
  const auto allowance =
      kestrelline::shared_limits::ComputeLimits(config_.sockets, own, companions_->OtherProcesses());
  shares_ = SharesOf(config_, allowance.descriptors);
  backends_->Trim();
  clients_->SetMemoryShare(allowance.memory);
  bodies_.SetTotal(kestrelline::bodies::Budget::OfMemory(config_.memory_mb * allowance.memory));
  sharing_.expires_after(kShareEvery);
  sharing_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) ShareLimits();
  });
}

void Proxy::Reload(const Config& config) { discovery_->Move(config.discovery); }

void Proxy::Stop(std::function<void()> done) {
  if (life_.Stop(Steady::now()) != kestrelline::lifecycle::CommandResult::kDone) return;
  if (peers_.leave) {
    // Another process of this proxy goes on under its name: then nobody has left.
    bool taken_over = false;
    if (companions_)
      for (const auto& other : companions_->OtherProcesses()) taken_over |= !other.stopping;
    if (taken_over) {
      peers_.hand_over();
      done = [this, done = std::move(done)] { peers_.when_held_elsewhere(done); };
    } else {
      peers_.leave();
      done = [this, done = std::move(done)] {
        peers_.when_held_elsewhere([this, done] {
          peers_.gone();
          done();
        });
      };
    }
  }
  clients_->WhenOver(std::move(done));
  OnLife();
}

// The only caller of Handle. An action may bring about an event at once: it waits its turn here, so that
// Handle is never entered while its actions are being carried out.
void Proxy::Feed(Event event) {
  // News of the list go before what waits: a request must not be sent by an older list than has been told.
  if (std::holds_alternative<ListUpdate>(event)) {
    const auto first_other = std::find_if(events_.begin(), events_.end(), [](const Event& e) {
      return !std::holds_alternative<ListUpdate>(e);
    });
    events_.insert(first_other, std::move(event));
  } else {
    events_.push_back(std::move(event));
  }
  if (handling_) return;
  // Guards against a fault while actions are carried out leaving the proxy deaf: the next event goes on.
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
    for (const Action& action : actions) std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void Proxy::OnList(const MemberList& list, ListKind kind) {
  numbers_.Learn(list.members);
  if (kind != ListKind::kDelta) {
    std::unordered_set<ServerId> named;
    for (const Member& m : list.members) named.insert(numbers_.Of(m.id));
    backends_->RetireOthers(named);
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
      gone_since_.try_emplace(m.id, Steady::now());
    } else {
      here.insert(m.id);
      gone_since_.erase(m.id);
    }
  }
  if (kind != ListKind::kDelta) {
    for (const auto& [id, number] : numbers_.all()) {
      if (!here.contains(id)) gone_since_.try_emplace(id, Steady::now());
    }
  }
  Feed(std::move(update));
  ForgetLongGone();
}

// Ids are ever new: what has been gone for longer than the module remembers it has no number any more.
void Proxy::ForgetLongGone() {
  std::erase_if(gone_since_, [this, until = Steady::now() - config_.patience.forgotten](const auto& gone) {
    if (gone.second > until) return false;
    backends_->Forget(numbers_.Of(gone.first));
    numbers_.Forget(gone.first);
    return true;
  });
}

// A zone that the settings don't name is a zone of its own, none of those that they do.
int Proxy::ZoneOf(const std::string& name) const {
  const auto found = std::find(config_.zones.begin(), config_.zones.end(), name);
  if (found != config_.zones.end()) return static_cast<int>(found - config_.zones.begin());
  return static_cast<int>(0x10000 + (kestrelline::hashing::Fnv1a(name) & 0x3fffffff));
}

void Proxy::Do(const SetTimer& action) { timers_.emplace(action.at, action.token); }

void Proxy::Do(const Subscribe&) { discovery_->Watch(); }

void Proxy::Do(const struct CloseIdle& action) { backends_->CloseIdle(action.server); }

void Proxy::Do(const Log& action) { std::fprintf(stderr, "%s\n", action.text.c_str()); }

// Guards against a timer that the module thinks has not come yet: rounding may wake this a moment early, and
// the module would not ask again.
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
