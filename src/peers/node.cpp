// SPDX-License-Identifier: Apache-2.0
#include "peers/node.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "hashing/fnv.h"
#include "peers/wire.h"

namespace kestrelline::peers {
namespace {

// After its start a proxy also stores members that have failed or left.
constexpr Span kLearningPeriod = std::chrono::seconds(10);
constexpr Span kForgetInterval = std::chrono::seconds(10);
// A displaced process takes its name back after this many requests in a row that the holder left unanswered.
// With half of all datagrams lost, a quarter of the requests are answered, so that 40 misses in a row from a
// live holder have a probability of 1 in 100,000.
constexpr int kMaxUnansweredHolderChecks = 40;
constexpr Span kMaxContactInterval = std::chrono::seconds(4);

Member SelfOf(const Node::Options& o) {
  return {o.name, o.boot, 0, State::kAlive, o.address, o.zone, o.version, o.wire};
}

Span Jittered(Span span, std::mt19937_64& random) {
  return std::chrono::duration_cast<Span>(span * std::uniform_real_distribution<double>(0.8, 1.2)(random));
}

}  // namespace

const char* NameOf(Event::Kind kind) {
  static constexpr std::array<const char*, Event::kKinds> kNames{
      "joined", "suspected", "cleared", "failed",  "returned",  "leaving",    "left",
      "whole",  "part",      "alone",   "accused", "name-held", "name-taken", "name-regained"};
  return kNames[static_cast<std::size_t>(kind)];
}

Node::Node(Options options, Time now)
    : options_(std::move(options)),
      view_(SelfOf(options_), now, 5 * options_.times.period),
      prober_(options_.times, options_.seed, now),
      connectivity_(options_.times.connectivity_hold),
      start_(now),
      digest_due_(now + options_.times.digest_retry_interval),
      contact_due_(now),
      forget_due_(now + kForgetInterval),
      due_(now) {}

std::uint32_t Node::OwnHash() const {
  return static_cast<std::uint32_t>(hashing::Fnv1a(options_.name)) | 1;  // 0 stands for no accuser
}

// ---- receiving -----------------------------------------------------------------------------------------

// A process that was paused has heard from no one in that time, which must not count against other members.
void Node::HandlePause(Time now) {
  const Span late = now - due_;
  if (late < 2 * options_.times.period) return;
  for (auto& [name, since] : suspicions_) since += late;
  prober_.OnGap(now);
  due_ = now;
}

void Node::Receive(Time now, const Message& m) {
  if (stopped_) return;
  HandlePause(now);
  if (m.from.boot == options_.boot) return;  // sent by this process itself, since it is one of its own seeds
  if (m.from.name == options_.name) {
    if (displaced_ && m.from.boot == self().boot) unanswered_holder_checks_ = 0;
    OnStatementAboutSelf(now, m.from, true);
  } else {
    Merge(now, {m.from, 0}, Source::kDirect);
  }
  View::Entry* entry = view_.Find(m.from.name);
  if (entry && entry->member.boot == m.from.boot && m.from.name != options_.name) {
    entry->last_heard = now;
    entry->reported_view_hash = m.view;
  }
  const Source source = m.kind == Message::Kind::kEntries ? Source::kExchange : Source::kGossip;
  for (const Statement& s : m.statements) Merge(now, s, source);

  const bool for_self = m.target.empty() || m.target == options_.name;
  switch (m.kind) {
    case Message::Kind::kPing: {
      // A process that has taken over the address of another answers, so that the sender learns of it, but
      // with number 0, which acknowledges no probe.
      Message ack = NewMessage(Message::Kind::kAck);
      const bool addressed =
          for_self && (m.target_boot == 0 || m.target_boot == options_.boot) && !displaced_;
      ack.number = addressed ? m.number : 0;
      Send(m.from.address, m.from.wire, m.from.name, std::move(ack));
      break;
    }
    case Message::Kind::kAck: {
      unanswered_contacts_ = 0;
      const auto relayed = relayed_pings_.find(m.number);
      if (relayed != relayed_pings_.end() && m.from.name == relayed->second.target) {
        Message ack = NewMessage(Message::Kind::kAck);
        ack.number = relayed->second.number;
        ack.target = relayed->second.target;
        ack.target_boot = m.from.boot;
        Send(relayed->second.to, relayed->second.wire, "", std::move(ack));
        relayed_pings_.erase(relayed);
      } else if (m.target.empty()) {
        prober_.OnAck(now, m.number, m.from.name, m.from.boot, true, &view_);
      } else {
        prober_.OnAck(now, m.number, m.target, m.target_boot, false, &view_);
      }
      break;
    }
    case Message::Kind::kNack:
      prober_.OnNack(m.number);
      break;
    case Message::Kind::kRelay: {
      if (displaced_ || relayed_pings_.size() >= kMaxPendingRelays || m.target_address.port == 0) break;
      const std::uint64_t number = prober_.NextNumber();
      relayed_pings_[number] = {m.from.address, m.from.wire,   m.number,
                                m.target,       m.target_boot, now + options_.times.period / 3};
      const View::Entry* target = view_.Find(m.target);
      Message ping = NewMessage(Message::Kind::kPing);
      ping.number = number;
      ping.target = m.target;
      ping.target_boot = m.target_boot;
      Send(m.target_address, target ? target->member.wire : wire::kOldestFormat, m.target, std::move(ping));
      break;
    }
    case Message::Kind::kDigest:
    case Message::Kind::kJoin: {
      if (displaced_) break;
      const bool joins = m.kind == Message::Kind::kJoin;
      const auto differing = exchange::DifferingBuckets(view_, m.digest);
      Message base = NewMessage(Message::Kind::kEntries);
      base.reply = true;
      if (joins) {
        Message ack = NewMessage(Message::Kind::kAck);
        Send(m.from.address, m.from.wire, m.from.name, std::move(ack));
      }
      if (differing.none()) break;
      digest_due_ = std::min(digest_due_, now + options_.times.digest_retry_interval);
      SendDatagrams(m.from, exchange::BuildEntries(view_, differing, base, prober_.random()() % kBuckets,
                                                   kMaxDatagramsPerExchange, joins));
      break;
    }
    case Message::Kind::kEntries:
      digest_due_ = std::min(digest_due_, now + options_.times.digest_retry_interval);
      if (m.reply && !displaced_)
        SendDatagrams(m.from, exchange::BuildReply(view_, m, NewMessage(Message::Kind::kEntries),
                                                   kMaxDatagramsPerExchange));
      break;
  }
  UpdateConnectivity(now);
  due_ = std::max(due_, now);
}

void Node::Merge(Time now, const Statement& s, Source source) {
  const Member& said = s.member;
  if (said.name == options_.name) return OnStatementAboutSelf(now, said, false);
  const View::Entry* before = view_.Find(said.name);
  const std::optional<Member> old = before ? std::optional(before->member) : std::nullopt;
  const auto merged = view_.Merge(said, source, now, now - start_ < kLearningPeriod);
  View::Entry* entry = view_.Find(said.name);
  if (merged == View::MergeResult::kUnchanged && entry && s.accuser != 0 && said.state == State::kSuspect &&
      entry->member.state == State::kSuspect && entry->member.boot == said.boot &&
      entry->member.incarnation == said.incarnation) {
    return Suspect(now, *entry, s.accuser);  // an independent confirmation
  }
  if (merged != View::MergeResult::kStored && merged != View::MergeResult::kStoredAsSuspect) return;

  const Member& held = entry->member;
  suspicions_.erase(said.name);
  const bool was_present = old && Present(old->state), is_present = Present(held.state);
  const bool suspected_before = old && old->state == State::kSuspect;
  if (held.state == State::kSuspect) {
    if (!was_present) EmitEvent(old ? Event::Kind::kReturned : Event::Kind::kJoined, held);
    EmitEvent(Event::Kind::kSuspected, held);
    Suspect(now, *entry, s.accuser != 0 ? s.accuser : OwnHash());
    return;
  }
  if (is_present && (!was_present || old->boot != held.boot)) {
    EmitEvent(old ? Event::Kind::kReturned : Event::Kind::kJoined, held);
  } else if (held.state == State::kAlive && suspected_before) {
    EmitEvent(Event::Kind::kCleared, held);
  }
  if (held.state == State::kLeaving && !(old && old->state == State::kLeaving))
    EmitEvent(Event::Kind::kLeaving, held);
  if (!is_present && was_present)
    EmitEvent(held.state == State::kLeft ? Event::Kind::kLeft : Event::Kind::kFailed, held);
  gossip_.Add(wire::ShortForm({held, s.accuser}));
}

// Handles statements about this proxy, made by others or by another process of the same name.
void Node::OnStatementAboutSelf(Time now, const Member& said, bool direct) {
  if (said.boot == options_.boot) {
    const bool needs_refuting = said.state == State::kSuspect || said.state == State::kFaulty ||
                                (said.state == State::kLeft && !stopped_);
    if (displaced_ || !needs_refuting || said.incarnation < self().incarnation) return;
    prober_.health().Degrade();
    if (said.state != State::kSuspect) EmitEvent(Event::Kind::kAccused, said);
    return SetSelf(now, said.incarnation + 1, self().state);
  }
  if (displaced_) return;
  switch (conflict_.Judge(self(), said, direct)) {
    case NameConflict::Verdict::kIgnore:
      break;
    case NameConflict::Verdict::kYield: {
      // A short statement lacks the address at which to contact the holder; a full one follows.
      if (said.address.port == 0) return;
      displaced_ = true;
      unanswered_holder_checks_ = 0;
      holder_check_due_ = now;
      gossip_.Drop(options_.name);
      suspicions_.clear();
      view_.SetSelf(said, now);
      EmitEvent(Event::Kind::kNameHeld, said);
      return;
    }
    case NameConflict::Verdict::kRaise:
      if (said.address != self().address && said.address.port != 0) {
        if (Present(said.state) && conflict_.IsFirstReport(said.boot))
          EmitEvent(Event::Kind::kNameTaken, said);
        Message join = NewMessage(Message::Kind::kJoin);
        SetSelf(now, said.incarnation + 1, self().state);
        join.from = self();
        return Send(said.address, wire::kOldestFormat, "", std::move(join));
      }
      SetSelf(now, said.incarnation + 1, self().state);
      return;
  }
}

void Node::SetSelf(Time now, std::uint64_t incarnation, State state) {
  Member me = SelfOf(options_);
  me.incarnation = incarnation;
  me.state = state;
  view_.SetSelf(me, now);
  gossip_.Add({me, 0});
}

// ---- timers --------------------------------------------------------------------------------------------

void Node::Suspect(Time now, View::Entry& entry, std::uint32_t accuser) {
  auto& accusers = entry.accusers;
  const bool is_new = std::find(accusers.begin(), accusers.end(), accuser) == accusers.end() &&
                      accusers.size() <= kMaxConfirmations;
  if (is_new) accusers.push_back(accuser);
  suspicions_.try_emplace(entry.member.name, now);
  // Each independent accuser is gossiped, since each shortens the suspicion.
  if (is_new) gossip_.Add(wire::ShortForm({entry.member, accuser}));
}

Time Node::SuspicionDeadline(const std::string& name, Time since) const {
  const View::Entry* entry = view_.Find(name);
  return since + options_.times.Suspicion(view_.present(), entry ? entry->confirmations() : 0);
}

void Node::Expire(Time now) {
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    View::Entry* entry = view_.Find(it->first);
    if (!entry || (entry->member.state != State::kSuspect && entry->member.state != State::kLeaving)) {
      it = suspicions_.erase(it);
      continue;
    }
    if (entry->member.state == State::kLeaving && entry->last_heard > it->second) {
      it = suspicions_.erase(it);
      continue;
    }
    if (now < SuspicionDeadline(it->first, it->second)) {
      ++it;
      continue;
    }
    Member ended = entry->member;
    ended.state = ended.state == State::kLeaving ? State::kLeft : State::kFaulty;
    suspicions_.erase(it);
    Merge(now, {ended, 0}, Source::kLocal);
    it = suspicions_.begin();  // fewer members can confirm fewer times: others may be due now
  }
}

