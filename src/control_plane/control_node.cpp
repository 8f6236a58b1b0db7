// SPDX-License-Identifier: Apache-2.0
#include "control_plane/control_node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <utility>

#include "configuration/patch.h"
#include "control_plane/stage_orders.h"
#include "json/list.h"

namespace kestrelline::control_plane {
namespace {

using namespace http;

constexpr milliseconds kTick{50};
constexpr milliseconds kBetweenPublications{500};  // of changes in quick succession only the newest goes out
constexpr milliseconds kPublishEvery{300};         // where nothing changed: how old the knowledge is
constexpr milliseconds kReadListEvery{500};
constexpr milliseconds kLeadPoll{100};
constexpr milliseconds kPlanEvery{400};
constexpr milliseconds kOrderMargin{600};
constexpr milliseconds kLastWords{150};      // for what was sent last to other members
constexpr milliseconds kExitMargin{350};     // before `grace_s` is over
constexpr milliseconds kDrainReserve{1500};  // of `grace_s`, for the answers of a member that has left
constexpr milliseconds kTellGatewaysEvery{1000};
constexpr std::size_t kMostGateways = 64;
constexpr int kEpochShift = 32;  // a list's revision: the leader's epoch, then a count

Time Now() { return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch()); }

ReplicaOptions OptionsOf(const node::Settings& settings) {
  ReplicaOptions options;
  options.self = settings.ip;
  options.bootstrap = settings.bootstrap;
  options.counts_for_quorum = settings.counts_for_quorum;
  options.tolerated = std::max(settings.fault_tolerance.machines, settings.fault_tolerance.zones);
  options.seeds = settings.SeedIps();
  options.leave_patience = std::min(options.leave_patience, settings.bounds.grace - kDrainReserve);
  options.random_seed = std::random_device{}();
  return options;
}

Stored LoadFrom(Store* store) { return store ? store->Load() : Stored{}; }

}  // namespace

ControlNode::ControlNode(asio::io_context& io, const node::Settings& settings, std::unique_ptr<Store> store)
    : io_(io),
      settings_(settings),
      mesh_(io, settings.ip, settings.MemberEndpoint(), traffic_),
      replica_(OptionsOf(settings), LoadFrom(store.get()), Now()),
      publisher_(mesh_, settings.max_subscribers),
      reader_(io, settings.cloud.value_or(node::Endpoint{})),
      api_(io, *this, settings.control ? settings.control->port : 0),
      server_(io, [this](ApiRequest request) { return api_.Handle(std::move(request)); }),
      tick_(io) {
  store_ = std::make_unique<StoreThread>(std::move(store), [this](std::uint64_t ticket, bool written) {
    asio::post(io_, [this, ticket, written] {
      replica_.Persisted(Now(), ticket, written);
      Pump();
    });
  });
}

ControlNode::~ControlNode() = default;

std::error_code ControlNode::Start() {
  const auto on_message = [this](mesh::Connection& connection, wire::Message message) {
    OnMessage(connection, std::move(message));
  };
  const auto on_closed = [this](mesh::Connection& connection) { publisher_.Forget(connection); };
  if (const std::error_code error = mesh_.Listen(on_message, on_closed)) return error;
  if (settings_.control) {
    if (const std::error_code error = server_.Listen(*settings_.control)) return error;
  }
  if (settings_.cloud) asio::co_spawn(io_, ReadListWhileLeading(), asio::detached);
  ScheduleTick();
  return {};
}

void ControlNode::Leave(std::function<void()> done) {
  if (left_ || stopping_) return;
  left_ = std::move(done);
  stop_until_ = steady_clock::now() + settings_.bounds.grace - kExitMargin;
  spdlog::info("leaving");
  server_.AnnounceClose();
  replica_.Leave(Now());
  Pump();
  TickLeave();
}

void ControlNode::RequestLeave() {
  if (on_leave_requested_) on_leave_requested_();
}

