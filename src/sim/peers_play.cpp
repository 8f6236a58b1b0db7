// SPDX-License-Identifier: Apache-2.0
#include "sim/peers_play.h"

#include <algorithm>
#include <cstdlib>

namespace kestrelline::sim {
namespace {

using standin::Fault;

constexpr Microseconds kStep{50000};  // from one look at the views to the next

PeersWorld::Options OptionsOf(const standin::SiteSpec& site, std::uint64_t seed) {
  PeersWorld::Options options;
  options.members = site.proxies;
  options.zones = std::max(1, static_cast<int>(site.zones.size()));
  options.seed = seed;
  return options;
}

}  // namespace

PeersPlay::PeersPlay(const standin::SiteSpec& site, std::uint64_t seed)
    : site_(site), world_(OptionsOf(site, seed)) {
  for (int i = 0; i < site.proxies; ++i) proxies_.push_back({PeersWorld::Name(i), site.ZoneOf(i), 0});
  for (const Fault& fault : site.faults) {
    const auto target = standin::KindOf(fault.kind).target;
    if (target != standin::Target::kProxies && target != standin::Target::kNetwork) continue;
    const Microseconds until =
        fault.at + fault.lasts +
        (fault.kind == Fault::Kind::kRestartProxy ? PeersWorld::kLeaves : Microseconds(0));
    edges_.push_back({fault.at, &fault, true});
    edges_.push_back({until, &fault, false});
  }
  std::stable_sort(edges_.begin(), edges_.end(), [](const Edge& a, const Edge& b) { return a.at < b.at; });
  world_.on_event = [this](int member, const peers::Event& event) { OnEvent(member, event); };
}

void PeersPlay::OnEvent(int member, const peers::Event& event) {
  if (event.kind == peers::Event::Kind::kFailed && world_.kernel().now() - changed_ > kSettling) {
    const int of = std::atoi(event.member.name.c_str() + 1);
    const auto part = [&](int m) { return part_of_[static_cast<std::size_t>(m)]; };
    if (part(of) >= 0 && part(of) == part(member) && world_.node(of)->self().boot == event.member.boot)
      ++false_deaths_;
  }
  if (on_event) on_event(world_.kernel().now(), member, event);
}

void PeersPlay::Turn(const Edge& edge) {
  const Fault& fault = *edge.fault;
  if (standin::KindOf(fault.kind).target == standin::Target::kNetwork) {
    for (const auto& link : standin::Links(fault.who, proxies_))
      edge.begins ? world_.net().Begin(link, fault) : world_.net().End(link, fault.kind);
    return;
  }
  for (const std::string& name : standin::Victims(fault, proxies_, site_.seed)) {
    const int member = std::atoi(name.c_str() + 1);
    switch (fault.kind) {
      case Fault::Kind::kPause:
        edge.begins ? world_.Pause(member) : world_.Resume(member);
        break;
      case Fault::Kind::kKill:
        edge.begins ? world_.Kill(member) : world_.Start(member);
        break;
      default:
        edge.begins ? world_.Leave(member) : world_.Start(member);
    }
  }
}

PeersPlayed PeersPlay::Play() {
  PeersPlayed played;
  world_.StartAll();
  played.changes.push_back({Microseconds(0), "all start", 1, std::nullopt});
  // The members of a start are there once the last one is; before that fewer agree as well.
  world_.Run(PeersWorld::kStartsWithin);
  for (std::size_t next = 0;;) {
    const bool last = next == edges_.size();
    const Microseconds now = world_.kernel().now();
    const Microseconds until = last ? now + kMostAfter : std::max(now, edges_[next].at);
    const auto parts = world_.Parts();
    const auto equal = [&] { return world_.Agree(parts); };
    PeersChange& change = played.changes.back();
    change.parts = parts.size();
    changed_ = now;
    part_of_.assign(proxies_.size(), -1);
    for (std::size_t part = 0; part < parts.size(); ++part)
      for (const int member : parts[part])
        part_of_[static_cast<std::size_t>(member)] = static_cast<int>(part);
    if (world_.RunUntil(equal, until - now)) change.equal = world_.kernel().now() - change.at;
    if (last) {
      played.agreed = change.equal.has_value();
      for (Microseconds held{0}; played.agreed && held < kStaysSo; held += kStep) {
        world_.Run(kStep);
        played.agreed = equal();
      }
      break;
    }
    while (world_.kernel().now() < until) {
      const Microseconds step = std::min(kStep, until - world_.kernel().now());
      world_.Run(step);
      if (change.equal && !equal()) change.differed += step;
    }
    // What is to happen at one moment is one change.
    std::string what;
    const Microseconds at = edges_[next].at;
    for (; next < edges_.size() && edges_[next].at == at; ++next) {
      Turn(edges_[next]);
      what += (what.empty() ? "" : ", ") + std::string(standin::KindOf(edges_[next].fault->kind).name) + " " +
              edges_[next].fault->who + (edges_[next].begins ? "" : " ends");
    }
    played.changes.push_back({at, std::move(what), 1, std::nullopt});
  }
  played.false_deaths = false_deaths_;
  played.totals = world_.totals();
  played.seconds = std::chrono::duration<double>(world_.kernel().now()).count();
  return played;
}

}  // namespace kestrelline::sim