void Node::OnFailed(Time now, const Prober::Step& step) {
  View::Entry* entry = view_.Find(step.name);
  if (!entry || entry->member.boot != step.boot) return;
  if (entry->member.state == State::kLeaving) {
    suspicions_.try_emplace(step.name, now);  // it stopped without announcing its end
    return;
  }
  if (entry->member.state == State::kSuspect) return Suspect(now, *entry, OwnHash());
  Member suspect = entry->member;
  suspect.state = State::kSuspect;
  Merge(now, {suspect, OwnHash()}, Source::kLocal);
}

void Node::Ping(const Member& member, std::uint64_t number) {
  Message ping = NewMessage(Message::Kind::kPing);
  ping.number = number;
  ping.target = member.name;
  ping.target_boot = member.boot;
  Send(member.address, member.wire, member.name, std::move(ping));
}

void Node::Probe(Time now) {
  for (;;) {
    const Prober::Step step = prober_.Next(now, view_);
    const View::Entry* entry = view_.Find(step.name);
    switch (step.action) {
      case Prober::Step::Action::kNothing:
        return;
      case Prober::Step::Action::kPing: {
        if (entry) Ping(entry->member, step.number);
        // An accuser keeps pinging the members it suspects, so that they learn of it and can refute it.
        std::vector<const Member*> accused;
        for (const auto& [name, since] : suspicions_) {
          const View::Entry* e = view_.Find(name);
          if (e && name != step.name && e->accuser() == OwnHash()) accused.push_back(&e->member);
        }
        if (!accused.empty()) Ping(*accused[prober_.random()() % accused.size()], prober_.NextNumber());
        break;
      }
      case Prober::Step::Action::kRelay: {
        if (!entry) break;
        Ping(entry->member, step.number);
        for (const std::string& relay : step.relays) {
          const View::Entry* by = view_.Find(relay);
          if (!by) continue;
          Message request = NewMessage(Message::Kind::kRelay);
          request.number = step.number;
          request.target = step.name;
          request.target_boot = step.boot;
          request.target_address = entry->member.address;
          Send(by->member.address, by->member.wire, relay, std::move(request));
        }
        break;
      }
      case Prober::Step::Action::kFailed:
        OnFailed(now, step);
        break;
    }
  }
}