void ControlNode::TickLeave() {
  if (!left_ || stopping_ || !replica_.MayStop(Now())) return;
  stopping_ = true;
  spdlog::info("draining");
  replica_.Resign(Now());
  Pump();
  asio::co_spawn(io_, Stop(), asio::detached);
}

Awaitable<void> ControlNode::Stop() {
  asio::steady_timer last_words(io_, kLastWords);
  const int unanswered = co_await server_.Drain(stop_until_);
  if (unanswered > 0) {
    violations_.Report(invariants::Invariant::kAnsweredBeforeExit, "count=" + std::to_string(unanswered));
  }
  co_await last_words.async_wait(kTuple);
  left_();
}

bool ControlNode::Leads() const { return replica_.Leads(Now()); }

std::string ControlNode::OtherLeader() const {
  return replica_.leader() == settings_.ip ? std::string() : replica_.LiveLeader(Now());
}

std::string ControlNode::Members() const {
  const wire::RecordPtr record = replica_.committed();
  const wire::Record none;
  const wire::Record& known = record ? *record : none;
  return "{\"members\":" + json::List(known.members) + ",\"next_members\":" + json::List(known.next_members) +
         ",\"leader\":\"" + replica_.leader() + "\",\"epoch\":" + std::to_string(replica_.epoch()) + "}";
}

std::string ControlNode::Status() const {
  const wire::RecordPtr record = replica_.committed();
  return "{\"node\":\"" + settings_.node_name + "\",\"role\":\"" + NameOf(replica_.role()) +
         "\",\"epoch\":" + std::to_string(replica_.epoch()) + ",\"leads\":" + (Leads() ? "true" : "false") +
         ",\"leader\":\"" + replica_.leader() +
         "\",\"version\":" + std::to_string(record ? record->version : 0) +
         ",\"members\":" + json::List(record ? record->members : std::vector<std::string>()) +
         ",\"proxies\":" + std::to_string(replica_.proxies()) +
         ",\"backends\":" + std::to_string(instances_ ? instances_->instances.size() : 0) + "}";
}

void ControlNode::Propose(Change change, std::function<void(Outcome)> decided) {
  const std::uint64_t number = replica_.Propose(Now(), std::move(change));
  undecided_.emplace(number, std::move(decided));
  Pump();
}

void ControlNode::OnMessage(mesh::Connection& connection, wire::Message message) {
  if (const auto* subscribe = std::get_if<wire::Subscribe>(&message.body)) {
    if (publisher_.Subscribe(connection, message.sender, *subscribe, CurrentlyPublished()))
      connection.Send(mesh_.Encode(loads_.Whole(subscribe->zone)));
    return;
  }
  if (const auto* probe = std::get_if<wire::Probe>(&message.body)) {
    return publisher_.NoteProbe(connection, *probe);
  }
  if (const auto* list = std::get_if<wire::InstanceList>(&message.body))
    return OnInstances(connection, *list);
  if (const auto* age = std::get_if<wire::ListAge>(&message.body))
    return OnListAge(connection, message.sender, *age);
  if (const auto* changes = std::get_if<wire::ListChanges>(&message.body)) return OnListChanges(*changes);
  if (std::holds_alternative<wire::ListRequest>(message.body)) {
    if (Leads() && instances_) SendList(message.sender, mesh_.Encode(ListAsItIs()));
    return;
  }
  if (auto* report = std::get_if<wire::LoadReport>(&message.body)) {
    return OnLoads(message.sender, std::move(*report));
  }
  if (const auto* changes = std::get_if<wire::LoadChanges>(&message.body)) {
    return loads_.board().ChangesFromMember(Now(), message.sender, *changes);
  }
  if (const auto* referral = std::get_if<wire::Referral>(&message.body)) {
    return OnReferral(message.sender, *referral);
  }
  replica_.Receive(Now(), message.sender, message.body);
  Pump();
}

