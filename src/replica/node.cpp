// SPDX-License-Identifier: Apache-2.0
#include "replica/node.h"

#include <algorithm>

#include "hashing/fnv.h"

namespace kestrelline::replica {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEntriesPerUpdate = 2000;  // of one origin
// In a range in which two copies differ, up to so many entries are sent instead of digests of its parts.
constexpr std::size_t kMaxEntriesSentAtOnce = 24;
constexpr std::size_t kMaxEntriesIfMostDiffer = 4000;  // the same if nearly all parts differ
constexpr std::size_t kMaxRangeDigestsPerDatagram = 8;
constexpr int kReportedDifferenceCount = 3;  // differences in a row after which operators are told
constexpr int kReannouncements = 2;          // announcements of the own position after the last update
constexpr Span kHousekeeping = std::chrono::seconds(1), kHousekeepingBacklogDelay = milliseconds(5);
constexpr double kBurstSeconds = 0.25;  // of the byte rate

}  // namespace

std::uint64_t Node::OwnerOf(std::string_view name) { return hashing::Fnv1a(name) | 1; }

Node::Node(Options options, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      store_(random_() | 1, OwnerOf(options_.name), options_.max_entries, now),
      compare_due_(now),
      start_(now),
      housekeeping_due_(now + kHousekeeping),
      refilled_(now),
      byte_allowance_(static_cast<double>(options_.bytes_per_s) * kBurstSeconds) {}

// ---- membership ----------------------------------------------------------------------------------------

void Node::OnPeer(Time now, const peers::Event& event) {
  using Kind = peers::Event::Kind;
  const peers::Member& member = event.member;
  if (member.name == options_.name) return;
  switch (event.kind) {
    case Kind::kJoined:
    case Kind::kReturned:
    case Kind::kCleared: {
      Peer& peer = peers_[member.name];
      if (peer.boot != member.boot) {
        by_boot_.erase(peer.boot);
        peer.current = peer.consulted = false;
        peer.has = 0;
      }
      by_boot_[member.boot] = member.name;
      peer.boot = member.boot, peer.owner = OwnerOf(member.name), peer.zone = member.zone,
      peer.address = member.address;
      peer.present = true;
      compare_due_ = std::min(compare_due_, now + milliseconds(random_() % 50));
      break;
    }
    case Kind::kFailed:
    case Kind::kLeft: {
      const auto found = peers_.find(member.name);
      if (found == peers_.end()) return;
      puller_.Abandon(member.name);
      by_boot_.erase(found->second.boot);
      found->second.present = found->second.current = false;
      if (event.kind == Kind::kLeft)
        peers_.erase(found);  // it has handed its entries over: it need not be asked any more
      break;
    }
    default:
      return;
  }
  present_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [](const auto& p) { return p.second.present; }));
}

std::size_t Node::members() const { return peers_.size() + 1; }

const Node::PeerMap::value_type* Node::FindByBoot(std::uint64_t boot) const {
  const auto name = by_boot_.find(boot);
  if (name == by_boot_.end()) return nullptr;
  const auto peer = peers_.find(name->second);
  return peer == peers_.end() || !peer->second.present ? nullptr : &*peer;
}

std::vector<Node::PeerState> Node::Peers() const {
  std::vector<PeerState> all;
  for (const auto& [name, peer] : peers_) {
    const Seq upto = store_.upto(store_.own());
    all.push_back({name, peer.present, peer.current, upto - std::min(upto, peer.has)});
  }
  return all;
}

// ---- sending updates -----------------------------------------------------------------------------------

Message Node::NewMessage(Message::Kind kind, std::uint64_t number) const {
  Message message;
  message.kind = kind;
  message.number = number;
  message.current = current_;
  return message;
}

void Node::RefillAllowance(Time now) {
  const double rate = static_cast<double>(options_.bytes_per_s);
  byte_allowance_ = std::min(rate * kBurstSeconds,
                             byte_allowance_ + rate * std::chrono::duration<double>(now - refilled_).count());
  refilled_ = now;
}