void Node::SendDigest(Time now) {
  digest_due_ = now + Jittered(options_.times.digest_interval, prober_.random());
  // Only with members that have been heard from: a view that holds many names without a process behind them
  // would otherwise be compared with none.
  std::vector<const Member*> others;
  for (const auto& [name, entry] : view_.entries())
    if (Present(entry.member.state) && entry.last_heard != Time() && name != options_.name)
      others.push_back(&entry.member);
  if (others.empty()) return;
  const Member& other = *others[prober_.random()() % others.size()];
  Message digest = NewMessage(Message::Kind::kDigest);
  digest.digest.assign(view_.digest().begin(), view_.digest().end());
  Send(other.address, other.wire, other.name, std::move(digest));
}

// Checks whether the holder of this process's name is still alive, and takes the name back if it is not.
void Node::CheckNameHolder(Time now) {
  if (unanswered_holder_checks_ >= kMaxUnansweredHolderChecks) {
    displaced_ = false;
    conflict_ = {};
    SetSelf(now, self().incarnation + 1, State::kAlive);
    EmitEvent(Event::Kind::kNameRegained, self());
    return;
  }
  Send(self().address, wire::kOldestFormat, "", NewMessage(Message::Kind::kJoin));
  ++unanswered_holder_checks_;
  holder_check_due_ = now + options_.times.period;
}