// From a gateway: it is one, and whom it knows.
void ControlNode::OnReferral(const std::string& from, const wire::Referral& referral) {
  replica_.Introduce(referral.members);
  const auto members = replica_.KnownNodes();
  const bool member = std::find(members.begin(), members.end(), from) != members.end();
  if (replica_.committed() && !member && gateways_.size() < kMostGateways) gateways_.insert(from);
}

// Gateways that made themselves known, and seeds that are no members: they may be gateways.
void ControlNode::TellGateways() {
  if (Now() < next_tell_gateways_ || !replica_.committed()) return;
  next_tell_gateways_ = Now() + kTellGatewaysEvery;
  const std::vector<std::string> members = replica_.KnownNodes();
  std::set<std::string> told = gateways_;
  for (const std::string& seed : settings_.SeedIps()) told.insert(seed);
  for (const std::string& member : members) told.erase(member);
  told.erase(settings_.ip);
  if (told.empty()) return;
  const mesh::Frame frame = mesh_.Encode(wire::Referral{{}, members, replica_.LiveLeader(Now())});
  for (const std::string& gateway : told) mesh_.Send(gateway, frame);
}

// The list is as old as it says, counted from before it was composed; where that is unknown, as old as the
// last.
void ControlNode::OnInstances(const mesh::Connection& connection, const wire::InstanceList& list) {
  if (instances_ && list.revision < instances_->revision) return;
  if (!instances_ || list.revision > instances_->revision) {
    SetList(std::make_shared<const wire::InstanceList>(list));
  }
  NoteListRead(connection, list.age_ms);
  PublishIfChanged();
}

void ControlNode::OnListAge(const mesh::Connection& connection, const std::string& leader,
                            const wire::ListAge& age) {
  const std::uint64_t held = instances_ ? instances_->revision : 0;
  if (age.revision == held && instances_) return NoteListRead(connection, age.age_ms);
  if (age.revision > held) mesh_.Send(leader, mesh_.Encode(wire::ListRequest{held}));
}

// Changes of a list that is not here are void: the list's age, which follows, asks for it.
void ControlNode::OnListChanges(const wire::ListChanges& changes) {
  if (!instances_ || instances_->revision != changes.base) return;
  SetList(distribution::Apply(*instances_, changes));  // its age follows
  PublishIfChanged();
}

void ControlNode::NoteListRead(const mesh::Connection& connection, std::uint32_t age_ms) {
  if (const auto composed_after = replica_.ProbeSentAt(connection.echo())) {
    instances_read_ = std::max(instances_read_, *composed_after - milliseconds(age_ms));
  }
}

void ControlNode::SetList(wire::InstanceListPtr list) {
  instances_ = std::move(list);
  loads_.TakeList(*instances_);
  lists_.Add(instances_);
}

void ControlNode::OnLoads(const std::string& from, wire::LoadReport report) {
  const auto members = replica_.KnownNodes();
  if (std::find(members.begin(), members.end(), from) != members.end()) {
    loads_.board().ReportFromMember(Now(), from, std::move(report));
  } else {
    loads_.board().ReportFromProxy(Now(), from, std::move(report));
  }
}

// Every tick: to other members and to the proxies here, each within its budget.
void ControlNode::ShareLoads() {
  // What others hold of an earlier process of this member is void.
  if (!std::exchange(shared_loads_, true)) SendToMembers(wire::LoadReport{});
  LoadSharing::Told told = loads_.Tick(Now(), publisher_.zones());
  replica_.set_proxies(loads_.board().ProxiesHere());
  if (told.to_members) SendToMembers(*told.to_members);
  for (auto& [zone, summary] : told.to_zones) publisher_.SendToZone(zone, std::move(summary));
}

