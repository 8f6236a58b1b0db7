// SPDX-License-Identifier: Apache-2.0
//
// Adds up the work that proxies have sent to backends, so that each proxy can go by what all of them sent. No
// I/O, no clock.
#ifndef KESTRELLINE_DISTRIBUTION_LOAD_BOARD_H_
#define KESTRELLINE_DISTRIBUTION_LOAD_BOARD_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::distribution {

class LoadBoard {
 public:
  using Time = std::chrono::milliseconds;
  static constexpr Time kForgetAfter{1500};  // of a reporter that is silent
  static constexpr std::size_t kMostReporters = 1024;

  void ReportFromProxy(Time now, const std::string& proxy, wire::LoadReport report);
  void ReportFromMember(Time now, const std::string& member, wire::LoadReport report);
  void Forget(Time now);

  // Of the proxies that report here.
  wire::LoadReport Here() const { return Sum({&proxies_}); }
  // Of all proxies.
  wire::LoadReport Everywhere() const { return Sum({&proxies_, &members_}); }

 private:
  struct Report {
    Time at{0};
    wire::LoadReport report;
  };
  using Reports = std::map<std::string, Report>;

  static void Put(Reports& reports, Time now, const std::string& from, wire::LoadReport report);
  static wire::LoadReport Sum(const std::vector<const Reports*>& sources);

  Reports proxies_;
  Reports members_;
};

// What turns `before` into `after`, both in order of backends: a backend that is gone comes without work.
std::vector<wire::BackendLoad> ChangedLoads(const std::vector<wire::BackendLoad>& before,
                                            const std::vector<wire::BackendLoad>& after);

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_LOAD_BOARD_H_
