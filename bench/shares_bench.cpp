// SPDX-License-Identifier: Apache-2.0
//
// Compares algorithms that distribute keys over servers, and servers over proxies: how even they are, and
// what a change moves. Apart from the lookup time, it prints counts. Results: docs/design/scale.md.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/affinity.h"
#include "fleet/subset.h"
#include "measures.h"

namespace {

using namespace kestrelline::fleet;

std::uint64_t Mixed(std::uint64_t a, std::uint64_t b) { return XXH3_64bits_withSeed(&a, sizeof(a), b); }

// Ring of the members 1 to n except those in `without`, with `points` points each.
Ring RingOf(Member n, const std::set<Member>& without, int points) {
  std::vector<RingPoint> all, none;
  for (Member m = 1; m <= n; ++m) {
    for (int k = 0; k < points && !without.contains(m); ++k) {
      const std::uint32_t place = k == 0
                                      ? kestrelline::MixBits(m)
                                      : static_cast<std::uint32_t>(Mixed(m, static_cast<std::uint64_t>(k)));
      all.push_back({place, m});
    }
  }
  std::sort(all.begin(), all.end());
  Ring ring;
  ring.Change(&none, all, [](Member) { return true; });
  return ring;
}

using Owner = std::function<Member(std::uint64_t key)>;

Owner ByProbes(Member n, const std::set<Member>& without) {
  return [ring = RingOf(n, without, 1)](std::uint64_t key) {
    Member owner = kNoMember;
    KeyOwners(ring, key).ForEachCandidate([&](Member m) { return owner = m, true; });
    return owner;
  };
}
Owner ByPoints(Member n, const std::set<Member>& without, int points) {
  return [ring = RingOf(n, without, points)](std::uint64_t key) {
    return ring[ring.At(static_cast<std::uint32_t>(Mixed(key, 0)))];
  };
}
Owner ByRendezvous(Member n, const std::set<Member>& without) {
  return [=](std::uint64_t key) {
    Member best = kNoMember;
    std::uint64_t highest = 0;
    for (Member m = 1; m <= n; ++m) {
      const std::uint64_t weight = without.contains(m) ? 0 : Mixed(key, m);
      if (weight > highest) highest = weight, best = m;
    }
    return best;
  };
}
// Maglev hashing (Eisenbud et al., 2016).
Owner ByMaglev(Member n, const std::set<Member>& without) {
  constexpr std::uint64_t kTable = 65537;
  std::vector<Member> table(kTable, kNoMember);
  std::vector<std::uint64_t> next(n + 1);
  for (std::uint64_t filled = 0; filled < kTable;) {
    for (Member m = 1; m <= n && filled < kTable; ++m) {
      if (without.contains(m)) continue;
      const std::uint64_t offset = Mixed(m, 1) % kTable, skip = Mixed(m, 2) % (kTable - 1) + 1;
      std::uint64_t at = (offset + next[m]++ * skip) % kTable;
      while (table[at] != kNoMember) at = (offset + next[m]++ * skip) % kTable;
      table[at] = m, ++filled;
    }
  }
  return [table](std::uint64_t key) { return table[Mixed(key, 3) % kTable]; };
}

void Keys(const char* name, const std::function<Owner(const std::set<Member>&)>& make_owner, Member n) {
  const Owner before = make_owner({}), after = make_owner({n / 2});
  const std::uint64_t keys = std::uint64_t{1000} * n;
  std::vector<int> owned(n + 1);
  std::uint64_t others = 0;
  const auto begun = std::chrono::steady_clock::now();
  for (std::uint64_t key = 0; key < keys; ++key) ++owned[before(key)];
  const double ns =
      std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begun).count();
  for (std::uint64_t key = 0; key < keys; ++key) {
    const Member owner = before(key);
    others += owner != n / 2 && owner != after(key);
  }
  const int max = *std::max_element(owned.begin() + 1, owned.end());
  const int min = *std::min_element(owned.begin() + 1, owned.end());
  std::printf("%-14s %8u %10.2f %10.2f %14.2f %10.0f\n", name, n, max / 1000.0, min / 1000.0,
              100.0 * static_cast<double>(others) / static_cast<double>(keys),
              ns / static_cast<double>(keys));
  std::fflush(stdout);
}

// ---- servers among proxies ------------------------------------------------------------------------------

constexpr int kProxies = 1000;
constexpr Member kServers = 10000;
constexpr std::size_t kSubsetSize = 80;

using Users = std::vector<std::vector<Member>>;  // by proxy, sorted