// Messages over the byte budget are dropped: receivers request what they miss.
void Node::Send(std::vector<peers::Address> to, const Message& message, bool urgent) {
  if (to.empty()) return;
  Outgoing out{std::move(to), wire::Encode(message)};
  const auto cost = static_cast<double>(out.body.size() * out.to.size());
  if (!urgent && byte_allowance_ < 0) return;
  byte_allowance_ -= cost;
  outgoing_.push_back(std::move(out));
}

std::vector<peers::Address> Node::Recipients(bool all) {
  std::vector<peers::Address> to;
  for (const auto& [name, peer] : peers_)
    if (peer.present) to.push_back(peer.address);
  if (all || to.size() <= kMaxDirectRecipients) return to;
  for (std::size_t i = 0; i < kFanout; ++i) std::swap(to[i], to[i + random_() % (to.size() - i)]);
  to.resize(kFanout);
  return to;
}

Seq Node::Write(Time now, const Subject& subject, Span lifetime, std::uint32_t value) {
  const Seq seq = store_.Write(now, subject, lifetime, value);
  if (!update_due_) update_due_ = std::max(now, update_sent_ + options_.times.update_delay);
  return seq;
}

void Node::WriteAndWait(Time now, PendingClaims::Id id, const Subject& subject, Span lifetime,
                        std::uint32_t value, std::size_t k, Span within) {
  const Seq seq = Write(now, subject, lifetime, value);
  // Without room for the entry here the claim can't be confirmed, and no other member is asked to hold it.
  const Quorum quorum = seq == 0 ? Quorum{kMaxDirectRecipients + 1, 0} : Quorum::Of(members(), k);
  const bool many = present_ > kMaxDirectRecipients;
  pending_claims_.Add(id, seq, quorum, many || seq == 0 ? 0 : present_, now, now + within);
  if (!pending_claims_.empty())
    update_due_ = std::min(*update_due_, std::max(now, update_sent_ + options_.times.urgent_update_delay));
}

void Node::SendUpdates(Time now) {
  update_due_.reset();
  const bool claims_wait = !pending_claims_.empty();
  if (byte_allowance_ < 0 && !claims_wait) {
    update_due_ = now + options_.times.update_delay;
    return;
  }
  update_sent_ = now;
  const Interval own = store_.EntriesAfter(now, store_.own(), announced_upto_, kMaxEntriesPerUpdate);
  wire::Packer packer(NewMessage(Message::Kind::kUpdate, claims_wait ? 1 : 0));
  if (own.upto > announced_upto_) packer.Add(own);
  announced_upto_ = own.upto;
  for (const auto& [origin, from] : std::exchange(to_forward_, {}))
    packer.Add(store_.EntriesAfter(now, origin, from, kMaxEntriesPerUpdate));
  std::vector<Message> updates = packer.Take();
  for (const Message& message : updates) Send(Recipients(claims_wait), message, claims_wait);
  if (successor_) handoff_.Add(std::move(updates));
  if (announced_upto_ < store_.upto(store_.own())) update_due_ = now + options_.times.urgent_update_delay;
  reannouncements_left_ = kReannouncements;
  reannounce_due_ = now + options_.times.reannounce_delay;
}

// Announces the own position without entries, so that a receiver notices a lost update even if no other one
// follows.
void Node::Reannounce(Time now) {
  reannounce_due_ = --reannouncements_left_ > 0 ? now + 4 * options_.times.reannounce_delay : Time::max();
  const Seq upto = store_.upto(store_.own());
  Message message = NewMessage(Message::Kind::kUpdate);
  message.intervals.push_back(
      {store_.own(), OwnerOf(options_.name), store_.NowOf(store_.own(), now), upto, upto, {}});
  Send(Recipients(false), message);
}

// Sends claims that a request waits for again to the members that haven't acknowledged them.
void Node::Retransmit(Time now) {
  for (const auto& [seq, holders] : pending_claims_.TakeRetransmissions(now)) {
    Message message = NewMessage(Message::Kind::kUpdate, 1);
    message.intervals.push_back(store_.EntriesAfter(now, store_.own(), seq - 1, 1));
    std::vector<peers::Address> to;
    for (const auto& [name, peer] : peers_)
      if (peer.present && !holders.contains(peer.boot)) to.push_back(peer.address);
    Send(std::move(to), message, true);
  }
}

void Node::Leave(Time now) {
  SendUpdates(now);
  departure_tries_ = 0;
  departure_due_ = now;
  AnnounceDeparture(now);
}