// Sends a join to a random member that has failed or left, or to a seed that is in no view. Only in this way
// do the two sides of a healed partition, or a new process whose seeds were dead, find the others.
void Node::ContactAbsentPeers(Time now) {
  std::vector<std::pair<Address, std::uint8_t>> absent;
  std::vector<Address> present;
  for (const auto& [name, entry] : view_.entries()) {
    if (Present(entry.member.state)) {
      present.push_back(entry.member.address);
    } else {
      absent.emplace_back(entry.member.address, entry.member.wire);
    }
  }
  std::sort(present.begin(), present.end());
  for (const Address& seed : options_.seeds)
    if (!std::binary_search(present.begin(), present.end(), seed))
      absent.emplace_back(seed, wire::kOldestFormat);
  Span pause = options_.times.contact_interval;
  if (!absent.empty()) {
    const auto& [address, wire_format] = absent[prober_.random()() % absent.size()];
    Message join = NewMessage(Message::Kind::kJoin);
    join.digest.assign(view_.digest().begin(), view_.digest().end());
    Send(address, wire_format, "", std::move(join));
    // Backs off after 16 attempts without an ack, so that a few members that never return are not contacted
    // at the full rate for ever, but many that have failed at once are.
    unanswered_contacts_ = std::min(unanswered_contacts_ + 1, 64);
    if (unanswered_contacts_ > 16) pause = std::min(pause * (unanswered_contacts_ / 16), kMaxContactInterval);
  }
  contact_due_ = now + Jittered(pause, prober_.random());
}

void Node::UpdateConnectivity(Time now) {
  const bool has_seeds = std::any_of(options_.seeds.begin(), options_.seeds.end(),
                                     [&](const Address& a) { return a != options_.address; });
  if (!connectivity_.Update(now, view_.present(), view_.present() + view_.faulty(), has_seeds)) return;
  EmitEvent(connectivity_.current() == Connectivity::kWhole  ? Event::Kind::kWhole
            : connectivity_.current() == Connectivity::kPart ? Event::Kind::kPart
                                                             : Event::Kind::kAlone,
            self());
}

