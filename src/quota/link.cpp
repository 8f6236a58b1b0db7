// SPDX-License-Identifier: Apache-2.0
#include "quota/link.h"

#include <cstdio>
#include <utility>

#include "hashing/mix.h"
#include "quota/wire.h"

namespace kestrelline::quota {
namespace {

constexpr char kDatagramKind = 'c';  // marks this module's datagrams on the peers' socket
// Labels of the events in the figures, by Event::Kind.
constexpr const char* kEventNames[Event::kKinds] = {"leads", "led", "follows", "granted", "lapsed"};

}  // namespace

Link::Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings,
           const Identity& identity, Hooks hooks)
    : peers_(peers),
      settings_(settings),
      identity_(identity),
      hooks_(std::move(hooks)),
      timer_(io),
      measure_timer_(io) {
  peers_.OnEvent([this](const peers::Event& event) {
    StartNode();
    node_->OnPeer(Now(), event);
    Flush();
  });
  peers_.CarryProtocol(kDatagramKind, peers::Link::kMaxDatagramsPerSecond,
                       [this](std::uint64_t boot, const peers::Address&, std::span<const std::uint8_t> body) {
                         ++received_;
                         const auto message = wire::Decode(body);
                         if (!message) return ++undecodable_, false;
                         if (!node_ || handed_over_) return true;
                         node_->Receive(Now(), boot, *message);
                         Flush();
                         return true;
                       });
  ScheduleMeasurement();
  if (peers_.listens()) {
    StartNode();
  } else {
    hooks_.on_share_lease({});  // the share still belongs to the predecessor's process
  }
}

// Called on the first peer event: it shows that this process has the address.
void Link::StartNode() {
  if (node_) return;
  Node::Options options;
  options.name = peers_.node().self().name;
  options.boot = peers_.node().self().boot;
  options.seed = hashing::Mixed(options.boot ^ identity_.seed);
  options.member_index = static_cast<std::uint32_t>(identity_.member_index);
  options.configured_members = static_cast<std::uint32_t>(identity_.configured_members);
  options.lease = settings_.lease;
  options.reserve = settings_.reserve;
  node_.emplace(std::move(options), Now());
  Flush();
}

void Link::ScheduleMeasurement() {
  measure_timer_.expires_after(RateMeter::kInterval);
  measure_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    const double rate = rate_meter_.Measure(hooks_.requests());
    if (node_) node_->SetRate(rate);
    ScheduleMeasurement();
  });
}

void Link::HandOver() {
  handed_over_ = true;
  if (!node_) return;
  node_->Deactivate(Now());
  Flush();
}

void Link::Flush() {
  for (const Outgoing& out : node_->TakeOutgoing()) {
    ++sent_;
    peers_.SendProtocol(kDatagramKind, {&out.to, 1}, wire::Encode(out.message));
  }
  for (const Event& event : node_->TakeEvents()) Report(event);
  if (const auto lease = node_->share_lease(); lease != reported_lease_) {
    reported_lease_ = lease;
    hooks_.on_share_lease(lease);
  }
  const Time due = node_->NextDue();
  if (due == Time::max()) return;
  timer_.expires_at(due);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    node_->Tick(Now());
    Flush();
  });
}

void Link::Report(const Event& event) {
  ++events_[static_cast<std::size_t>(event.kind)];
  switch (event.kind) {
    case Event::Kind::kBecameAllocator:
      return hooks_.log("concert: this proxy allocates the shares, term " +
                        std::to_string(node_->term().number));
    case Event::Kind::kLostAllocator:
      return hooks_.log("concert: this proxy allocates the shares no longer");
    case Event::Kind::kFollowsAllocator:
      return hooks_.log("concert: the share is granted by " + event.peer);
    case Event::Kind::kGranted:
      return hooks_.log("concert: a share above the reserve has been granted");
    case Event::Kind::kGrantExpired:
      return hooks_.log("concert: the granted share expired without renewal; only the reserve is left");
  }
}

std::string Link::MetricsText() const {
  std::string text;
  char line[96];
  const auto put = [&](const std::string& name, double value) {
    std::snprintf(line, sizeof line, " %.6g\n", value);
    text += "proxy_concert" + name + line;
  };
  const Time now = Now();
  put("_share", node_ ? node_->Share(now) : 0);
  put("_leads", node_ && node_->IsAllocator(now) ? 1 : 0);
  put("_term", node_ ? static_cast<double>(node_->term().number) : 0);
  put("_rate", rate_meter_.rate());
  for (std::size_t i = 0; i < events_.size(); ++i)
    put(std::string("_events{kind=\"") + kEventNames[i] + "\"}", static_cast<double>(events_[i]));
  put("_datagrams{way=\"in\"}", static_cast<double>(received_));
  put("_datagrams{way=\"out\"}", static_cast<double>(sent_));
  put("_unread", static_cast<double>(undecodable_));
  return text;
}

}  // namespace kestrelline::quota
