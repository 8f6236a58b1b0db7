// SPDX-License-Identifier: Apache-2.0
//
// Aggregates the backend load that proxies report, so that each proxy can balance by the work that all
// proxies have sent. Performs no I/O and reads no clock.
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
  static constexpr Time kReporterTimeout{1500};  // timeout of a reporter that sends nothing
  // Timeout of a single load that a member reported incrementally and has not repeated since: the message
  // that ended it was lost.
  static constexpr Time kLoadTimeout{10000};
  static constexpr std::size_t kMaxReporters = 1024;

  void ReportFromProxy(Time now, const std::string& proxy, wire::LoadReport report);
  void ReportFromMember(Time now, const std::string& member, wire::LoadReport report);
  // Applies changes since the last report or the last changes of that member.
  void ChangesFromMember(Time now, const std::string& member, const wire::LoadChanges& changes);
  // Drops the reporters that have timed out.
  void DropTimedOut(Time now);

  // Number of proxies that report to this process, directly or through another proxy.
  std::uint32_t LocalProxies() const;
  // Sum over the proxies that report to this process.
  wire::LoadReport LocalReport() const { return Sum({&proxies_}); }
  // Sum over all proxies, including those that report to other members.
  wire::LoadReport TotalReport() const { return Sum({&proxies_, &members_}); }

 private:
  // A load that was reported incrementally, with the time of receipt.
  struct TimedLoad {
    Time at{0};
    wire::BackendLoad load;
  };
  struct Report {
    Time at{0};
    wire::LoadReport report;
    // Loads by backend, from which `report.loads` is rebuilt. Used only for members that report
    // incrementally.
    std::map<std::uint64_t, TimedLoad> incremental;
  };
  using Reports = std::map<std::string, Report>;
  // Finds or creates the entry of a reporter. Null if there are kMaxReporters others already.
  static Report* FindOrAdd(Reports& reports, const std::string& from);
  static wire::LoadReport Sum(const std::vector<const Reports*>& sources);

  Reports proxies_;
  Reports members_;
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_LOAD_BOARD_H_
