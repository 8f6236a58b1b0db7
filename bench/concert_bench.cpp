// SPDX-License-Identifier: Apache-2.0
//
// Dividing among those that live, in virtual time: from a crash of some until the others have what they had,
// from a start of all until all is in use, what stays unused and what it costs, by the size of the fleet and
// by loss.
#include <cstdio>
#include <string>

#include "sim/peers_world.h"

namespace {

using namespace kestrelline;
using sim::Microseconds;
using sim::PeersWorld;

constexpr Microseconds kStep{20000}, kGiveUp{120000000};

double Used(PeersWorld& world, int members) {
  double used = 0;
  for (int i = 0; i < members; ++i)
    if (world.runs(i)) used += world.concert(i)->Share(world.Now());
  return used;
}

// Seconds until so much is in use; -1 if it does not come to that.
double Until(PeersWorld& world, int members, double part) {
  for (Microseconds t{0}; t < kGiveUp; t += kStep) {
    if (Used(world, members) > part - 0.02) return static_cast<double>(t.count()) / 1e6;
    world.Run(kStep);
  }
  return -1;
}

void Play(int members, double loss, Microseconds lease) {
  PeersWorld::Options options;
  options.members = members, options.zones = 3;
  options.concert.emplace();
  options.concert->configured_members = static_cast<std::uint32_t>(members);
  options.concert->lease = lease;
  PeersWorld world(options);
  world.net().SetAll({.loss = loss, .delay = options.delay, .jitter = options.jitter});
  world.StartAll();
  world.Run(PeersWorld::kStartsWithin);
  const double start = Until(world, members, 1);
  world.Run(Microseconds(5000000));
  const auto before = world.totals();
  double unused = 0;
  int looks = 0;
  for (; looks < 500; ++looks) {
    world.Run(kStep);
    unused += 1 - Used(world, members);
  }
  const double per = 10.0 * members;
  const double bytes = static_cast<double>(world.totals().divided_bytes - before.divided_bytes) / per;
  const double datagrams =
      static_cast<double>(world.totals().divided_datagrams - before.divided_datagrams) / per;
  // A third of them, whoever leads among them.
  const int killed = members / 3;
  int leader = 0;
  while (leader < members - 1 && !world.concert(leader)->Leads(world.Now())) ++leader;
  for (int k = 0; k < killed; ++k) world.Kill((leader + k) % members);
  const double live = 1 - 0.25 * killed / members;
  const double crash = Until(world, members, live);
  std::printf("%7d  %4.0f %%  %5.1f  %9.1f  %9.1f  %10.2f %%  %9.2f %%  %9.0f  %9.1f\n", members, 100 * loss,
              static_cast<double>(lease.count()) / 1e6, start, crash, 100 * unused / looks, 100 * (1 - live),
              bytes, datagrams);
  std::fflush(stdout);
}

}  // namespace

int main() {
  std::printf(
      "members  loss  lease s  start, s  crash, s  unused, calm  unused then  bytes/s  datagrams/s\n");
  for (const double loss : {0.0, 0.05, 0.2})
    for (const int members : {5, 16, 32, 100}) Play(members, loss, Microseconds(2000000));
  Play(300, 0, Microseconds(5000000));
  return 0;
}