// Only the leader gives orders, and not before any order of the one before it is old enough for both not to
// count as taking turns.
void ControlNode::MoveStages() {
  if (!Leads()) {
    leading_since_.reset();
    return;
  }
  if (!leading_since_) {
    leading_since_ = Now();
    planner_.Reset();
  }
  if (Now() - *leading_since_ < settings_.bounds.lease + kOrderMargin || Now() < next_plan_) return;
  next_plan_ = Now() + kPlanEvery;
  const auto demands = loads_.board().Everywhere().demands;
  for (const wire::Demand& demand : demands) {
    spdlog::debug("demand service={} reading_ms_per_s={} generating_ms_per_s={}", demand.service,
                  demand.prefill_ms_per_s, demand.decode_ms_per_s);
  }
  auto orders = planner_.Plan(Now(), listed_, demands);
  if (!orders.empty()) ShowList();  // no proxy picks them from now on
  for (StageOrder& order : orders) {
    spdlog::info("order instance={} stage={}", order.instance,
                 order.goal == StageGoal::kPrefill ? "prefill" : "decode");
    asio::co_spawn(io_, Order(std::move(order)), asio::detached);
  }
}

Awaitable<void> ControlNode::Order(StageOrder order) {
  const std::string instance = order.instance;
  const std::uint64_t epoch = replica_.epoch();
  OrderGiver giver{settings_.node_name, epoch,
                   [this, epoch] { return Leads() && replica_.epoch() == epoch; }};
  const OrderEnd end = co_await GiveOrder(io_, std::move(order), std::move(giver));
  if (end != OrderEnd::kRefused) co_return;
  spdlog::warn("order refused instance={}", instance);
  planner_.Refused(instance);
}

// Carries out what the replica decided.
void ControlNode::Pump() {
  for (Effect& effect : replica_.TakeEffects()) {
    if (auto* send = std::get_if<Send>(&effect)) {
      mesh_.Send(send->to, mesh_.Encode(send->body));
    } else if (auto* persist = std::get_if<Persist>(&effect)) {
      store_->Write(std::move(*persist));
    } else if (const auto* decided = std::get_if<Decided>(&effect)) {
      const auto found = undecided_.find(decided->order);
      if (found == undecided_.end()) continue;
      const auto callback = std::move(found->second);
      undecided_.erase(found);
      callback(decided->outcome);
    }
  }
  LogRole();
  PublishIfChanged();
}

void ControlNode::LogRole() {
  if (replica_.role() == logged_role_) return;
  logged_role_ = replica_.role();
  spdlog::info("role={} epoch={} leader={}", NameOf(logged_role_), replica_.epoch(), replica_.leader());
}

void ControlNode::ScheduleTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    replica_.Tick(Now());
    Pump();
    ShareLoads();
    TellGateways();
    MoveStages();
    TickLeave();
    if (change_waits_) {
      if (Now() >= last_change_published_ + kBetweenPublications) PublishChange();
    } else if (Now() >= next_publication_) {
      Publish();
    }
    ScheduleTick();
  });
}

// What leads to the newest configuration from the one that was published before it.
void ControlNode::NoteConfiguration() {
  const wire::RecordPtr record = replica_.committed();
  const wire::RecordPtr before = std::exchange(newest_in_history_, record);
  if (!record || !before || record->version == before->version) return;
  auto patch = before->version < record->version
                   ? configuration::PatchBetween(before->configuration, record->configuration)
                   : std::nullopt;
  if (patch) {
    configurations_.Add(before->version, record->version, std::move(*patch));
  } else {
    configurations_.Clear();
  }
}

distribution::Published ControlNode::CurrentlyPublished() {
  const Time now = Now();
  NoteConfiguration();
  distribution::Published published;
  if (const wire::RecordPtr record = replica_.committed(); record && !record->configuration.empty()) {
    published.version = record->version;
    published.configuration = [record] {
      return std::shared_ptr<const std::string>(record, &record->configuration);
    };
    published.configurations = &configurations_;
  }
  if (const auto certain = replica_.certain_at(now)) published.age = now - *certain;
  published.instances = instances_;
  published.lists = &lists_;
  published.instances_age = now - instances_read_;
  published.proxies = replica_.proxies();
  published.control_peers = replica_.KnownNodes();
  return published;
}

