// SPDX-License-Identifier: Apache-2.0
//
// Quota division in virtual time, by fleet size and datagram loss: the time from a start until all shares are
// in use, the time from a crash until the others have the freed shares, the unused part, and the network
// traffic.
#include <cstdio>
#include <string>

#include "sim/peers_world.h"

namespace {

using namespace kestrelline;
using sim::Microseconds;
using sim::PeersWorld;

constexpr Microseconds kStep{20000}, kTimeout{120000000};

double Used(PeersWorld& world, int members) {
  double used = 0;
  for (int i = 0; i < members; ++i)
    if (world.runs(i)) used += world.concert(i)->Share(world.Now());
  return used;
}

// Seconds until this part of the whole is in use; -1 after the timeout.
double SecondsUntilUsed(PeersWorld& world, int members, double part) {
  for (Microseconds t{0}; t < kTimeout; t += kStep) {
    if (Used(world, members) > part - 0.02) return static_cast<double>(t.count()) / 1e6;
    world.Run(kStep);
  }
  return -1;
}

void Measure(int members, double loss, Microseconds lease) {
  PeersWorld::Options options;
  options.members = members, options.zones = 3;
  options.concert.emplace();
  options.concert->configured_members = static_cast<std::uint32_t>(members);
  options.concert->lease = lease;
  PeersWorld world(options);
  world.net().SetAll({.loss = loss, .delay = options.delay, .jitter = options.jitter});
  world.StartAll();
  world.Run(PeersWorld::kStartsWithin);
  const double start = SecondsUntilUsed(world, members, 1);
  world.Run(Microseconds(5000000));
  const auto before = world.totals();
  double unused = 0;
  int samples = 0;
  for (; samples < 500; ++samples) {
    world.Run(kStep);
    unused += 1 - Used(world, members);
  }
  const double member_seconds = 10.0 * members;
  const double bytes =
      static_cast<double>(world.totals().divided_bytes - before.divided_bytes) / member_seconds;
  const double datagrams =
      static_cast<double>(world.totals().divided_datagrams - before.divided_datagrams) / member_seconds;
  // A third of the members crash, the allocator among them.
  const int killed = members / 3;
  int allocator = 0;
  while (allocator < members - 1 && !world.concert(allocator)->IsAllocator(world.Now())) ++allocator;
  for (int k = 0; k < killed; ++k) world.Kill((allocator + k) % members);
  const double usable = 1 - 0.25 * killed / members;
  const double crash = SecondsUntilUsed(world, members, usable);
  std::printf("%7d  %4.0f %%  %5.1f  %9.1f  %9.1f  %10.2f %%  %9.2f %%  %9.0f  %9.1f\n", members, 100 * loss,
              static_cast<double>(lease.count()) / 1e6, start, crash, 100 * unused / samples,
              100 * (1 - usable), bytes, datagrams);
  std::fflush(stdout);
}

}  // namespace

int main() {
  std::printf(
      "members  loss  lease s  start, s  crash, s  unused, calm  unused then  bytes/s  datagrams/s\n");
  for (const double loss : {0.0, 0.05, 0.2})
    for (const int members : {5, 16, 32, 100}) Measure(members, loss, Microseconds(2000000));
  Measure(300, 0, Microseconds(5000000));
  return 0;
}
