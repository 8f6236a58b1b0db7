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

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kMinChangeInterval{500};  // changes in quick succession are published once
constexpr milliseconds kPublishInterval{300};    // without changes only the age is published
constexpr milliseconds kListReadInterval{500};
constexpr milliseconds kLeaderPollInterval{100};
constexpr milliseconds kPlanInterval{400};
// A new leader sends no stage orders for the lease plus this margin, see PlanStageMoves.
constexpr milliseconds kStageOrderMargin{600};
constexpr milliseconds kFinalSendDelay{150};  // for the last messages to other members
constexpr milliseconds kExitMargin{350};      // before `grace_s` ends
constexpr milliseconds kDrainReserve{
    1500};  // part of `grace_s` for answering requests after the seat is handed over
constexpr milliseconds kGatewayUpdateInterval{1000};
constexpr std::size_t kMaxGateways = 64;
constexpr int kEpochShift = 32;  // a list revision is the leader's epoch, then a counter

Time Now() { return std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch()); }

ReplicaOptions OptionsOf(const node::Settings& settings) {
  ReplicaOptions options;
  options.self = settings.ip;
  options.bootstrap = settings.bootstrap;
  options.counts_for_quorum = settings.counts_for_quorum;
  options.max_lost_members = std::max(settings.fault_tolerance.machines, settings.fault_tolerance.zones);
  options.seeds = settings.SeedIps();
  options.leave_timeout = std::min(options.leave_timeout, settings.bounds.grace - kDrainReserve);
  options.random_seed = std::random_device{}();
  return options;
}

PersistentState LoadState(Store* store) { return store ? store->Load() : PersistentState{}; }

}  // namespace