// Some members fetch what only this one has, and their summaries then show it. Others fetch it from them
// later.
void Node::AnnounceDeparture(Time now) {
  // At least one announcement is sent in any case, because this node may hold entries of other origins that
  // nobody else has.
  const bool announced = departure_tries_ > 0;
  if ((announced && OwnEntriesReplicated()) || departure_tries_++ == kDepartureTries) {
    departure_due_ = Time::max();
    return;
  }
  departure_due_ = now + options_.times.response_timeout;
  std::size_t remaining = kDepartureRecipients;
  for (const auto& [name, peer] : peers_)
    if (peer.present && remaining-- > 0) SendSummaries(now, peer.address, true);
}

bool Node::OwnEntriesReplicated() const {
  const Seq upto = store_.upto(store_.own());
  const auto holds_all = [upto](const auto& peer) { return peer.second.present && peer.second.has >= upto; };
  return present_ == 0 || std::any_of(peers_.begin(), peers_.end(), holds_all);
}

bool Node::MayExit() const { return handoff_.done() && departure_due_ == Time::max(); }

void Node::HandOver(Time now, const peers::Address& successor) {
  successor_ = successor;
  departure_due_ = Time::max();  // the name stays in the fleet: this is no departure
  wire::Packer packer(NewMessage(Message::Kind::kChunk));
  for (const auto& [origin, stream] : store_.streams())
    for (const Interval& part : store_.EntriesBetween(now, origin, 0, stream.top())) packer.Add(part);
  handoff_.Add(packer.Take());
}

// ---- receiving -----------------------------------------------------------------------------------------

void Node::MergeInterval(Time now, const Interval& interval, const std::string& from) {
  if (interval.origin == store_.own()) {
    const auto foreign = [this](const Entry& e) {
      const Entry* own_copy = store_.StreamOf(store_.own())->Find(e.seq);
      return own_copy && *own_copy != e;
    };
    if (interval.upto <= store_.upto(store_.own()) &&
        std::none_of(interval.entries.begin(), interval.entries.end(), foreign))
      return;
    // Entries that this process didn't write: another process uses the same origin.
    events_.push_back({Event::Kind::kOriginChanged, "", store_.own(), 0, 0, 0});
    store_.ChangeOrigin(now, random_() | 1);
    announced_upto_ = 0;
    pending_claims_.FailAll();
    update_due_ = now;
    return;
  }
  const Seq before = store_.upto(interval.origin);
  const bool anything_new = store_.Merge(now, interval);
  // There is a gap before the interval: the sender has what is missing, and can be asked if it is a member.
  if (!from.empty() && interval.after > store_.upto(interval.origin))
    puller_.OnPeerHas(interval.origin, interval.after, from);
  if (!anything_new || present_ <= kMaxDirectRecipients) return;
  to_forward_.try_emplace(interval.origin, std::min(before, interval.after));
  if (!update_due_) update_due_ = std::max(now, update_sent_ + options_.times.update_delay);
}

void Node::OnUnknownSender(Time now, const peers::Address& from, const Message& message) {
  if (successor_ && message.kind == Message::Kind::kAck) handoff_.OnAck(message.number);
  if (successor_) return;
  if (message.kind != Message::Kind::kUpdate && message.kind != Message::Kind::kChunk) return;
  for (const Interval& interval : message.intervals) MergeInterval(now, interval, "");
  if (message.kind == Message::Kind::kChunk && message.last)
    Send({from}, NewMessage(Message::Kind::kAck, message.number), true);
}