void Node::Tick(Time now) {
  if (stopped_) return;
  HandlePause(now);
  if (displaced_) {
    if (now >= holder_check_due_) CheckNameHolder(now);
  } else {
    Probe(now);
    Expire(now);
    if (now >= digest_due_) SendDigest(now);
  }
  if (now >= contact_due_) ContactAbsentPeers(now);
  if (now >= forget_due_) {
    forget_due_ = now + kForgetInterval;
    view_.Forget(now, options_.times.left_retention, options_.times.failed_retention);
  }
  for (auto it = relayed_pings_.begin(); it != relayed_pings_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    Message nack = NewMessage(Message::Kind::kNack);
    nack.number = it->second.number;
    nack.target = it->second.target;
    Send(it->second.to, it->second.wire, "", std::move(nack));
    it = relayed_pings_.erase(it);
  }
  UpdateConnectivity(now);
  due_ = NextDue();
}

Time Node::NextDue() const {
  if (stopped_) return Time::max();
  Time due = std::min({contact_due_, forget_due_});
  if (displaced_) {
    due = std::min(due, holder_check_due_);
  } else {
    due = std::min({due, prober_.Due(), digest_due_});
    for (const auto& [name, since] : suspicions_) due = std::min(due, SuspicionDeadline(name, since));
  }
  for (const auto& [number, relayed] : relayed_pings_) due = std::min(due, relayed.until);
  if (connectivity_.pending()) due = std::min(due, connectivity_.due());
  return due;
}

bool Node::Settled(Time now) const {
  if (displaced_) return false;
  bool heard = false;
  for (const auto& [name, entry] : view_.entries()) {
    if (name == options_.name || !Present(entry.member.state)) continue;
    if (entry.last_heard == Time() || now - entry.last_heard > options_.times.recent_contact) continue;
    if (entry.reported_view_hash != 0 && entry.reported_view_hash != view_.hash()) return false;
    heard = true;
  }
  return heard || view_.present() == 1;
}

// ---- sending -------------------------------------------------------------------------------------------

Message Node::NewMessage(Message::Kind kind) const {
  Message m;
  m.kind = kind;
  m.from = self();
  if (displaced_) {  // only that it exists, under its own boot
    m.from = SelfOf(options_);
  }
  m.view = view_.hash();
  return m;
}

void Node::Send(const Address& to, std::uint8_t wire_format, std::string_view name, Message m) {
  if (to == options_.address) return;
  // What the receiver has to refute takes precedence over gossip.
  const View::Entry* about = name.empty() ? nullptr : view_.Find(name);
  if (about && name != options_.name && about->member.state != State::kAlive)
    m.statements.push_back(wire::ShortForm({about->member, about->accuser()}));
  if (m.kind != Message::Kind::kEntries && !displaced_) {
    const std::size_t used = wire::MaxBytes(m);
    if (used < wire::kMaxBodyBytes)
      gossip_.Fill(wire::kMaxBodyBytes - used, Times::RetransmitLimit(view_.present()), &m.statements);
  }
  outgoing_.push_back({to, std::move(m), std::min(wire_format, options_.wire)});
}

void Node::SendDatagrams(const Member& to, std::vector<Message> messages) {
  for (Message& message : messages) Send(to.address, to.wire, "", std::move(message));
}

void Node::Leave(Time now) {
  if (stopped_ || displaced_ || self().state != State::kAlive) return;
  SetSelf(now, self().incarnation, State::kLeaving);
}

void Node::CancelLeave(Time now) {
  if (stopped_ || displaced_ || self().state != State::kLeaving) return;
  SetSelf(now, self().incarnation + 1, State::kAlive);
}

void Node::AnnounceLeft(Time now) {
  if (stopped_) return;
  if (!displaced_) {
    SetSelf(now, self().incarnation, State::kLeft);
    std::vector<const Member*> others;
    for (const auto& [name, entry] : view_.entries())
      if (Present(entry.member.state) && name != options_.name) others.push_back(&entry.member);
    std::shuffle(others.begin(), others.end(), prober_.random());
    for (std::size_t i = 0; i < std::min(others.size(), kMaxLeaveNotices); ++i)
      Send(others[i]->address, others[i]->wire, "", NewMessage(Message::Kind::kAck));
  }
  stopped_ = true;
}

}  // namespace kestrelline::peers
