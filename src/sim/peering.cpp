// SPDX-License-Identifier: Apache-2.0
#include "sim/peering.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "operator/document.h"
#include "sim/node.h"

namespace kestrelline::sim {
namespace {

PeersWorld::Options OptionsOf(const standin::SiteSpec& site, std::uint64_t seed) {
  PeersWorld::Options options;
  options.members = site.proxies;
  options.zones = std::max(1, static_cast<int>(site.zones.size()));
  options.seed = seed;
  if (const auto settings = Peering::ConcertOf(site)) {
    quota::Node::Options divided;
    divided.configured_members = static_cast<std::uint32_t>(site.proxies);
    divided.lease = settings->lease;
    divided.reserve = settings->reserve;
    divided.seed = seed;
    options.concert = divided;
  }
  return options;
}

}  // namespace

std::optional<quota::Settings> Peering::ConcertOf(const standin::SiteSpec& site) {
  if (!site.concert) return std::nullopt;
  operator_file::Diagnostics diagnostics("[concert] of the site");
  quota::Spec spec;
  std::optional<quota::Settings> settings;
  const std::array sections{quota::QuotaSection(&spec)};
  if (operator_file::ReadDocument("version = 1\n[concert]\n" + *site.concert, sections, &diagnostics))
    settings = quota::Build(spec, {.peers = site.peers, .balancers = site.proxies}, &diagnostics);
  std::string wrong;
  for (const std::string& line : diagnostics.Lines()) wrong += (wrong.empty() ? "" : "\n") + line;
  if (!wrong.empty()) throw std::invalid_argument(wrong);
  return settings;
}

Peering::Peering(Kernel& kernel, const standin::SiteSpec& site, std::uint64_t seed, OnShare on_share)
    : kernel_(kernel),
      world_(OptionsOf(site, seed), &kernel),
      proxies_(static_cast<std::size_t>(site.proxies)) {
  for (int i = 0; i < site.proxies; ++i) names_.push_back({PeersWorld::Name(i), site.ZoneOf(i), 0});
  world_.on_share_lease = [on_share = std::move(on_share)](int proxy,
                                                           const quota::Node::ShareLease& standing) {
    // As src/proxy words it for the module.
    constexpr double kNothing = 1e-9;
    kestrelline::Share share{std::max(standing.share, kNothing), {}, std::max(standing.after, kNothing)};
    if (standing.until != quota::Time()) share.until = Node::TimeOf(PeersWorld::MomentOf(standing.until));
    on_share(static_cast<std::uint32_t>(proxy), share);
  };
}

void Peering::Start(std::uint32_t proxy) {
  Proxy& p = proxies_[proxy];
  p = {0, p.life + 1, {}};
  world_.Start(static_cast<int>(proxy));
  Measure(proxy, p.life);
}

void Peering::Measure(std::uint32_t proxy, std::uint64_t life) {
  kernel_.After(quota::RateMeter::kInterval, [this, proxy, life] {
    Proxy& p = proxies_[proxy];
    quota::Node* node = world_.concert(static_cast<int>(proxy));
    if (p.life != life || !node) return;
    if (!world_.paused(static_cast<int>(proxy))) node->SetRate(p.meter.Measure(p.requests));
    Measure(proxy, life);
  });
}

void Peering::Apply(const standin::Fault& fault) {
  for (const auto& link : standin::Links(fault.who, names_)) {
    world_.net().Begin(link, fault);
    kernel_.After(fault.lasts, [this, link, kind = fault.kind] { world_.net().End(link, kind); });
  }
}

}  // namespace kestrelline::sim