void ControlNode::PublishIfChanged() {
  if (replica_.committed() == published_record_ && instances_ == published_instances_) return;
  if (replica_.committed() &&
      (!published_record_ || published_record_->version != replica_.committed()->version)) {
    spdlog::info("configuration version={} members={}", replica_.committed()->version,
                 replica_.committed()->members.size());
  }
  const bool list_changed =
      instances_ != published_instances_;  // a backend leaves, or moves: proxies must know
  published_record_ = replica_.committed();
  published_instances_ = instances_;
  change_waits_ = !list_changed && Now() < last_change_published_ + kBetweenPublications;
  if (!change_waits_) PublishChange();
}

void ControlNode::PublishChange() {
  change_waits_ = false;
  last_change_published_ = Now();
  Publish();
}

void ControlNode::Publish() {
  next_publication_ = Now() + kPublishEvery;
  publisher_.Publish(CurrentlyPublished());
}

void ControlNode::SendToMembers(const wire::Body& body) {
  const mesh::Frame frame = mesh_.Encode(body);
  for (const std::string& node : OtherMembers()) mesh_.Send(node, frame);
}

std::vector<std::string> ControlNode::OtherMembers() const {
  std::vector<std::string> others = replica_.KnownNodes();
  std::erase(others, settings_.ip);
  return others;
}

Awaitable<void> ControlNode::ReadListWhileLeading() {
  asio::steady_timer timer(io_);
  while (!stopping_) {
    const auto began = steady_clock::now();
    const bool leads = Leads();
    if (leads) {
      auto instances = co_await reader_.Read();
      if (instances && Leads()) TakeList(std::move(*instances));
    }
    timer.expires_at(began + (leads ? kReadListEvery : kLeadPoll));
    co_await timer.async_wait(kTuple);
  }
}

void ControlNode::TakeList(std::vector<wire::Instance> instances) {
  for (wire::Instance& instance : instances) instance.warmup_left_ms = 0;  // changes all the time; not used
  listed_ = std::move(instances);
  instances_read_ = Now();
  ShowList();
}

// The list as it was read, with marks at backends that are being moved, to proxies and members.
void ControlNode::ShowList() {
  wire::InstanceList list;
  list.instances = listed_;
  planner_.MarkMoving(Now(), list.instances);
  const std::uint64_t first = replica_.epoch() << kEpochShift;
  if (!instances_ || instances_->instances != list.instances || instances_->revision < first) {
    list.revision = std::max(first, instances_ ? instances_->revision : 0) + 1;
    SetList(std::make_shared<const wire::InstanceList>(std::move(list)));
  }
  PublishIfChanged();
  SendListToMembers();
}

wire::InstanceList ControlNode::ListAsItIs() const {
  wire::InstanceList list = *instances_;
  list.age_ms = ListAgeMs();
  return list;
}

std::uint32_t ControlNode::ListAgeMs() const {
  return static_cast<std::uint32_t>((Now() - instances_read_).count());
}

// What changed, and how old it is: whoever lacks what the changes build on asks for the list.
void ControlNode::SendListToMembers() {
  const std::uint64_t told = std::exchange(revision_to_members_, instances_->revision);
  if (told != instances_->revision) {
    const auto changes = lists_.Since(told);
    SendListFrame(changes ? mesh_.Encode(*changes) : mesh_.Encode(ListAsItIs()));
  }
  SendListFrame(mesh_.Encode(wire::ListAge{instances_->revision, ListAgeMs()}));
}

void ControlNode::SendListFrame(const mesh::Frame& frame) {
  for (const std::string& node : OtherMembers()) SendList(node, frame);
}

// After the newest probe of that member has come back: it dates the list by its own clock.
void ControlNode::SendList(const std::string& member, const mesh::Frame& frame) {
  mesh_.Send(member, mesh_.Encode(wire::Echo{replica_.EchoFor(member)}));
  mesh_.Send(member, frame);
}

}  // namespace kestrelline::control_plane
