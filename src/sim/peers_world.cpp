// SPDX-License-Identifier: Apache-2.0
#include "sim/peers_world.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "hashing/mix.h"
#include "peers/wire.h"
#include "quota/wire.h"

namespace kestrelline::sim {
namespace {

constexpr std::size_t kSocketBuffer = 256;  // datagrams that wait for a paused process; more are lost
// What was said of a process while it stood still may be heard for so long after.
constexpr Microseconds kNewsOfAPause{5000000};
constexpr std::uint32_t kFirstAddress = 0x7f000001;

peers::Address AddressOf(int number) { return {kFirstAddress, static_cast<std::uint16_t>(7001 + number)}; }
int NumberOf(const peers::Address& address) { return address.port - 7001; }

}  // namespace

PeersWorld::PeersWorld(Options options, Kernel* kernel)
    : options_(options),
      own_(kernel ? nullptr : std::make_unique<Kernel>(options.seed)),
      kernel_(kernel ? *kernel : *own_),
      net_(options.seed, {.delay = options.delay, .jitter = options.jitter}),
      members_(static_cast<std::size_t>(options.members)) {}

peers::Time PeersWorld::TimeOf(Microseconds at) {
  return peers::Time(std::chrono::hours(1)) + std::chrono::duration_cast<peers::Span>(at);
}

Microseconds PeersWorld::MomentOf(peers::Time at) {
  return std::chrono::floor<Microseconds>(at - TimeOf(Microseconds(0)));
}

void PeersWorld::StartAll() {
  for (int i = 0; i < options_.members; ++i) {
    const auto spread = static_cast<std::int64_t>(
        hashing::Unit(hashing::Mixed(options_.seed + static_cast<std::uint64_t>(i))) *
        static_cast<double>(kStartsWithin.count()));
    kernel_.After(Microseconds(spread), [this, i] { Start(i); });
  }
}

void PeersWorld::Start(int member) { StartAt(member, member); }

void PeersWorld::StartAt(int member, int address) {
  Process& p = members_[static_cast<std::size_t>(member)];
  if (p.node) Kill(member);
  p.address = address;
  at_[address] = member;
  peers::Node::Options o;
  o.name = Name(member);
  o.zone = "z" + std::to_string(member % options_.zones);
  o.version = "1";
  o.boot = ++boots_ << 8;
  o.seed = hashing::Mixed(options_.seed ^ (o.boot + static_cast<std::uint64_t>(member)));
  o.address = AddressOf(address);
  for (int s = 0; s < std::min(options_.seeds, options_.members); ++s) o.seeds.push_back(AddressOf(s));
  o.wire = options_.wire;
  o.times = options_.times;
  if (options_.replica) {
    replica::Node::Options shared = *options_.replica;
    shared.name = o.name, shared.zone = o.zone;
    shared.seed ^= hashing::Mixed(o.seed);
    p.replica = std::make_unique<replica::Node>(std::move(shared), Now());
  }
  if (options_.concert) {
    quota::Node::Options divided = *options_.concert;
    divided.name = o.name, divided.boot = o.boot, divided.member_index = static_cast<std::uint32_t>(member);
    divided.seed ^= hashing::Mixed(o.seed + 1);
    p.concert = std::make_unique<quota::Node>(std::move(divided), Now());
  }
  p.node = std::make_unique<peers::Node>(std::move(o), Now());
  p.told = {-1, {}, -1};
  p.paused = false;
  p.waiting.clear();
  p.ticking = false;
  ++p.life;
  Flush(member);
}

void PeersWorld::Kill(int member) {
  Process& p = members_[static_cast<std::size_t>(member)];
  p.node.reset();
  p.replica.reset();
  p.concert.reset();
  ++p.life;
  if (const auto at = at_.find(p.address); at != at_.end() && at->second == member) at_.erase(at);
}

void PeersWorld::Leave(int member) {
  Process& p = members_[static_cast<std::size_t>(member)];
  if (!p.node) return;
  if (p.replica) p.replica->Leave(Now());
  p.node->Leave(Now());
  Flush(member);
  kernel_.After(kLeaves, [this, member, life = p.life] {
    Process& q = members_[static_cast<std::size_t>(member)];
    if (q.life != life) return;
    q.node->AnnounceLeft(Now());
    Flush(member);
    Kill(member);
  });
}

void PeersWorld::Pause(int member) { members_[static_cast<std::size_t>(member)].paused = true; }

void PeersWorld::Resume(int member) {
  Process& p = members_[static_cast<std::size_t>(member)];
  if (!p.node || !std::exchange(p.paused, false)) return;
  p.resumed = kernel_.now();
  // The timer and the socket are ready at once: which one comes first is the event loop's business.
  const bool timer_first = hashing::Mixed(options_.seed ^ p.life) & 1;
  if (timer_first) p.node->Tick(Now());
  for (const Parcel& parcel : std::exchange(p.waiting, {})) Receive(p, parcel);
  p.node->Tick(Now());
  if (p.replica) p.replica->Tick(Now());
  if (p.concert) p.concert->Tick(Now());
  Flush(member);
}

void PeersWorld::Arm(int member) {
  Process& p = members_[static_cast<std::size_t>(member)];
  auto next = p.node->NextDue();
  if (p.replica) next = std::min(next, p.replica->NextDue());
  if (p.concert) next = std::min(next, p.concert->NextDue());
  const auto due = std::chrono::ceil<Microseconds>(std::max(next, Now()) - Now()) + kernel_.now();
  if (p.ticking && p.due <= due) return;
  p.ticking = true;
  p.due = due;
  kernel_.At(due, [this, member, life = p.life, due] {
    Process& q = members_[static_cast<std::size_t>(member)];
    if (q.life != life || q.due != due) return;
    q.ticking = false;
    if (q.paused) return;
    if (q.node->NextDue() <= Now()) q.node->Tick(Now());
    if (q.replica && q.replica->NextDue() <= Now()) q.replica->Tick(Now());
    if (q.concert && q.concert->NextDue() <= Now()) q.concert->Tick(Now());
    Flush(member);
  });
}

void PeersWorld::Flush(int member) {
  Process& p = members_[static_cast<std::size_t>(member)];
  for (const peers::Event& event : p.node->TakeEvents()) {
    if (event.kind == peers::Event::Kind::kFailed) {
      for (const Process& subject : members_)
        if (subject.node && subject.node->self().boot == event.member.boot && !subject.paused &&
            kernel_.now() - subject.resumed > kNewsOfAPause)
          ++totals_.false_failures;
    }
    if (on_event) on_event(member, event);
    if (p.replica) p.replica->OnPeer(Now(), event);
    if (p.concert) p.concert->OnPeer(Now(), event);
  }
  for (const peers::Outgoing& out : p.node->TakeOutgoing()) {
    const auto bytes = peers::wire::Encode(out.message, out.wire);
    const std::size_t whole = bytes.size() + peers::wire::kSealOverheadBytes;
    ++totals_.datagrams;
    totals_.bytes += whole;
    if (whole > peers::wire::kMaxDatagramBytes) throw std::logic_error("a datagram of over 1200 bytes");
    auto message = peers::wire::Decode(bytes, out.wire);
    if (!message) throw std::logic_error("a datagram that cannot be read");
    Post(member, out.to, whole, {.message = std::make_shared<const peers::Message>(std::move(*message))});
  }
  if (p.concert) {
    for (const quota::Event& event : p.concert->TakeEvents())
      if (on_divided) on_divided(member, event);
    if (const auto standing = p.concert->share_lease(); on_share_lease && standing != p.told) {
      p.told = standing;
      on_share_lease(member, standing);
    }
    for (const quota::Outgoing& out : p.concert->TakeOutgoing()) {
      const auto bytes = quota::wire::Encode(out.message);
      const std::size_t whole = bytes.size() + peers::wire::kSealOverheadBytes;
      ++totals_.datagrams, ++totals_.divided_datagrams;
      totals_.bytes += whole, totals_.divided_bytes += whole;
      auto message = quota::wire::Decode(bytes);
      if (!message) throw std::logic_error("a datagram that cannot be read");
      Post(member, out.to, whole,
           {.divided = std::make_shared<const quota::Message>(std::move(*message)),
            .boot = p.node->self().boot});
    }
  }
  if (p.replica) {
    for (const auto& [id, verdict] : p.replica->TakeVerdicts())
      if (on_verdict) on_verdict(member, id, verdict);
    for (const replica::Event& event : p.replica->TakeEvents())
      if (on_shared) on_shared(member, event);
    for (const replica::Outgoing& out : p.replica->TakeOutgoing()) {
      const std::size_t whole = out.body.size() + peers::wire::kSealOverheadBytes;
      totals_.datagrams += out.to.size(), totals_.bytes += out.to.size() * whole;
      totals_.shared_datagrams += out.to.size(), totals_.shared_bytes += out.to.size() * whole;
      if (whole > peers::wire::kMaxDatagramBytes) throw std::logic_error("a datagram of over 1200 bytes");
      auto message = replica::wire::Decode(out.body);
      if (!message) throw std::logic_error("a datagram that cannot be read");
      const auto shared = std::make_shared<const replica::Message>(std::move(*message));
      for (const peers::Address& to : out.to)
        Post(member, to, whole,
             {.shared = shared, .boot = p.node->self().boot, .from = AddressOf(p.address)});
    }
  }
  Arm(member);
}

void PeersWorld::Post(int member, const peers::Address& address, std::size_t bytes, Parcel parcel) {
  const auto at = at_.find(NumberOf(address));
  if (at == at_.end()) return;
  const int to = at->second;
  const auto shared = std::make_shared<const Parcel>(std::move(parcel));
  for (const Microseconds late : net_.Judge(kernel_.now(), member, to, bytes).copies)
    kernel_.After(late, [this, to, life = members_[static_cast<std::size_t>(to)].life, shared] {
      if (members_[static_cast<std::size_t>(to)].life == life) Deliver(to, *shared);
    });
}

void PeersWorld::Receive(Process& process, const Parcel& parcel) {
  if (parcel.message) {
    process.node->Receive(Now(), *parcel.message);
  } else if (parcel.divided) {
    if (process.concert) process.concert->Receive(Now(), parcel.boot, *parcel.divided);
  } else if (process.replica) {
    process.replica->Receive(Now(), parcel.boot, parcel.from, *parcel.shared);
  }
}

void PeersWorld::Deliver(int member, const Parcel& parcel) {
  Process& p = members_[static_cast<std::size_t>(member)];
  if (p.paused) {
    if (p.waiting.size() < kSocketBuffer) p.waiting.push_back(parcel);
    return;
  }
  Receive(p, parcel);
  Flush(member);
}

void PeersWorld::Run(Microseconds lasts) {
  const Microseconds until = kernel_.now() + lasts;
  const auto running =
      std::count_if(members_.begin(), members_.end(), [](const Process& p) { return p.node && !p.paused; });
  totals_.unpaused_member_hours +=
      static_cast<double>(running) * std::chrono::duration<double, std::ratio<3600>>(lasts).count();
  while (kernel_.Step(until)) {
  }
}

std::optional<Microseconds> PeersWorld::RunUntil(const std::function<bool()>& test, Microseconds most) {
  const Microseconds from = kernel_.now();
  while (!test()) {
    if (kernel_.now() - from >= most) return std::nullopt;
    Run(Microseconds(10000));
  }
  return kernel_.now() - from;
}

bool PeersWorld::Agree(const std::vector<std::vector<int>>& groups) const {
  const auto check = [&](const std::vector<int>& group) {
    std::uint64_t truth = 0;
    for (const int i : group)
      if (runs(i)) truth ^= peers::IdentityHash(members_[static_cast<std::size_t>(i)].node->self());
    return std::all_of(group.begin(), group.end(), [&](int i) {
      const Process& p = members_[static_cast<std::size_t>(i)];
      return !p.node || p.paused || p.node->view().hash() == truth;
    });
  };
  if (!groups.empty()) return std::all_of(groups.begin(), groups.end(), check);
  std::vector<int> all;
  for (int i = 0; i < options_.members; ++i) all.push_back(i);
  return check(all);
}

std::vector<std::vector<int>> PeersWorld::Parts() const {
  std::vector<int> left;
  for (int i = 0; i < options_.members; ++i)
    if (runs(i) && !members_[static_cast<std::size_t>(i)].paused) left.push_back(i);
  std::vector<std::vector<int>> parts;
  while (!left.empty()) {
    std::vector<int> part{left.back()};
    left.pop_back();
    for (std::size_t at = 0; at < part.size(); ++at) {
      const int from = part[at];
      const auto beyond = std::partition(
          left.begin(), left.end(), [&](int to) { return net_.Of(from, to).cut || net_.Of(to, from).cut; });
      part.insert(part.end(), beyond, left.end());
      left.erase(beyond, left.end());
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

std::string PeersWorld::Told() const {
  std::string text;
  for (const Process& p : members_) {
    if (!p.node) continue;
    text += '\n' + p.node->self().name + (p.node->displaced() ? " (displaced):" : ":");
    for (const auto& [name, entry] : p.node->view().entries()) {
      const peers::Member& m = entry.member;
      text += ' ' + name + '=' + peers::NameOf(m.state) + '/' + std::to_string(m.boot >> 8) + '.' +
              std::to_string(m.incarnation);
    }
  }
  return text;
}

bool PeersWorld::AllSettled() const {
  return std::all_of(members_.begin(), members_.end(),
                     [&](const Process& p) { return !p.node || p.paused || p.node->Settled(Now()); });
}

}  // namespace kestrelline::sim
