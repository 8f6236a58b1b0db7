// SPDX-License-Identifier: Apache-2.0
#include "replica/node.h"

#include <algorithm>

#include "hashing/fnv.h"

namespace kestrelline::replica {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostAtOnce = 2000;   // entries of one origin that are told in one go
constexpr std::size_t kFewInRange = 24;     // entries of a part in which copies differ that are told at once
constexpr std::size_t kManyInRange = 4000;  // the same, where nearly all parts differ
constexpr std::size_t kMostRanges = 8;      // in a datagram
constexpr int kDiffersOften = 3;
constexpr int kAgain = 2;  // times that one says where it stands once it has no more news
constexpr Span kHousekeeping = std::chrono::seconds(1), kMoreToForget = milliseconds(5);
constexpr double kBurstSeconds = 0.25;  // of the budget of bytes

}  // namespace

std::uint64_t Node::OwnerOf(std::string_view name) { return hashing::Fnv1a(name) | 1; }

Node::Node(Options options, Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      store_(random_() | 1, OwnerOf(options_.name), options_.most_entries, now),
      compare_due_(now),
      start_(now),
      housekeeping_due_(now + kHousekeeping),
      refilled_(now),
      allowance_(static_cast<double>(options_.bytes_per_s) * kBurstSeconds) {}

// ---- who there is --------------------------------------------------------------------------------------

void Node::OnPeer(Time now, const peers::Event& event) {
  using Kind = peers::Event::Kind;
  const peers::Member& m = event.member;
  if (m.name == options_.name) return;
  switch (event.kind) {
    case Kind::kJoined:
    case Kind::kReturned:
    case Kind::kCleared: {
      Peer& peer = peers_[m.name];
      if (peer.boot != m.boot) {
        by_boot_.erase(peer.boot);
        peer.current = peer.asked = false;
        peer.has = 0;
      }
      by_boot_[m.boot] = m.name;
      peer.boot = m.boot, peer.owner = OwnerOf(m.name), peer.zone = m.zone, peer.address = m.address;
      peer.present = true;
      compare_due_ = std::min(compare_due_, now + milliseconds(random_() % 50));
      break;
    }
    case Kind::kFailed:
    case Kind::kLeft: {
      const auto found = peers_.find(m.name);
      if (found == peers_.end()) return;
      puller_.GiveUp(m.name);
      by_boot_.erase(found->second.boot);
      found->second.present = found->second.current = false;
      if (event.kind == Kind::kLeft) peers_.erase(found);  // it handed over first: nobody has to ask it
      break;
    }
    default:
      return;
  }
  present_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [](const auto& p) { return p.second.present; }));
}

std::size_t Node::members() const { return peers_.size() + 1; }

