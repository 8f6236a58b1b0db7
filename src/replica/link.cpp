// SPDX-License-Identifier: Apache-2.0
#include "replica/link.h"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace kestrelline::replica {
namespace {

constexpr char kDatagramKind = 'r';  // marks this module's datagrams on the peers' socket
// The digests of a report start at a multiple of this, so that reports which two proxies make within seconds
// of each other cover the same entries.
constexpr std::uint64_t kReportGranularityMs = 16 * Stream::kBucketMs;

Node::Options OptionsOf(const peers::Link& peers, const Settings& settings) {
  Node::Options options;
  options.name = peers.node().self().name;
  options.zone = peers.node().self().zone;
  options.seed = hashing::Mixed(peers.node().self().boot);
  options.max_entries = settings.entries;
  options.bytes_per_s = settings.bytes_per_s;
  return options;
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
  peers_.CarryProtocol(
      kDatagramKind, kMaxDatagramsPerSecond,
      [this](std::uint64_t boot, const peers::Address& from, std::span<const std::uint8_t> body) {
        ++received_;
        const auto message = wire::Decode(body);
        if (!message) return ++undecodable_, false;
        node_.Receive(Now(), boot, from, *message);
        Flush();
        return true;
      });
  Flush();
}

std::vector<ClaimRegistry::ActiveClaim> Link::ClaimsOn(std::uint64_t key) const {
  std::vector<ActiveClaim> held;
  for (const Store::Match& found : node_.store().Find(Now(), Table::kClaims, key)) {
    if (found.entry.value == static_cast<std::uint32_t>(ClaimState::kHeld))
      held.push_back({found.entry.subject.detail, found.until});
  }
  return held;
}

void Link::Claim(std::uint64_t key, std::uint64_t group, Span lifetime, int k, Span within,
                 std::function<void(bool)> done) {
  const Subject subject{Table::kClaims, key, group};
  const auto held = static_cast<std::uint32_t>(ClaimState::kHeld);
  if (k <= 0) {
    done(node_.Write(Now(), subject, lifetime, held) != 0);
  } else {
    waiting_.emplace(++last_id_, std::move(done));
    node_.WriteAndWait(Now(), last_id_, subject, lifetime, held, static_cast<std::size_t>(k), within);
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
  node_.HandOver(Now(), peers_.listen_address());
  Flush();
}

void Link::WhenReplicated(std::function<void()> done) {
  if (!handing_over_) node_.Leave(Now());
  replicated_ = std::move(done);
  Flush();
}

void Link::WhenCurrent(Span within, std::function<void()> done) {
  current_ = std::move(done);
  current_by_.expires_after(within);
  current_by_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled || !current_) return;
    log_("replica: ready_within is over; ready without having caught up with other proxies");
    std::exchange(current_, nullptr)();
  });
}

// Verdicts are delivered by the timer only, so that no callback runs within the call that registered it.
void Link::Flush() {
  for (const Outgoing& out : node_.TakeOutgoing()) {
    sent_ += out.to.size();
    peers_.SendProtocol(kDatagramKind, out.to, out.body);
  }
  for (const Event& event : node_.TakeEvents()) ReportEvent(event);
  if (current_ && node_.current()) {
    current_by_.cancel();
    std::exchange(current_, nullptr)();
  }
  if (replicated_ && node_.MayExit())
    boost::asio::post(timer_.get_executor(), std::exchange(replicated_, nullptr));
  const Time due = node_.HasVerdicts() ? Now() : node_.NextDue();
  if (due >= armed_for_) return;  // the timer fires before that, and is set again then
  armed_for_ = due;
  timer_.expires_at(due);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    armed_for_ = Time::max();
    node_.Tick(Now());
    for (const auto& [id, verdict] : node_.TakeVerdicts()) {
      const auto found = waiting_.find(id);
      if (found == waiting_.end()) continue;
      const auto done = std::move(found->second);
      waiting_.erase(found);
      done(verdict == PendingClaims::Verdict::kConfirmed);
    }
    Flush();
  });
}

void Link::ReportEvent(const Event& event) {
  ++events_[static_cast<std::size_t>(event.kind)];
  const auto range =
      " in " + std::to_string(event.after) + " to " + std::to_string(event.upto) + " of " + Hex(event.origin);
  switch (event.kind) {
    case Event::Kind::kCurrent:
      return log_(event.peer.empty() ? "replica: current: no other proxy has more"
                                     : "replica: current: has caught up with " + event.peer + ", " +
                                           std::to_string(event.count) + " entries");
    case Event::Kind::kCatchingUp:
      return log_("replica: catching up with " + event.peer);
    case Event::Kind::kRepeatedDifference:
      return log_("replica: differs from " + event.peer + range + " repeatedly after repairs");
    case Event::Kind::kEvicted:
      return log_("replica: " + std::to_string(event.count) +
                  " entries were evicted before they expired: the setting entries is too small");
    case Event::Kind::kOriginChanged:
      return log_("replica: another process uses origin " + Hex(event.origin) +
                  "; this one has drawn a new origin");
  }
}

std::string Link::Report() const {
  using nlohmann::json;
  const Time now = Now();
  json origins = json::array(), peers = json::array();
  const auto& store = node_.store();
  for (const auto& [origin, stream] : store.streams()) {
    const std::uint64_t as_of = (store.NowOf(origin, now) / kReportGranularityMs + 1) * kReportGranularityMs;
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
  line("_unread", undecodable_);
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
