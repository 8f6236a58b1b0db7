// SPDX-License-Identifier: Apache-2.0
//
// The proxy's metrics and their text format. No I/O.
//
// Each counter is incremented where the event occurs: for a request where its final response is given, for an
// attempt when the last byte of its request is written. Values that other components own are passed in when
// the text is formed.
#ifndef KESTRELLINE_MANAGEMENT_METRICS_H_
#define KESTRELLINE_MANAGEMENT_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kestrelline::management {

// Outcome of a request as seen by its client.
enum class RequestOutcome { kServed, kRefused, kFailed };

class Metrics {
 public:
  // `classes`: the request classes of the settings. Clients cannot add label values to them.
  explicit Metrics(std::vector<std::string> classes);

  // Not counted if `request_class` is out of range, as for a request that could not be parsed.
  void OnRequestOutcome(int request_class, RequestOutcome outcome);
  void OnAttempt() { ++tries_; }
  void OnRequestStarted() { ++active_; }
  void OnRequestClosed() { --active_; }

  // State of the backend pool.
  struct Pool {
    std::size_t size = 0, ejected = 0;
  };
  // In the Prometheus text format, without an end marker.
  std::string Text(const Pool& pool) const;

  std::uint64_t tries() const { return tries_; }
  std::int64_t active() const { return active_; }
  std::uint64_t Of(int request_class, RequestOutcome outcome) const {
    return counts_[static_cast<std::size_t>(request_class)].by_outcome[static_cast<std::size_t>(outcome)];
  }

 private:
  struct Counts {
    std::uint64_t by_outcome[3] = {};
  };
  std::vector<std::string> labels_;  // class names, escaped
  std::vector<Counts> counts_;
  std::uint64_t tries_ = 0;
  std::int64_t active_ = 0;
};

// Escapes a label value for the Prometheus text format.
std::string EscapeLabel(std::string_view text);

}  // namespace kestrelline::management

#endif  // KESTRELLINE_MANAGEMENT_METRICS_H_