const Node::Peers_::value_type* Node::ByBoot(std::uint64_t boot) const {
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

// ---- telling -------------------------------------------------------------------------------------------

Message Node::Base(Message::Kind kind, std::uint64_t number) const {
  Message m;
  m.kind = kind;
  m.number = number;
  m.current = current_;
  return m;
}

void Node::Refill(Time now) {
  const double rate = static_cast<double>(options_.bytes_per_s);
  allowance_ = std::min(rate * kBurstSeconds,
                        allowance_ + rate * std::chrono::duration<double>(now - refilled_).count());
  refilled_ = now;
}

// What is over the budget is left out: whoever misses it will ask.
void Node::Send(std::vector<peers::Address> to, const Message& message, bool urgent) {
  if (to.empty()) return;
  Outgoing out{std::move(to), wire::Encode(message)};
  const auto cost = static_cast<double>(out.body.size() * out.to.size());
  if (!urgent && allowance_ < 0) return;
  allowance_ -= cost;
  outgoing_.push_back(std::move(out));
}

// All others that run; of many, some by chance.
std::vector<peers::Address> Node::Told(bool all) {
  std::vector<peers::Address> to;
  for (const auto& [name, peer] : peers_)
    if (peer.present) to.push_back(peer.address);
  if (all || to.size() <= kDirect) return to;
  for (std::size_t i = 0; i < kFanout; ++i) std::swap(to[i], to[i + random_() % (to.size() - i)]);
  to.resize(kFanout);
  return to;
}

Seq Node::Write(Time now, const Subject& subject, Span keep, std::uint32_t value) {
  const Seq seq = store_.Write(now, subject, keep, value);
  if (!news_due_) news_due_ = std::max(now, news_sent_ + options_.times.news);
  return seq;
}

void Node::WriteAndWait(Time now, PendingClaims::Id id, const Subject& subject, Span keep,
                        std::uint32_t value, std::size_t k, Span within) {
  const Seq seq = Write(now, subject, keep, value);
  // What nobody holds here, nobody else is asked to: it has no room.
  const Quorum quorum = seq == 0 ? Quorum{kDirect + 1, 0} : Quorum::Of(members(), k);
  const bool many = present_ > kDirect;
  rounds_.Open(id, seq, quorum, many || seq == 0 ? 0 : present_, now, now + within);
  if (!rounds_.empty()) news_due_ = std::min(*news_due_, std::max(now, news_sent_ + options_.times.urgent));
}

void Node::SendNews(Time now) {
  news_due_.reset();
  const bool waited = !rounds_.empty();
  if (allowance_ < 0 && !waited) {
    news_due_ = now + options_.times.news;
    return;
  }
  news_sent_ = now;
  const Interval own = store_.Since(now, store_.own(), told_, kMostAtOnce);
  wire::Packer packer(Base(Message::Kind::kNews, waited ? 1 : 0));
  if (own.upto > told_) packer.Add(own);
  told_ = own.upto;
  for (const auto& [origin, from] : std::exchange(to_tell_on_, {}))
    packer.Add(store_.Since(now, origin, from, kMostAtOnce));
  std::vector<Message> news = packer.Take();
  for (const Message& m : news) Send(Told(waited), m, waited);
  if (successor_) handoff_.Add(std::move(news));
  if (told_ < store_.upto(store_.own())) news_due_ = now + options_.times.urgent;
  again_ = kAgain;
  again_due_ = now + options_.times.again;
}

// Where nothing new shows that the last news were missed, this does.
void Node::SayWhereItStands(Time now) {
  again_due_ = --again_ > 0 ? now + 4 * options_.times.again : Time::max();
  const Seq upto = store_.upto(store_.own());
  Message m = Base(Message::Kind::kNews);
  m.intervals.push_back(
      {store_.own(), OwnerOf(options_.name), store_.NowOf(store_.own(), now), upto, upto, {}});
  Send(Told(false), m);
}

// Who has not answered is told once more of what a request waits for.
void Node::TellAgain(Time now) {
  for (const auto& [seq, holders] : rounds_.TakeAgain(now)) {
    Message m = Base(Message::Kind::kNews, 1);
    m.intervals.push_back(store_.Since(now, store_.own(), seq - 1, 1));
    std::vector<peers::Address> to;
    for (const auto& [name, peer] : peers_)
      if (peer.present && !holders.contains(peer.boot)) to.push_back(peer.address);
    Send(std::move(to), m, true);
  }
}

void Node::Leave(Time now) {
  SendNews(now);
  departure_tries_ = 0;
  departure_due_ = now;
  AnnounceDeparture(now);
}

// Some come for what only this one has, and say what they hold then; each of them is asked by others.
void Node::AnnounceDeparture(Time now) {
  const bool told = departure_tries_ > 0;  // what only this one has of others' is told once, whoever asks
  if ((told && HeldElsewhere()) || departure_tries_++ == kDepartureTries) {
    departure_due_ = Time::max();
    return;
  }
  departure_due_ = now + options_.times.patience;
  std::size_t left = kDepartureHeirs;
  for (const auto& [name, peer] : peers_)
    if (peer.present && left-- > 0) SendHoldings(now, peer.address, true);
}

bool Node::HeldElsewhere() const {
  const Seq upto = store_.upto(store_.own());
  const auto holds_all = [upto](const auto& peer) { return peer.second.present && peer.second.has >= upto; };
  return present_ == 0 || std::any_of(peers_.begin(), peers_.end(), holds_all);
}

bool Node::MayEnd() const { return handoff_.over() && departure_due_ == Time::max(); }

void Node::HandOver(Time now, const peers::Address& successor) {
  successor_ = successor;
  departure_due_ = Time::max();  // it is not a departure
  wire::Packer packer(Base(Message::Kind::kSlice));
  for (const auto& [origin, stream] : store_.streams())
    for (const Interval& part : store_.Part(now, origin, 0, stream.top())) packer.Add(part);
  handoff_.Add(packer.Take());
}

// ---- what comes ----------------------------------------------------------------------------------------

void Node::Take(Time now, const Interval& interval, const std::string& from) {
  if (interval.origin == store_.own()) {
    const auto alien = [this](const Entry& e) {
      const Entry* mine = store_.Of(store_.own())->Find(e.seq);
      return mine && *mine != e;
    };
    if (interval.upto <= store_.upto(store_.own()) &&
        std::none_of(interval.entries.begin(), interval.entries.end(), alien))
      return;
    // Another process writes under this one's origin.
    events_.push_back({Event::Kind::kReorigin, "", store_.own(), 0, 0, 0});
    store_.Reorigin(now, random_() | 1);
    told_ = 0;
    rounds_.GiveUp();
    news_due_ = now;
    return;
  }
  const Seq before = store_.upto(interval.origin);
  const bool news = store_.Merge(now, interval);
  // Something before it was missed: whoever tells of it has that, if it can be asked.
  if (!from.empty() && interval.after > store_.upto(interval.origin))
    puller_.Learn(interval.origin, interval.after, from);
  if (!news || present_ <= kDirect) return;
  to_tell_on_.try_emplace(interval.origin, std::min(before, interval.after));
  if (!news_due_) news_due_ = std::max(now, news_sent_ + options_.times.news);
}

void Node::OnStranger(Time now, const peers::Address& from, const Message& m) {
  if (successor_ && m.kind == Message::Kind::kAnswer) handoff_.OnTaken(m.number);
  if (successor_) return;
  if (m.kind != Message::Kind::kNews && m.kind != Message::Kind::kSlice) return;
  for (const Interval& interval : m.intervals) Take(now, interval, "");
  if (m.kind == Message::Kind::kSlice && m.last) Send({from}, Base(Message::Kind::kAnswer, m.number), true);
}

void Node::Receive(Time now, std::uint64_t boot, const peers::Address& at, const Message& m) {
  const auto* from = ByBoot(boot);
  if (!from) return OnStranger(now, at, m);
  Refill(now);
  const auto& [name, known] = *from;
  Peer& peer = peers_.find(name)->second;
  peer.current = m.current;
  for (const Interval& interval : m.intervals) Take(now, interval, name);
  switch (m.kind) {
    case Message::Kind::kNews:
      if (m.number != 0) Answer(now, m, peer.address);
      Ask(now);
      break;
    case Message::Kind::kAnswer:
      for (const Interval& i : m.intervals)
        if (i.origin == store_.own()) rounds_.OnAnswer(boot, m.current, i.after, i.upto);
      break;
    case Message::Kind::kHoldings:
      for (const Holding& h : m.holdings) {
        if (h.origin == store_.own()) {
          peer.has = std::max(peer.has, h.upto);
          if (departure_due_ != Time::max() && HeldElsewhere()) departure_due_ = now;
          if (h.upto > store_.upto(store_.own())) Take(now, {h.origin, h.owner, 0, 0, h.upto, {}}, name);
          continue;
        }
        if (h.upto > store_.upto(h.origin)) {
          puller_.Learn(h.origin, h.upto, name);
        } else if (store_.Of(h.origin)) {
          store_.LearnClock(h.origin, h.now_ms, now);
          if (h.upto == store_.upto(h.origin)) Compare(now, h, *from);
        }
      }
      if (m.number != 0) SendHoldings(now, peer.address, false);
      if (m.last && name == donor_) peer.asked = true;
      Ask(now);
      break;
    case Message::Kind::kWants: {
      wire::Packer packer(Base(Message::Kind::kSlice, m.number));
      // A slice takes at least four bytes an entry less than its most.
      std::size_t room = kSlice * wire::EntriesWithin(wire::kMostBody) * 2;
      for (const Want& want : m.wants) {
        if (room == 0) break;
        const Interval part = store_.Since(now, want.origin, want.after, room);
        if (part.upto <= want.after) continue;
        room -= std::min(room, part.entries.size() + 1);
        packer.Add(part);
      }
      auto slice = packer.Take();
      if (slice.size() > kSlice) slice.resize(kSlice);
      if (slice.empty()) slice.push_back(Base(Message::Kind::kSlice, m.number));
      slice.back().last = true;
      for (const Message& one : slice) Send({peer.address}, one);
      break;
    }
    case Message::Kind::kSlice:
      puller_.OnSlice(now, options_.times.patience, name, m.number, m.last);
      Ask(now);
      break;
    case Message::Kind::kRanges:
      for (const Ranges& ranges : m.ranges) OnRanges(now, ranges, *from);
      AnswerWithMore(now, m, *from);
      break;
  }
  CatchUp(now);
}

// Says what of the news is held here, with all that others have said of the same keys: never the one without
// the other in one datagram.
void Node::Answer(Time now, const Message& news, const peers::Address& to) {
  for (const Interval& told : news.intervals) {
    const Stream* stream = store_.Of(told.origin);
    if (!stream || told.origin == store_.own()) continue;
    Interval held = told;
    held.entries.clear();
    Message answer = Base(Message::Kind::kAnswer);
    std::size_t bytes = wire::kHeadBytes + 8 + wire::kMostIntervalBytes;
    const auto flush = [&](Seq upto) {
      held.upto = upto;
      answer.intervals.insert(answer.intervals.begin(), held);
      if (held.upto > held.after) Send({to}, answer, true);
      answer.intervals.clear();
      bytes = wire::kHeadBytes + 8 + wire::kMostIntervalBytes;
      held.after = upto;
    };
    bool all = true;
    for (const Entry& entry : told.entries) {
      // At its bound this copy may have left it out, and does not answer for it then.
      const Entry* latest = stream->Find(entry.subject);
      if (!(all = latest && latest->seq >= entry.seq)) {
        flush(entry.seq - 1);
        break;
      }
      std::vector<Interval> others;
      for (const Store::Found& found : store_.Find(now, entry.subject.table, entry.subject.id)) {
        if (found.origin == told.origin) continue;
        others.push_back({found.origin,
                          store_.Of(found.origin)->owner(),
                          store_.NowOf(found.origin, now),
                          found.entry.seq - 1,
                          found.entry.seq,
                          {found.entry}});
      }
      const std::size_t more = others.size() * (wire::kMostIntervalBytes + wire::kMostEntryBytes);
      if (bytes + more > wire::kMostBody) flush(entry.seq - 1);
      if (bytes + more > wire::kMostBody || others.size() >= wire::kMostParts) {
        all = false;  // claimed by so many that no datagram tells of all: nobody may act on it
        break;
      }
      bytes += more;
      answer.intervals.insert(answer.intervals.end(), others.begin(), others.end());
    }
    if (all) flush(told.upto);
  }
}

// ---- comparing -----------------------------------------------------------------------------------------

void Node::SendHoldings(Time now, const peers::Address& to, bool wants_reply) {
  const std::size_t fits = (wire::kMostBody - wire::kHeadBytes - 8) / wire::kMostHoldingBytes;
  std::vector<Holding> all;
  for (const auto& [origin, stream] : store_.streams()) {
    if (stream.empty() && origin != store_.own()) continue;
    const std::uint64_t there = store_.NowOf(origin, now);
    const std::uint64_t as_of = std::max(there, store_.FloorOf(origin));
    all.push_back({origin, stream.owner(), there, stream.upto(), as_of,
                   static_cast<std::uint32_t>(stream.Digest(as_of))});
  }
  // Of more than fit the next ones come with the next comparison.
  const std::size_t most = fits * kHoldingPages;
  if (all.size() > most) {
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(holdings_at_ % all.size()), all.end());
    holdings_at_ += most;
    all.resize(most);
  }
  for (std::size_t at = 0; at == 0 || at < all.size(); at += fits) {
    Message m = Base(Message::Kind::kHoldings, wants_reply && at == 0 ? 1 : 0);
    const auto end = std::min(all.size(), at + fits);
    m.holdings.assign(all.begin() + static_cast<std::ptrdiff_t>(at),
                      all.begin() + static_cast<std::ptrdiff_t>(end));
    m.last = end == all.size();
    Send({to}, m);
  }
}