// Replaces ten servers per step; `used` returns the subset of a proxy.
void Subsets(const char* name, const std::function<std::vector<Member>(const Ring&, int proxy)>& used) {
  std::mt19937 draw(20261201);
  std::vector<Member> listed;
  for (Member m = 1; m <= kServers; ++m) listed.push_back(m);
  std::vector<RingPoint> none, points;
  for (const Member m : listed) points.push_back({kestrelline::MixBits(m), m});
  std::sort(points.begin(), points.end());
  Ring ring;
  ring.Change(&none, points, [](Member) { return true; });
  Member next = kServers + 1;
  Users before(kProxies);
  int min = kProxies, max = 0;
  long moved = 0;
  constexpr int kSteps = 40;
  for (int step = 0; step <= kSteps; ++step) {
    if (step > 0) {
      std::vector<RingPoint> leaving, joining;
      for (int k = 0; k < 10; ++k) {
        Member& m = listed[draw() % listed.size()];
        leaving.push_back({kestrelline::MixBits(m), m});
        m = next++;
        joining.push_back({kestrelline::MixBits(m), m});
      }
      std::sort(joining.begin(), joining.end());
      ring.Change(&leaving, joining, [](Member) { return true; });
    }
    std::map<Member, int> proxies_of;
    for (int p = 0; p < kProxies; ++p) {
      auto now = used(ring, p);
      std::sort(now.begin(), now.end());
      for (const Member m : now) ++proxies_of[m];
      auto& old = before[static_cast<std::size_t>(p)];
      std::vector<Member> fresh;
      std::set_difference(now.begin(), now.end(), old.begin(), old.end(), std::back_inserter(fresh));
      if (step > 0) moved += static_cast<long>(fresh.size());
      old = std::move(now);
    }
    for (std::size_t k = 0; k < ring.size(); ++k) {
      min = std::min(min, proxies_of[ring[k]]), max = std::max(max, proxies_of[ring[k]]);
    }
  }
  std::printf("%-28s %8d %8d %14.1f\n", name, min, max, static_cast<double>(moved) / (10 * kSteps));
  std::fflush(stdout);
}

std::vector<Member> ArcFrom(const Ring& ring, std::size_t begin) {
  std::vector<Member> arc;
  for (std::size_t k = 0; k < kSubsetSize; ++k) arc.push_back(ring[(begin + k) % ring.size()]);
  return arc;
}

}  // namespace

int main() {
  std::printf("%-14s %8s %10s %10s %14s %10s\n", "keys", "servers", "most/mean", "least/mean", "% of others",
              "ns");
  for (const Member n : {15u, 1000u}) {
    Keys(
        "21 probes", [n](const auto& without) { return ByProbes(n, without); }, n);
    Keys(
        "1 spot", [n](const auto& without) { return ByPoints(n, without, 1); }, n);
    Keys(
        "100 spots", [n](const auto& without) { return ByPoints(n, without, 100); }, n);
    Keys(
        "Maglev", [n](const auto& without) { return ByMaglev(n, without); }, n);
    if (n < 100)
      Keys(
          "rendezvous", [n](const auto& without) { return ByRendezvous(n, without); }, n);
  }
  std::printf("\n%-28s %8s %8s %14s\n", "arcs", "least", "most", "moved/replaced");
  Subsets("at a share of the servers", [](const Ring& ring, int p) {
    const double turns = p * kGoldenRatio;
    return ArcFrom(ring,
                   static_cast<std::size_t>((turns - std::floor(turns)) * static_cast<double>(ring.size())));
  });
  for (const std::size_t slack : {kSubsetSize / 16, kSubsetSize / 8}) {
    // The same, but an arc is moved only when it is off its position by more than the slack.
    std::vector<std::uint32_t> kept(kProxies);
    Subsets(("the same, off by " + std::to_string(slack) + " at most").c_str(), [&](const Ring& ring, int p) {
      const double turns = p * kGoldenRatio;
      const auto place =
          static_cast<std::size_t>((turns - std::floor(turns)) * static_cast<double>(ring.size()));
      std::uint32_t& at = kept[static_cast<std::size_t>(p)];
      const std::size_t now = ring.At(at), off = now > place ? now - place : place - now;
      if (at != 0 && std::min(off, ring.size() - off) <= slack) return ArcFrom(ring, now);
      at = ring.PlaceOf(place);
      return ArcFrom(ring, place);
    });
  }
  Subsets("at a hash", [](const Ring& ring, int p) {
    return ArcFrom(ring, ring.At(static_cast<std::uint32_t>(Mixed(static_cast<std::uint64_t>(p), 9))));
  });
  Subsets("at a share of the places",
          [](const Ring& ring, int p) { return ArcFrom(ring, ArcBegin(ring, p, kProxies)); });
  return 0;
}