ControlNode::ControlNode(asio::io_context& io, const node::Settings& settings, std::unique_ptr<Store> store)
    : io_(io),
      settings_(settings),
      seeds_(settings.SeedIps()),
      mesh_(io, settings.ip, settings.MemberEndpoint(), traffic_),
      replica_(OptionsOf(settings), LoadState(store.get()), Now()),
      publisher_(mesh_, settings.max_subscribers),
      reader_(io, settings.cloud.value_or(node::Endpoint{})),
      api_(io, *this, settings.control ? settings.control->port : 0),
      server_(io, [this](ApiRequest request) { return api_.Handle(std::move(request)); }),
      tick_(io) {
  store_ = std::make_unique<StoreThread>(std::move(store), [this](std::uint64_t ticket, bool written) {
    asio::post(io_, [this, ticket, written] {
      replica_.Persisted(Now(), ticket, written);
      ApplyEffects();
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

void ControlNode::UpdateSeeds(const node::Settings& settings) {
  seeds_ = settings.SeedIps();
  replica_.AddKnownNodes(seeds_);
}

void ControlNode::Leave(std::function<void()> done) {
  if (on_left_ || stopping_) return;
  on_left_ = std::move(done);
  stop_deadline_ = steady_clock::now() + settings_.bounds.grace - kExitMargin;
  spdlog::info("leaving");
  server_.AnnounceClose();
  replica_.Leave(Now());
  ApplyEffects();
  TryStop();
}

void ControlNode::RequestLeave() {
  if (on_leave_requested_) on_leave_requested_();
}

void ControlNode::TryStop() {
  if (!on_left_ || stopping_ || !replica_.CanStop(Now())) return;
  stopping_ = true;
  spdlog::info("draining");
  replica_.Resign(Now());
  ApplyEffects();
  asio::co_spawn(io_, Stop(), asio::detached);
}

Awaitable<void> ControlNode::Stop() {
  asio::steady_timer final_send(io_, kFinalSendDelay);
  const int unanswered = co_await server_.Drain(stop_deadline_);
  if (unanswered > 0) {
    violations_.Report(invariants::Invariant::kAnsweredBeforeExit, "count=" + std::to_string(unanswered));
  }
  co_await final_send.async_wait(kTuple);
  on_left_();
}

bool ControlNode::Leads() const { return replica_.Leads(Now()); }

std::string ControlNode::OtherLeader() const {
  return replica_.leader() == settings_.ip ? std::string() : replica_.LeaderWithinLease(Now());
}

std::string ControlNode::Members() const {
  const wire::RecordPtr record = replica_.committed();
  const wire::Record empty;
  const wire::Record& known = record ? *record : empty;
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
  const std::uint64_t id = replica_.Propose(Now(), std::move(change));
  pending_proposals_.emplace(id, std::move(decided));
  ApplyEffects();
}

void ControlNode::OnMessage(mesh::Connection& connection, wire::Message message) {
  if (const auto* subscribe = std::get_if<wire::Subscribe>(&message.body)) {
    if (publisher_.Subscribe(connection, message.sender, *subscribe, CurrentlyPublished()))
      connection.Send(mesh_.Encode(loads_.FullSummary(subscribe->zone)));
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
    if (Leads() && instances_) SendList(message.sender, mesh_.Encode(ListWithAge()));
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
  ApplyEffects();
}

// A referral is sent by a gateway and lists the members that it knows.
void ControlNode::OnReferral(const std::string& from, const wire::Referral& referral) {
  replica_.AddKnownNodes(referral.members);
  const auto members = replica_.KnownNodes();
  const bool is_member = std::find(members.begin(), members.end(), from) != members.end();
  if (replica_.committed() && !is_member) NoteGateway(from);
}

// At the limit the new gateway takes the place of the one that has been silent for the longest time.
void ControlNode::NoteGateway(const std::string& gateway) {
  if (!gateways_.contains(gateway) && gateways_.size() >= kMaxGateways) {
    gateways_.erase(
        std::min_element(gateways_.begin(), gateways_.end(),
                         [](const auto& one, const auto& other) { return one.second < other.second; }));
  }
  gateways_[gateway] = Now();
}

// Sends the members to the gateways that announced themselves, and to seeds that are not members, since they
// may be gateways.
void ControlNode::SendMembersToGateways() {
  if (Now() < next_gateway_update_ || !replica_.committed()) return;
  next_gateway_update_ = Now() + kGatewayUpdateInterval;
  const std::vector<std::string> members = replica_.KnownNodes();
  std::set<std::string> recipients(seeds_.begin(), seeds_.end());
  for (const auto& [gateway, announced_at] : gateways_) recipients.insert(gateway);
  for (const std::string& member : members) recipients.erase(member);
  recipients.erase(settings_.ip);
  if (recipients.empty()) return;
  const mesh::Frame frame = mesh_.Encode(wire::Referral{{}, members, replica_.LeaderWithinLease(Now())});
  for (const std::string& gateway : recipients) mesh_.Send(gateway, frame);
}

// The age of the list is counted from a time before the leader composed it. If that time is unknown, the read
// time of the previous list stays.
void ControlNode::OnInstances(const mesh::Connection& connection, const wire::InstanceList& list) {
  if (instances_ && list.revision < instances_->revision) return;
  if (!instances_ || list.revision > instances_->revision) {
    SetList(std::make_shared<const wire::InstanceList>(list));
  }
  UpdateListReadTime(connection, list.age_ms);
  PublishIfChanged();
}

void ControlNode::OnListAge(const mesh::Connection& connection, const std::string& leader,
                            const wire::ListAge& age) {
  const std::uint64_t held_revision = instances_ ? instances_->revision : 0;
  if (age.revision == held_revision && instances_) return UpdateListReadTime(connection, age.age_ms);
  if (age.revision > held_revision) mesh_.Send(leader, mesh_.Encode(wire::ListRequest{held_revision}));
}

// Ignores changes to a list that this member does not hold: the ListAge message that follows makes it request
// the full list.
void ControlNode::OnListChanges(const wire::ListChanges& changes) {
  if (!instances_ || instances_->revision != changes.base) return;
  SetList(distribution::Apply(*instances_, changes));  // the ListAge message follows
  PublishIfChanged();
}

void ControlNode::UpdateListReadTime(const mesh::Connection& connection, std::uint32_t age_ms) {
  if (const auto sent_no_earlier_than = replica_.ProbeSentAt(connection.echo())) {
    instances_read_at_ = std::max(instances_read_at_, *sent_no_earlier_than - milliseconds(age_ms));
  }
}

void ControlNode::SetList(wire::InstanceListPtr list) {
  instances_ = std::move(list);
  loads_.SetInstances(*instances_);
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

// Sends loads to the other members and to the local proxies, within their budgets. Runs on every tick.
void ControlNode::ShareLoads() {
  // Clears the loads that other members hold from an earlier process of this member.
  if (!std::exchange(loads_reset_sent_, true)) SendToMembers(wire::LoadReport{});
  LoadSharing::Updates updates = loads_.Tick(Now(), publisher_.zones());
  replica_.set_proxies(loads_.board().LocalProxies());
  if (updates.to_members) SendToMembers(*updates.to_members);
  for (auto& [zone, summary] : updates.to_zones) publisher_.SendToZone(zone, std::move(summary));
}

// Only the leader sends stage orders, and not until the orders of the previous leader are so old that
// backends do not see two holders taking turns.
void ControlNode::PlanStageMoves() {
  if (!Leads()) {
    leading_since_.reset();
    return;
  }
  if (!leading_since_) {
    leading_since_ = Now();
    planner_.Reset();
  }
  if (Now() - *leading_since_ < settings_.bounds.lease + kStageOrderMargin || Now() < next_plan_at_) return;
  next_plan_at_ = Now() + kPlanInterval;
  const auto demands = loads_.board().TotalReport().demands;
  for (const wire::Demand& demand : demands) {
    spdlog::debug("demand service={} reading_ms_per_s={} generating_ms_per_s={}", demand.service,
                  demand.prefill_ms_per_s, demand.decode_ms_per_s);
  }
  auto orders = planner_.Plan(Now(), platform_instances_, demands);
  if (!orders.empty()) PublishList();  // so that no proxy picks the backends from now on
  for (StageOrder& order : orders) {
    spdlog::info("order instance={} stage={}", order.instance,
                 order.goal == StageGoal::kPrefill ? "prefill" : "decode");
    asio::co_spawn(io_, ExecuteStageOrder(std::move(order)), asio::detached);
  }
}

Awaitable<void> ControlNode::ExecuteStageOrder(StageOrder order) {
  const std::string instance = order.instance;
  const std::uint64_t epoch = replica_.epoch();
  StageOrderIssuer issuer{settings_.node_name, epoch,
                          [this, epoch] { return Leads() && replica_.epoch() == epoch; },
                          [this, instance](const char* reason) { ReportStageFault(instance, reason); }};
  const StageOrderResult result = co_await SendStageOrder(io_, std::move(order), std::move(issuer));
  if (result != StageOrderResult::kRejected) co_return;
  spdlog::warn("order refused instance={}", instance);
  planner_.OnOrderRejected(instance);
}

void ControlNode::ReportStageFault(const std::string& instance, const char* reason) {
  backend_faults_.Report({backend_faults::Kind::kReport, instance, "", std::string("reason=") + reason});
}

// Executes the effects emitted by the replica.
void ControlNode::ApplyEffects() {
  for (Effect& effect : replica_.TakeEffects()) {
    if (auto* send = std::get_if<Send>(&effect)) {
      mesh_.Send(send->to, mesh_.Encode(send->body));
    } else if (auto* persist = std::get_if<Persist>(&effect)) {
      store_->Write(std::move(*persist));
    } else if (const auto* result = std::get_if<ProposalResult>(&effect)) {
      const auto found = pending_proposals_.find(result->proposal_id);
      if (found == pending_proposals_.end()) continue;
      const auto callback = std::move(found->second);
      pending_proposals_.erase(found);
      callback(result->outcome);
    }
  }
  LogRoleChange();
  PublishIfChanged();
}

void ControlNode::LogRoleChange() {
  if (replica_.role() == logged_role_) return;
  logged_role_ = replica_.role();
  spdlog::info("role={} epoch={} leader={}", NameOf(logged_role_), replica_.epoch(), replica_.leader());
}

void ControlNode::ScheduleTick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const error_code& cancelled) {
    if (cancelled) return;
    replica_.Tick(Now());
    ApplyEffects();
    ShareLoads();
    SendMembersToGateways();
    PlanStageMoves();
    TryStop();
    if (change_pending_) {
      if (Now() >= last_change_published_at_ + kMinChangeInterval) PublishChange();
    } else if (Now() >= next_publication_at_) {
      Publish();
    }
    ScheduleTick();
  });
}

// Adds the patch from the previously committed configuration to the newest one.
void ControlNode::UpdateConfigurationHistory() {
  const wire::RecordPtr record = replica_.committed();
  const wire::RecordPtr previous = std::exchange(history_head_, record);
  if (!record || !previous || record->version == previous->version) return;
  auto patch = previous->version < record->version
                   ? configuration::PatchBetween(previous->configuration, record->configuration)
                   : std::nullopt;
  if (patch) {
    configurations_.Add(previous->version, record->version, std::move(*patch));
  } else {
    configurations_.Clear();
  }
}

distribution::PublishedState ControlNode::CurrentlyPublished() {
  const Time now = Now();
  UpdateConfigurationHistory();
  distribution::PublishedState published;
  if (const wire::RecordPtr record = replica_.committed(); record && !record->configuration.empty()) {
    published.version = record->version;
    published.configuration = [record] {
      return std::shared_ptr<const std::string>(record, &record->configuration);
    };
    published.configurations = &configurations_;
  }
  if (const auto confirmed_at = replica_.committed_confirmed_at(now)) published.age = now - *confirmed_at;
  published.instances = instances_;
  published.lists = &lists_;
  published.instances_age = now - instances_read_at_;
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
  const bool list_changed = instances_ != published_instances_;  // a backend leaves or moves: publish at once
  published_record_ = replica_.committed();
  published_instances_ = instances_;
  change_pending_ = !list_changed && Now() < last_change_published_at_ + kMinChangeInterval;
  if (!change_pending_) PublishChange();
}

void ControlNode::PublishChange() {
  change_pending_ = false;
  last_change_published_at_ = Now();
  Publish();
}

void ControlNode::Publish() {
  next_publication_at_ = Now() + kPublishInterval;
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
    const auto started_at = steady_clock::now();
    const bool leads = Leads();
    if (leads) {
      auto instances = co_await reader_.Read();
      if (instances && Leads()) OnListRead(std::move(*instances));
    }
    timer.expires_at(started_at + (leads ? kListReadInterval : kLeaderPollInterval));
    co_await timer.async_wait(kTuple);
  }
}

void ControlNode::OnListRead(std::vector<wire::Instance> instances) {
  for (wire::Instance& instance : instances)
    instance.warmup_left_ms = 0;  // changes constantly and is not used
  platform_instances_ = std::move(instances);
  instances_read_at_ = Now();
  PublishList();
}

// Publishes the list from the platform to proxies and members, with backends that are being moved marked.
void ControlNode::PublishList() {
  wire::InstanceList list;
  list.instances = platform_instances_;
  planner_.MarkMoving(Now(), list.instances);
  const std::uint64_t first_of_epoch = replica_.epoch() << kEpochShift;
  if (!instances_ || instances_->instances != list.instances || instances_->revision < first_of_epoch) {
    list.revision = std::max(first_of_epoch, instances_ ? instances_->revision : 0) + 1;
    SetList(std::make_shared<const wire::InstanceList>(std::move(list)));
  }
  PublishIfChanged();
  SendListToMembers();
}

wire::InstanceList ControlNode::ListWithAge() const {
  wire::InstanceList list = *instances_;
  list.age_ms = ListAgeMs();
  return list;
}

std::uint32_t ControlNode::ListAgeMs() const {
  return static_cast<std::uint32_t>((Now() - instances_read_at_).count());
}

// Sends the changes and the age of the list. A member that lacks the base revision requests the full list.
void ControlNode::SendListToMembers() {
  const std::uint64_t sent_revision = std::exchange(members_revision_, instances_->revision);
  if (sent_revision != instances_->revision) {
    const auto changes = lists_.Since(sent_revision);
    SendListFrame(changes ? mesh_.Encode(*changes) : mesh_.Encode(ListWithAge()));
  }
  SendListFrame(mesh_.Encode(wire::ListAge{instances_->revision, ListAgeMs()}));
}

void ControlNode::SendListFrame(const mesh::Frame& frame) {
  for (const std::string& node : OtherMembers()) SendList(node, frame);
}

// Echoes the latest probe of the member first, so that it can date the list by its own clock.
void ControlNode::SendList(const std::string& member, const mesh::Frame& frame) {
  mesh_.Send(member, mesh_.Encode(wire::Echo{replica_.LatestProbeFrom(member)}));
  mesh_.Send(member, frame);
}

}  // namespace kestrelline::control_plane