void Node::Ask(Time now) {
  const auto request =
      puller_.Next(now, options_.times.patience, [this](Origin origin) { return store_.upto(origin); });
  if (!request) return;
  const auto peer = peers_.find(request->peer);
  if (peer == peers_.end()) return puller_.GiveUp(request->peer);
  Message m = Base(Message::Kind::kWants, request->number);
  m.wants = request->wants;
  Send({peer->second.address}, m, true);
}

void Node::Compare(Time now, const Holding& h, const Peers_::value_type& peer) {
  const Stream& mine = *store_.Of(h.origin);
  const bool fair = store_.FloorOf(h.origin) <= h.as_of_ms &&
                    store_.NowOf(h.origin, now) < h.as_of_ms + Store::kLingerMs / 2;
  if (!fair || static_cast<std::uint32_t>(mine.Digest(h.as_of_ms)) == h.digest) {
    if (fair) differed_.erase(h.origin);
    return;
  }
  ++repaired_;
  if (++differed_[h.origin] == kDiffersOften)
    events_.push_back({Event::Kind::kDiffers, peer.first, h.origin, 0, mine.top(), 0});
  Message m = Base(Message::Kind::kRanges);
  m.ranges.push_back(Parts(h.origin, h.as_of_ms, 0, mine.top()));
  Send({peer.second.address}, m);
}