void Node::Receive(Time now, std::uint64_t boot, const peers::Address& address, const Message& message) {
  const auto* from = FindByBoot(boot);
  if (!from) return OnUnknownSender(now, address, message);
  RefillAllowance(now);
  const auto& [name, known] = *from;
  Peer& peer = peers_.find(name)->second;
  peer.current = message.current;
  for (const Interval& interval : message.intervals) MergeInterval(now, interval, name);
  switch (message.kind) {
    case Message::Kind::kUpdate:
      if (message.number != 0) Acknowledge(now, message, peer.address);
      RequestMissing(now);
      break;
    case Message::Kind::kAck:
      for (const Interval& i : message.intervals)
        if (i.origin == store_.own()) pending_claims_.OnAck(boot, message.current, i.after, i.upto);
      break;
    case Message::Kind::kSummaries:
      for (const CopySummary& summary : message.summaries) {
        if (summary.origin == store_.own()) {
          peer.has = std::max(peer.has, summary.upto);
          if (departure_due_ != Time::max() && OwnEntriesReplicated()) departure_due_ = now;
          if (summary.upto > store_.upto(store_.own()))
            MergeInterval(now, {summary.origin, summary.owner, 0, 0, summary.upto, {}}, name);
          continue;
        }
        if (summary.upto > store_.upto(summary.origin)) {
          puller_.OnPeerHas(summary.origin, summary.upto, name);
        } else if (store_.StreamOf(summary.origin)) {
          store_.LearnClock(summary.origin, summary.now_ms, now);
          if (summary.upto == store_.upto(summary.origin)) Compare(now, summary, *from);
        }
      }
      if (message.number != 0) SendSummaries(now, peer.address, false);
      if (message.last && name == donor_) peer.consulted = true;
      RequestMissing(now);
      break;
    case Message::Kind::kPullRequest: {
      wire::Packer packer(NewMessage(Message::Kind::kChunk, message.number));
      // Entries take at least four bytes less than their maximum, so that more of them may fit than
      // EntriesThatFit says.
      std::size_t room = kMaxChunkDatagrams * wire::EntriesThatFit(wire::kMaxBodyBytes) * 2;
      for (const Pull& pull : message.pulls) {
        if (room == 0) break;
        const Interval part = store_.EntriesAfter(now, pull.origin, pull.after, room);
        if (part.upto <= pull.after) continue;
        room -= std::min(room, part.entries.size() + 1);
        packer.Add(part);
      }
      auto chunk = packer.Take();
      if (chunk.size() > kMaxChunkDatagrams) chunk.resize(kMaxChunkDatagrams);
      if (chunk.empty()) chunk.push_back(NewMessage(Message::Kind::kChunk, message.number));
      chunk.back().last = true;
      for (const Message& datagram : chunk) Send({peer.address}, datagram);
      break;
    }
    case Message::Kind::kChunk:
      puller_.OnChunk(now, options_.times.response_timeout, name, message.number, message.last);
      RequestMissing(now);
      break;
    case Message::Kind::kRangeDigests:
      for (const RangeDigests& range_digests : message.range_digests)
        OnRangeDigests(now, range_digests, *from);
      SendExtraEntries(now, message, *from);
      break;
  }
  CatchUp(now);
}

// Acknowledges the entries of an update that are held here, together with the entries of other origins about
// the same subjects. Both must be in the same datagram: the writer may not see the one without the other.
void Node::Acknowledge(Time now, const Message& update, const peers::Address& to) {
  for (const Interval& received : update.intervals) {
    const Stream* stream = store_.StreamOf(received.origin);
    if (!stream || received.origin == store_.own()) continue;
    Interval acknowledged = received;
    acknowledged.entries.clear();
    Message ack = NewMessage(Message::Kind::kAck);
    std::size_t bytes = wire::kHeaderBytes + 8 + wire::kMaxIntervalBytes;
    const auto flush = [&](Seq upto) {
      acknowledged.upto = upto;
      ack.intervals.insert(ack.intervals.begin(), acknowledged);
      if (acknowledged.upto > acknowledged.after) Send({to}, ack, true);
      ack.intervals.clear();
      bytes = wire::kHeaderBytes + 8 + wire::kMaxIntervalBytes;
      acknowledged.after = upto;
    };
    bool all = true;
    for (const Entry& entry : received.entries) {
      // A full copy may have left the entry out, and does not acknowledge it then.
      const Entry* latest = stream->Find(entry.subject);
      if (!(all = latest && latest->seq >= entry.seq)) {
        flush(entry.seq - 1);
        break;
      }
      std::vector<Interval> others;
      for (const Store::Match& found : store_.Find(now, entry.subject.table, entry.subject.id)) {
        if (found.origin == received.origin) continue;
        others.push_back({found.origin,
                          store_.StreamOf(found.origin)->owner(),
                          store_.NowOf(found.origin, now),
                          found.entry.seq - 1,
                          found.entry.seq,
                          {found.entry}});
      }
      const std::size_t more = others.size() * (wire::kMaxIntervalBytes + wire::kMaxEntryBytes);
      if (bytes + more > wire::kMaxBodyBytes) flush(entry.seq - 1);
      if (bytes + more > wire::kMaxBodyBytes || others.size() >= wire::kMaxItems) {
        all = false;  // too many claims on the key for one datagram: the claim may not be confirmed
        break;
      }
      bytes += more;
      ack.intervals.insert(ack.intervals.end(), others.begin(), others.end());
    }
    if (all) flush(received.upto);
  }
}

