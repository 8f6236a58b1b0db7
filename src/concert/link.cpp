// SPDX-License-Identifier: Apache-2.0
#include "concert/link.h"

#include <cstdio>
#include <utility>

#include "concert/wire.h"
#include "hashing/mix.h"

namespace kestrelline::concert {
namespace {

constexpr char kDatagrams = 'c';  // of the peers' socket, those that are for this
constexpr const char* kNames[Event::kKinds] = {"leads", "led", "follows", "granted", "lapsed"};

}  // namespace

Link::Link(boost::asio::io_context& io, peers::Link& peers, const Settings& settings, const Who& who,
           Hooks hooks)
    : peers_(peers), settings_(settings), who_(who), hooks_(std::move(hooks)), timer_(io), measure_(io) {
  peers_.OnEvent([this](const peers::Event& event) {
    Begin();
    node_->OnPeer(Now(), event);
    Flush();
  });
  peers_.CarryOthers(kDatagrams, peers::Link::kMostPerSecond,
                     [this](std::uint64_t boot, const peers::Address&, std::span<const std::uint8_t> body) {
                       ++received_;
                       const auto message = wire::Decode(body);
                       if (!message) return ++unread_, false;
                       if (!node_ || handed_over_) return true;
                       node_->Receive(Now(), boot, *message);
                       Flush();
                       return true;
                     });
  Measure();
  if (peers_.listens()) {
    Begin();
  } else {
    hooks_.on_standing({});  // what this proxy has is its predecessor's yet
  }
}

// The first word of others shows that this process has the address.
void Link::Begin() {
  if (node_) return;
  Node::Options o;
  o.name = peers_.node().self().name;
  o.boot = peers_.node().self().boot;
  o.seed = hashing::Mixed(o.boot ^ who_.seed);
  o.place = static_cast<std::uint32_t>(who_.place);
  o.fleet = static_cast<std::uint32_t>(who_.fleet);
  o.lease = settings_.lease;
  o.reserve = settings_.reserve;
  node_.emplace(std::move(o), Now());
  Flush();
}

void Link::Measure() {
  measure_.expires_after(RateMeter::kOver);
  measure_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    const double rate = meter_.Measure(hooks_.requests());
    if (node_) node_->SetRate(rate);
    Measure();
  });
}

void Link::HandOver() {
  handed_over_ = true;
  if (!node_) return;
  node_->Quit(Now());
  Flush();
}

void Link::Flush() {
  for (const Outgoing& out : node_->TakeOutgoing()) {
    ++sent_;
    peers_.SendOther(kDatagrams, {&out.to, 1}, wire::Encode(out.message));
  }
  for (const Event& event : node_->TakeEvents()) Say(event);
  if (const auto standing = node_->standing(); standing != told_) {
    told_ = standing;
    hooks_.on_standing(standing);
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

void Link::Say(const Event& event) {
  ++events_[static_cast<std::size_t>(event.kind)];
  switch (event.kind) {
    case Event::Kind::kLeads:
      return hooks_.log("concert: hands out shares, term " + std::to_string(node_->term().number));
    case Event::Kind::kLed:
      return hooks_.log("concert: hands out no shares any more");
    case Event::Kind::kFollows:
      return hooks_.log("concert: has its share from " + event.peer);
    case Event::Kind::kGranted:
      return hooks_.log("concert: more than its reserve from now on");
    case Event::Kind::kLapsed:
      return hooks_.log("concert: no share was granted again: keeps to its reserve");
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
  put("_leads", node_ && node_->Leads(now) ? 1 : 0);
  put("_term", node_ ? static_cast<double>(node_->term().number) : 0);
  put("_rate", meter_.rate());
  for (std::size_t i = 0; i < events_.size(); ++i)
    put(std::string("_events{kind=\"") + kNames[i] + "\"}", static_cast<double>(events_[i]));
  put("_datagrams{way=\"in\"}", static_cast<double>(received_));
  put("_datagrams{way=\"out\"}", static_cast<double>(sent_));
  put("_unread", static_cast<double>(unread_));
  return text;
}

}  // namespace kestrelline::concert