Ranges Node::Parts(Origin origin, std::uint64_t as_of_ms, Seq after, Seq upto) const {
  Ranges r{origin, as_of_ms, after, upto, {}};
  const Stream* mine = store_.Of(origin);
  for (std::size_t i = 0; mine && i < Ranges::kParts; ++i) {
    std::size_t count = 0;
    r.digests[i] =
        static_cast<std::uint32_t>(mine->Digest(as_of_ms, i == 0 ? after : r.End(i - 1), r.End(i), &count));
  }
  return r;
}

// Where copies differ this one tells all its entries of the part, if they are few or nearly all parts differ,
// and the other answers with what it has beyond them; else how its parts of that stand, so that the other
// does the same: each answer is about a part of what it answers.
void Node::OnRanges(Time now, const Ranges& theirs, const Peers_::value_type& peer) {
  const Stream* mine = store_.Of(theirs.origin);
  if (!mine || store_.FloorOf(theirs.origin) > theirs.as_of_ms) return;
  wire::Packer packer(Base(Message::Kind::kRanges));
  std::vector<Ranges> further;
  const Ranges own = Parts(theirs.origin, theirs.as_of_ms, theirs.after, theirs.upto);
  std::size_t differing = 0;
  for (std::size_t i = 0; i < Ranges::kParts; ++i) differing += own.digests[i] != theirs.digests[i];
  const bool most = differing > Ranges::kParts * 3 / 4 && theirs.upto - theirs.after <= kManyInRange;
  for (std::size_t i = 0; i < Ranges::kParts; ++i) {
    if (own.digests[i] == theirs.digests[i]) continue;
    const Seq after = i == 0 ? own.after : own.End(i - 1), upto = own.End(i);
    std::size_t count = 0;
    mine->Digest(theirs.as_of_ms, after, upto, &count);
    const bool told = most || count <= kFewInRange;
    if (told)
      for (const Interval& part : store_.Part(now, theirs.origin, after, upto)) packer.Add(part);
    // Beyond a gap no part says what is not there.
    if (!told || upto > mine->upto()) further.push_back(Parts(theirs.origin, theirs.as_of_ms, after, upto));
  }
  for (const Message& m : packer.Take()) Send({peer.second.address}, m);
  for (std::size_t at = 0; at < further.size(); at += kMostRanges) {
    Message m = Base(Message::Kind::kRanges);
    m.ranges.assign(
        further.begin() + static_cast<std::ptrdiff_t>(at),
        further.begin() + static_cast<std::ptrdiff_t>(std::min(further.size(), at + kMostRanges)));
    Send({peer.second.address}, m);
  }
}