// ---- comparing and repairing copies --------------------------------------------------------------------

void Node::SendSummaries(Time now, const peers::Address& to, bool wants_reply) {
  const std::size_t fits = (wire::kMaxBodyBytes - wire::kHeaderBytes - 8) / wire::kMaxSummaryBytes;
  std::vector<CopySummary> all;
  for (const auto& [origin, stream] : store_.streams()) {
    if (stream.empty() && origin != store_.own()) continue;
    const std::uint64_t origin_now = store_.NowOf(origin, now);
    const std::uint64_t as_of = std::max(origin_now, store_.EvictionHorizon(origin));
    all.push_back({origin, stream.owner(), origin_now, stream.upto(), as_of,
                   static_cast<std::uint32_t>(stream.Digest(as_of))});
  }
  // If there are more than fit, the next comparison continues after the ones sent now.
  const std::size_t max_summaries = fits * kMaxSummaryDatagrams;
  if (all.size() > max_summaries) {
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(summary_offset_ % all.size()),
                all.end());
    summary_offset_ += max_summaries;
    all.resize(max_summaries);
  }
  for (std::size_t begin = 0; begin == 0 || begin < all.size(); begin += fits) {
    Message message = NewMessage(Message::Kind::kSummaries, wants_reply && begin == 0 ? 1 : 0);
    const auto end = std::min(all.size(), begin + fits);
    message.summaries.assign(all.begin() + static_cast<std::ptrdiff_t>(begin),
                             all.begin() + static_cast<std::ptrdiff_t>(end));
    message.last = end == all.size();
    Send({to}, message);
  }
}

void Node::RequestMissing(Time now) {
  const auto request = puller_.Next(now, options_.times.response_timeout,
                                    [this](Origin origin) { return store_.upto(origin); });
  if (!request) return;
  const auto peer = peers_.find(request->peer);
  if (peer == peers_.end()) return puller_.Abandon(request->peer);
  Message message = NewMessage(Message::Kind::kPullRequest, request->number);
  message.pulls = request->pulls;
  Send({peer->second.address}, message, true);
}

void Node::Compare(Time now, const CopySummary& summary, const PeerMap::value_type& peer) {
  const Stream& own_copy = *store_.StreamOf(summary.origin);
  // Copies aren't comparable if one of them may lack entries because of eviction or expiry.
  const bool comparable = store_.EvictionHorizon(summary.origin) <= summary.as_of_ms &&
                          store_.NowOf(summary.origin, now) < summary.as_of_ms + Store::kGracePeriodMs / 2;
  if (!comparable || static_cast<std::uint32_t>(own_copy.Digest(summary.as_of_ms)) == summary.digest) {
    if (comparable) difference_counts_.erase(summary.origin);
    return;
  }
  ++repaired_;
  if (++difference_counts_[summary.origin] == kReportedDifferenceCount)
    events_.push_back({Event::Kind::kRepeatedDifference, peer.first, summary.origin, 0, own_copy.top(), 0});
  Message message = NewMessage(Message::Kind::kRangeDigests);
  message.range_digests.push_back(DigestsOf(summary.origin, summary.as_of_ms, 0, own_copy.top()));
  Send({peer.second.address}, message);
}

RangeDigests Node::DigestsOf(Origin origin, std::uint64_t as_of_ms, Seq after, Seq upto) const {
  RangeDigests range{origin, as_of_ms, after, upto, {}};
  const Stream* own_copy = store_.StreamOf(origin);
  for (std::size_t i = 0; own_copy && i < RangeDigests::kParts; ++i) {
    std::size_t count = 0;
    range.digests[i] = static_cast<std::uint32_t>(
        own_copy->Digest(as_of_ms, i == 0 ? after : range.End(i - 1), range.End(i), &count));
  }
  return range;
}

