// SPDX-License-Identifier: Apache-2.0
#include "sim/shrink.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "standin/faults.h"

namespace kestrelline::sim {
namespace {

// Faults that meet nobody in a smaller site go with those that they met.
void DropFaultsOfNobody(standin::SiteSpec* site) {
  std::vector<standin::Candidate> converters, proxies;
  for (const auto& c : site->converters) converters.push_back({c.id, c.zone, c.cell});
  for (int n = 0; n < site->proxies; ++n) proxies.push_back({"n" + std::to_string(n), "", 0});
  std::erase_if(site->faults, [&](const standin::Fault& fault) {
    const auto target = standin::KindOf(fault.kind).target;
    if (target == standin::Target::kDiscovery) return false;
    return standin::Victims(fault, target == standin::Target::kProxies ? proxies : converters, site->seed)
        .empty();
  });
}

void Halve(load::Shape* shape) {
  struct Half {
    void operator()(load::Constant& s) const { s.rate /= 2; }
    void operator()(load::Ramp& s) const { s.from /= 2, s.to /= 2; }
    void operator()(load::Sine& s) const { s.mean /= 2, s.swing /= 2; }
    void operator()(load::Steps& s) const {
      for (double& rate : s.rates) rate /= 2;
    }
    void operator()(load::Bursts& s) const { s.rate /= 2; }
  };
  std::visit(Half(), *shape);
}

class Shrinker {
 public:
  Shrinker(Scenario scenario, const std::function<bool(const Scenario&)>& fails, int most_runs)
      : best_(std::move(scenario)), fails_(fails), left_(most_runs), most_(most_runs) {}

  Shrunk Run() {
    while (left_ > 0) {
      const bool faults = Faults(), sizes = Sizes();
      if (!faults && !sizes) break;
    }
    return {best_, most_ - left_};
  }

 private:
  bool Still(Scenario candidate) {
    if (left_ == 0) return false;
    --left_;
    if (!fails_(candidate)) return false;
    best_ = std::move(candidate);
    return true;
  }

  bool Faults() {
    bool any = false;
    for (std::size_t pieces = 2; !best_.site.faults.empty() && left_ > 0;) {
      const std::size_t size = best_.site.faults.size(), piece = (size + pieces - 1) / pieces;
      bool gone = false;
      for (std::size_t from = 0; from < size && !gone; from += piece) {
        Scenario candidate = best_;
        auto& faults = candidate.site.faults;
        const auto first = faults.begin() + static_cast<std::ptrdiff_t>(from);
        faults.erase(first, faults.begin() + static_cast<std::ptrdiff_t>(std::min(size, from + piece)));
        gone = Still(std::move(candidate));
      }
      any |= gone;
      if (gone) {
        pieces = std::max<std::size_t>(2, pieces - 1);
      } else if (piece == 1) {
        break;
      } else {
        pieces = std::min(size, pieces * 2);
      }
    }
    return any;
  }

  bool Sizes() {
    bool any = false;
    const auto attempt = [&](auto change) {
      Scenario candidate = best_;
      if (!change(&candidate)) return;
      DropFaultsOfNobody(&candidate.site);
      any |= Still(std::move(candidate));
    };
    attempt([](Scenario* s) {
      const std::size_t half = s->site.converters.size() / 2;
      if (half == 0) return false;
      s->site.converters.resize(half);
      return true;
    });
    attempt([](Scenario* s) { return std::exchange(s->site.proxies, std::max(1, s->site.proxies / 2)) > 1; });
    attempt([](Scenario* s) {
      s->plan.mixture.seconds /= 2;
      return s->plan.mixture.seconds >= 1;
    });
    attempt([](Scenario* s) {
      for (auto& shape : s->plan.mixture.shapes) Halve(&shape);
      return load::ArrivedBy(s->plan.mixture.shapes.front(), s->plan.mixture.seconds) >= 1;
    });
    return any;
  }

  Scenario best_;
  const std::function<bool(const Scenario&)>& fails_;
  int left_, most_;
};

}  // namespace

Shrunk Shrink(Scenario scenario, const std::function<bool(const Scenario&)>& fails, int most_runs) {
  return Shrinker(std::move(scenario), fails, most_runs).Run();
}

}  // namespace kestrelline::sim
