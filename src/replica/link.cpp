// SPDX-License-Identifier: Apache-2.0
#include "replica/link.h"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace kestrelline::replica {
namespace {

// Digests are of what ends after a moment that two proxies which look within seconds name alike.
constexpr char kDatagrams = 'r';  // of the peers' socket, those that are for this
constexpr std::uint64_t kAsOfEveryMs = 16 * Stream::kBucketMs;

Node::Options OptionsOf(const peers::Link& peers, const Settings& settings) {
  Node::Options o;
  o.name = peers.node().self().name;
  o.zone = peers.node().self().zone;
  o.seed = hashing::Mixed(peers.node().self().boot);
  o.most_entries = settings.entries;
  o.bytes_per_s = settings.bytes_per_s;
  return o;
}

std::string Hex(std::uint64_t number) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

const char* NameOf(Event::Kind kind) {
  static constexpr std::array<const char*, Event::kKinds> kNames{"current", "donor", "differs", "room",
                                                                 "reorigin"};
  return kNames[static_cast<std::size_t>(kind)];
}

}  // namespace

Link::Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings, OnLog log)
    : peers_(peers),
      log_(std::move(log)),
      node_(OptionsOf(peers, settings), Now()),
      timer_(io),
      current_by_(io) {
  peers_.OnEvent([this](const peers::Event& event) {
    node_.OnPeer(Now(), event);
    Flush();
  });
  peers_.CarryOthers(
      kDatagrams, kMostPerSecond,
      [this](std::uint64_t boot, const peers::Address& from, std::span<const std::uint8_t> body) {
        ++received_;
        const auto message = wire::Decode(body);
        if (!message) return ++unread_, false;
        node_.Receive(Now(), boot, from, *message);
        Flush();
        return true;
      });
  Flush();
}

std::vector<ClaimBook::Held> Link::HeldOf(std::uint64_t key) const {
  std::vector<Held> held;
  for (const Store::Found& found : node_.store().Find(Now(), Table::kClaims, key)) {
    if (found.entry.value == static_cast<std::uint32_t>(ClaimState::kHeld))
      held.push_back({found.entry.subject.detail, found.until});
  }
  return held;
}

void Link::Claim(std::uint64_t key, std::uint64_t group, Span keep, int k, Span within,
                 std::function<void(bool)> then) {
  const Subject subject{Table::kClaims, key, group};
  const auto held = static_cast<std::uint32_t>(ClaimState::kHeld);
  if (k <= 0) {
    then(node_.Write(Now(), subject, keep, held) != 0);
  } else {
    waiting_.emplace(++last_id_, std::move(then));
    node_.WriteAndWait(Now(), last_id_, subject, keep, held, static_cast<std::size_t>(k), within);
  }
  Flush();
}

void Link::Release(std::uint64_t key, std::uint64_t group) {
  node_.Write(Now(), {Table::kClaims, key, group}, Span(0),
              static_cast<std::uint32_t>(ClaimState::kReleased));
  Flush();
}

void Link::Leave() {
  node_.Leave(Now());
  Flush();
}

void Link::HandOver() {
  handing_over_ = true;
  node_.HandOver(Now(), peers_.listens_at());
  Flush();
}

void Link::WhenHeldElsewhere(std::function<void()> done) {
  if (!handing_over_) node_.Leave(Now());
  held_elsewhere_ = std::move(done);
  Flush();
}

void Link::WhenCurrent(Span within, std::function<void()> done) {
  current_ = std::move(done);
  current_by_.expires_after(within);
  current_by_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled || !current_) return;
    log_("replica: ready without all that others know: ready_within is up");
    std::exchange(current_, nullptr)();
  });
}