// Handles the digests of a range in which two copies differ. For each part that differs: if it has few
// entries, or nearly all parts differ, this node sends all its entries of the part, and the other responds
// with those it has beyond them. Else it sends digests of the parts of that part, and the other does the
// same: each response is about a part of the range before, so the exchange ends.
void Node::OnRangeDigests(Time now, const RangeDigests& theirs, const PeerMap::value_type& peer) {
  const Stream* own_copy = store_.StreamOf(theirs.origin);
  if (!own_copy || store_.EvictionHorizon(theirs.origin) > theirs.as_of_ms) return;
  wire::Packer packer(NewMessage(Message::Kind::kRangeDigests));
  std::vector<RangeDigests> refined;
  const RangeDigests own = DigestsOf(theirs.origin, theirs.as_of_ms, theirs.after, theirs.upto);
  std::size_t differing = 0;
  for (std::size_t i = 0; i < RangeDigests::kParts; ++i) differing += own.digests[i] != theirs.digests[i];
  const bool most_differ =
      differing > RangeDigests::kParts * 3 / 4 && theirs.upto - theirs.after <= kMaxEntriesIfMostDiffer;
  for (std::size_t i = 0; i < RangeDigests::kParts; ++i) {
    if (own.digests[i] == theirs.digests[i]) continue;
    const Seq after = i == 0 ? own.after : own.End(i - 1), upto = own.End(i);
    std::size_t count = 0;
    own_copy->Digest(theirs.as_of_ms, after, upto, &count);
    const bool send_entries = most_differ || count <= kMaxEntriesSentAtOnce;
    if (send_entries)
      for (const Interval& part : store_.EntriesBetween(now, theirs.origin, after, upto)) packer.Add(part);
    // Beyond a gap the intervals can't express which entries are absent, so digests are sent as well.
    if (!send_entries || upto > own_copy->upto())
      refined.push_back(DigestsOf(theirs.origin, theirs.as_of_ms, after, upto));
  }
  for (const Message& message : packer.Take()) Send({peer.second.address}, message);
  for (std::size_t begin = 0; begin < refined.size(); begin += kMaxRangeDigestsPerDatagram) {
    Message message = NewMessage(Message::Kind::kRangeDigests);
    message.range_digests.assign(refined.begin() + static_cast<std::ptrdiff_t>(begin),
                                 refined.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                       refined.size(), begin + kMaxRangeDigestsPerDatagram)));
    Send({peer.second.address}, message);
  }
}

// Sends the entries that the other member lacks in the ranges of which it has sent all its entries.
void Node::SendExtraEntries(Time now, const Message& ranges, const PeerMap::value_type& peer) {
  wire::Packer packer(NewMessage(Message::Kind::kChunk));
  for (const Interval& theirs : ranges.intervals) {
    for (Interval own_copy : store_.EntriesBetween(now, theirs.origin, theirs.after, theirs.upto)) {
      std::erase_if(own_copy.entries, [&](const Entry& e) {
        return std::binary_search(theirs.entries.begin(), theirs.entries.end(), e);
      });
      if (!own_copy.entries.empty())
        packer.Add(own_copy);  // together with the received entries this is all of the interval
    }
  }
  for (const Message& message : packer.Take()) Send({peer.second.address}, message);
}

std::uint64_t Node::Digest(Time now) const {
  std::uint64_t sum = 0;
  for (const auto& [origin, stream] : store_.streams()) {
    const std::uint64_t digest = stream.Digest(store_.NowOf(origin, now));
    if (digest != 0) sum += hashing::Mixed(origin ^ hashing::Mixed(digest));
  }
  return sum;
}

// ---- catching up ---------------------------------------------------------------------------------------

