// SPDX-License-Identifier: Apache-2.0
//
// A load on one proxy before a stand-in fleet, judged by the ledger.
#ifndef KESTRELLINE_TESTS_SUPPORT_AUDITED_LOAD_H_
#define KESTRELLINE_TESTS_SUPPORT_AUDITED_LOAD_H_

#include <sstream>
#include <vector>

#include "load/engine.h"
#include "load/events.h"
#include "support/running_fleet.h"

namespace kestrelline::testing {

// What the files of two processes would say, judged the same way.
inline load::Ledger::Verdict PlayAndJudge(const load::Plan& plan, const Tcp::endpoint& proxy,
                                          RunningFleet& fleet, const load::RuleFigures& figures) {
  load::Arrivals arrivals(plan.mixture, plan.seed);
  std::vector<Event> events;
  asio::io_context io(1);
  load::Engine engine(
      io, plan, {proxy}, [&] { return arrivals.Next(); },
      [](const load::Arrival&, load::Outcome, const load::Timing&) {});
  engine.Watch([&](const Event& event) { events.push_back(event); });
  engine.Start([&] { io.stop(); });
  io.run();
  std::stringstream clients, sites;
  {
    load::EventWriter a(clients), b(sites, &figures);
    for (const Event& event : events) a.Add(event);
    for (const Event& event : fleet.events.Get()) b.Add(event);
  }
  load::EventReader a(clients, "clients"), b(sites, "fleet");
  return load::Judge({&a, &b});
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_AUDITED_LOAD_H_