// Verdicts go out by the timer alone: none from within a call of whoever waits for it.
void Link::Flush() {
  for (const Outgoing& out : node_.TakeOutgoing()) {
    sent_ += out.to.size();
    peers_.SendOther(kDatagrams, out.to, out.body);
  }
  for (const Event& event : node_.TakeEvents()) Say(event);
  if (current_ && node_.current()) {
    current_by_.cancel();
    std::exchange(current_, nullptr)();
  }
  if (held_elsewhere_ && node_.MayEnd())
    boost::asio::post(timer_.get_executor(), std::exchange(held_elsewhere_, nullptr));
  const Time due = node_.HasVerdicts() ? Now() : node_.NextDue();
  if (due >= armed_for_) return;  // that much sooner or later is looked at then
  armed_for_ = due;
  timer_.expires_at(due);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    armed_for_ = Time::max();
    node_.Tick(Now());
    for (const auto& [id, verdict] : node_.TakeVerdicts()) {
      const auto found = waiting_.find(id);
      if (found == waiting_.end()) continue;
      const auto then = std::move(found->second);
      waiting_.erase(found);
      then(verdict == Rounds::Verdict::kHeld);
    }
    Flush();
  });
}

void Link::Say(const Event& event) {
  ++events_[static_cast<std::size_t>(event.kind)];
  const auto range =
      " in " + std::to_string(event.after) + " to " + std::to_string(event.upto) + " of " + Hex(event.origin);
  switch (event.kind) {
    case Event::Kind::kCurrent:
      return log_(event.peer.empty() ? "replica: current: nobody there has more"
                                     : "replica: current: has all that " + event.peer + " had, " +
                                           std::to_string(event.count) + " entries");
    case Event::Kind::kDonor:
      return log_("replica: catches up with " + event.peer);
    case Event::Kind::kDiffers:
      return log_("replica: differs from " + event.peer + range + " again after it was mended");
    case Event::Kind::kRoom:
      return log_("replica: " + std::to_string(event.count) +
                  " entries made way before their end: entries is too small");
    case Event::Kind::kReorigin:
      return log_("replica: another process writes as " + Hex(event.origin) +
                  ": writes as another from now on");
  }
}

std::string Link::Report() const {
  using nlohmann::json;
  const Time now = Now();
  json origins = json::array(), peers = json::array();
  const auto& store = node_.store();
  for (const auto& [origin, stream] : store.streams()) {
    const std::uint64_t as_of = (store.NowOf(origin, now) / kAsOfEveryMs + 1) * kAsOfEveryMs;
    std::string owner;
    if (origin == store.own()) owner = peers_.node().self().name;
    for (const auto& [name, entry] : peers_.node().view().entries())
      if (node_.OwnerOf(name) == stream.owner()) owner = name;
    origins.push_back({{"origin", Hex(origin)},
                       {"owner", owner},
                       {"upto", stream.upto()},
                       {"entries", stream.size()},
                       {"as_of_ms", as_of},
                       {"digest", Hex(stream.Digest(as_of))}});
  }
  for (const Node::PeerState& peer : node_.Peers())
    peers.push_back(
        {{"name", peer.name}, {"present", peer.present}, {"current", peer.current}, {"behind", peer.behind}});
  return json{{"name", peers_.node().self().name}, {"own", Hex(store.own())},
              {"current", node_.current()},        {"entries", store.size()},
              {"origins", std::move(origins)},     {"peers", std::move(peers)}}
      .dump();
}

std::string Link::MetricsText(const Claims::Counts& claims) const {
  std::string text;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    text += "proxy_replica" + name + " " + std::to_string(value) + "\n";
  };
  const Store::Counts& counts = node_.store().counts();
  line("_current", node_.current() ? 1 : 0);
  line("_entries", node_.store().size());
  line("_origins", node_.store().streams().size());
  line("_written", counts.written);
  line("_merged", counts.merged);
  line("_evicted", counts.evicted);
  line("_refused", counts.refused + counts.streams_refused);
  line("_repaired", node_.repaired());
  line("_datagrams{way=\"in\"}", received_);
  line("_datagrams{way=\"out\"}", sent_);
  line("_unread", unread_);
  for (std::size_t i = 0; i < events_.size(); ++i)
    line(std::string("_events{kind=\"") + NameOf(static_cast<Event::Kind>(i)) + "\"}", events_[i]);
  line("_claims{what=\"made\"}", claims.claimed);
  line("_claims{what=\"bound\"}", claims.bound);
  line("_claims{what=\"elsewhere\"}", claims.elsewhere);
  line("_claims{what=\"unmet\"}", claims.unmet);
  line("_claims{what=\"released\"}", claims.released);
  return text;
}

}  // namespace kestrelline::replica
