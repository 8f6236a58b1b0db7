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
inline load::Ledger::Verdict JudgeEvents(const std::vector<Event>& of_clients,
                                         const std::vector<Event>& of_site,
                                         const load::RuleFigures& figures) {
  std::stringstream clients, sites;
  {
    load::EventWriter a(clients), b(sites, &figures);
    for (const Event& event : of_clients) a.Add(event);
    for (const Event& event : of_site) b.Add(event);
  }
  load::EventReader a(clients, "clients"), b(sites, "fleet");
  return load::Judge({&a, &b});
}

inline load::Ledger::Verdict PlayAndJudge(const load::Plan& plan, const std::vector<Tcp::endpoint>& proxies,
                                          RunningFleet& fleet, const load::RuleFigures& figures) {
  load::Arrivals arrivals(plan.mixture, plan.seed);
  std::vector<Event> events;
  asio::io_context io(1);
  load::Engine engine(
      io, plan, proxies, [&] { return arrivals.Next(); },
      [](const load::Arrival&, load::Outcome, const load::Timing&) {});
  engine.Watch([&](const Event& event) { events.push_back(event); });
  engine.Start([&] { io.stop(); });
  io.run();
  return JudgeEvents(events, fleet.events.Get(), figures);
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_AUDITED_LOAD_H_