// Chooses a donor, preferably a current one, of the own zone if possible; if no member is current, each of
// them in turn. A member that finds no other with more entries than it has becomes current: after a restart
// of all, one has to be first.
void Node::CatchUp(Time now) {
  if (const auto abandoned = puller_.TakeAbandoned(); abandoned && *abandoned == donor_) donor_.clear();
  if (current_) return;
  const auto donor = peers_.find(donor_);
  if (donor != peers_.end() && donor->second.present) {
    if (!donor->second.consulted || !puller_.empty()) return;
    if (donor->second.current) {
      current_ = true;
      events_.push_back({Event::Kind::kCurrent, donor_, 0, 0, 0, store_.size()});
      return;
    }
  }
  const PeerMap::value_type* best = nullptr;
  const auto rank = [&](const Peer& peer) {
    return 4 * (peer.current && !peer.consulted) + 2 * !peer.consulted + (peer.zone == options_.zone);
  };
  for (const auto& entry : peers_) {
    if (!entry.second.present || entry.second.consulted) continue;
    if (!best || rank(entry.second) > rank(best->second)) best = &entry;
  }
  if (best) {
    donor_ = best->first;
    events_.push_back({Event::Kind::kCatchingUp, donor_, 0, 0, 0, 0});
    SendSummaries(now, best->second.address, true);
    compare_due_ = now + options_.times.response_timeout;
  } else if (now - start_ >= options_.times.alone_timeout) {
    current_ = true;
    events_.push_back({Event::Kind::kCurrent, "", 0, 0, 0, store_.size()});
  } else {
    // All members were consulted and none is current: start over, since one may have become current
    // meanwhile.
    for (auto& [name, peer] : peers_) peer.consulted = false;
    donor_.clear();
    compare_due_ = std::min(compare_due_, now + options_.times.response_timeout);
  }
}

// ---- timers --------------------------------------------------------------------------------------------

void Node::Tick(Time now) {
  RefillAllowance(now);
  pending_claims_.Tick(now);
  Retransmit(now);
  for (const Message& message : handoff_.Next(now, options_.times.response_timeout))
    Send({*successor_}, message, true);
  if (update_due_ && now >= *update_due_) SendUpdates(now);
  if (now >= reannounce_due_) Reannounce(now);
  if (now >= departure_due_) AnnounceDeparture(now);
  RequestMissing(now);
  if (now >= compare_due_ && successor_) {
    compare_due_ =
        now + options_.times.compare_interval;  // responses would go to the successor, which has the address
  } else if (now >= compare_due_) {
    compare_due_ = now + options_.times.compare_interval * 3 / 4 +
                   options_.times.compare_interval / 2 * static_cast<int>(random_() % 1000) / 1000;
    const auto donor = peers_.find(donor_);
    if (!current_ && donor != peers_.end() && donor->second.present) {
      // The donor hasn't sent all its summaries: ask it again, and after some tries choose another one.
      if (!donor->second.consulted && ++donor_requests_ > Puller::kMaxTries) {
        donor->second.consulted = true;
        donor->second.current = false;
        donor_requests_ = 0;
      } else if (!donor->second.consulted) {
        SendSummaries(now, donor->second.address, true);
        compare_due_ = now + options_.times.response_timeout;
      }
    } else if (present_ > 0) {
      auto skipped = static_cast<std::ptrdiff_t>(random_() % present_);
      for (const auto& [name, peer] : peers_) {
        if (!peer.present || skipped-- > 0) continue;
        SendSummaries(now, peer.address, true);
        break;
      }
    }
    CatchUp(now);
  }
  if (now < housekeeping_due_) return;
  housekeeping_due_ = now + kHousekeeping;
  const bool all_removed = store_.Tick(now, [this](std::uint64_t owner) {
    return std::any_of(peers_.begin(), peers_.end(),
                       [owner](const auto& p) { return p.second.owner == owner && p.second.present; });
  });
  if (!all_removed) housekeeping_due_ = now + kHousekeepingBacklogDelay;
  std::erase_if(difference_counts_, [this](const auto& d) { return !store_.StreamOf(d.first); });
  if (const auto evicted = store_.counts().evicted; evicted > evictions_reported_) {
    events_.push_back({Event::Kind::kEvicted, "", 0, 0, 0, evicted - evictions_reported_});
    evictions_reported_ = evicted;
  }
}

Time Node::NextDue() const {
  Time due = std::min({compare_due_, housekeeping_due_, reannounce_due_, pending_claims_.NextDue(),
                       puller_.NextDue(), handoff_.NextDue(), departure_due_});
  if (update_due_) due = std::min(due, *update_due_);
  return due;
}

}  // namespace kestrelline::replica