// What the other does not have of a part of which it has told all.
void Node::AnswerWithMore(Time now, const Message& told, const Peers_::value_type& peer) {
  wire::Packer packer(Base(Message::Kind::kSlice));
  for (const Interval& theirs : told.intervals) {
    for (Interval mine : store_.Part(now, theirs.origin, theirs.after, theirs.upto)) {
      std::erase_if(mine.entries, [&](const Entry& e) {
        return std::binary_search(theirs.entries.begin(), theirs.entries.end(), e);
      });
      if (!mine.entries.empty()) packer.Add(mine);  // with what was told that is all of the part
    }
  }
  for (const Message& m : packer.Take()) Send({peer.second.address}, m);
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

// From a donor of the own zone, if there is one: one that is current, or, where nobody is, from each in turn.
// Whoever finds that nobody has more than it has is current too: somebody has to be the first.
void Node::CatchUp(Time now) {
  if (const auto lost = puller_.TakeGivenUp(); lost && *lost == donor_) donor_.clear();
  if (current_) return;
  const auto donor = peers_.find(donor_);
  if (donor != peers_.end() && donor->second.present) {
    if (!donor->second.asked || !puller_.empty()) return;
    if (donor->second.current) {
      current_ = true;
      events_.push_back({Event::Kind::kCurrent, donor_, 0, 0, 0, store_.size()});
      return;
    }
  }
  const Peers_::value_type* best = nullptr;
  const auto rank = [&](const Peer& p) {
    return 4 * (p.current && !p.asked) + 2 * !p.asked + (p.zone == options_.zone);
  };
  for (const auto& entry : peers_) {
    if (!entry.second.present || entry.second.asked) continue;
    if (!best || rank(entry.second) > rank(best->second)) best = &entry;
  }
  if (best) {
    donor_ = best->first;
    events_.push_back({Event::Kind::kDonor, donor_, 0, 0, 0, 0});
    SendHoldings(now, best->second.address, true);
    compare_due_ = now + options_.times.patience;
  } else if (now - start_ >= options_.times.lonely) {
    current_ = true;
    events_.push_back({Event::Kind::kCurrent, "", 0, 0, 0, store_.size()});
  } else {
    // All have been asked, and had nothing to be sure of: again, of whoever has become so meanwhile.
    for (auto& [name, peer] : peers_) peer.asked = false;
    donor_.clear();
    compare_due_ = std::min(compare_due_, now + options_.times.patience);
  }
}

// ---- what is due ---------------------------------------------------------------------------------------

void Node::Tick(Time now) {
  Refill(now);
  rounds_.Tick(now);
  TellAgain(now);
  for (const Message& m : handoff_.Next(now, options_.times.patience)) Send({*successor_}, m, true);
  if (news_due_ && now >= *news_due_) SendNews(now);
  if (now >= again_due_) SayWhereItStands(now);
  if (now >= departure_due_) AnnounceDeparture(now);
  Ask(now);
  if (now >= compare_due_ && successor_) {
    compare_due_ = now + options_.times.compare;  // nobody could answer
  } else if (now >= compare_due_) {
    compare_due_ = now + options_.times.compare * 3 / 4 +
                   options_.times.compare / 2 * static_cast<int>(random_() % 1000) / 1000;
    const auto donor = peers_.find(donor_);
    if (!current_ && donor != peers_.end() && donor->second.present) {
      // The donor has not said all that it holds: once more, and after some time another one.
      if (!donor->second.asked && ++donor_asked_ > Puller::kTries) {
        donor->second.asked = true;
        donor->second.current = false;
        donor_asked_ = 0;
      } else if (!donor->second.asked) {
        SendHoldings(now, donor->second.address, true);
        compare_due_ = now + options_.times.patience;
      }
    } else if (present_ > 0) {
      auto at = static_cast<std::ptrdiff_t>(random_() % present_);
      for (const auto& [name, peer] : peers_) {
        if (!peer.present || at-- > 0) continue;
        SendHoldings(now, peer.address, true);
        break;
      }
    }
    CatchUp(now);
  }
  if (now < housekeeping_due_) return;
  housekeeping_due_ = now + kHousekeeping;
  const bool all = store_.Tick(now, [this](std::uint64_t owner) {
    return std::any_of(peers_.begin(), peers_.end(),
                       [owner](const auto& p) { return p.second.owner == owner && p.second.present; });
  });
  if (!all) housekeeping_due_ = now + kMoreToForget;
  std::erase_if(differed_, [this](const auto& d) { return !store_.Of(d.first); });
  if (const auto evicted = store_.counts().evicted; evicted > evicted_said_) {
    events_.push_back({Event::Kind::kRoom, "", 0, 0, 0, evicted - evicted_said_});
    evicted_said_ = evicted;
  }
}

Time Node::NextDue() const {
  Time due = std::min({compare_due_, housekeeping_due_, again_due_, rounds_.NextDue(), puller_.NextDue(),
                       handoff_.NextDue(), departure_due_});
  if (news_due_) due = std::min(due, *news_due_);
  return due;
}

}  // namespace kestrelline::replica
