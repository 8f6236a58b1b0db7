// SPDX-License-Identifier: Apache-2.0
//
// State that a proxy keeps for each backend: load, health, backoff and cached prefixes. No I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_BACKEND_H_
#define KESTRELLINE_DATA_PLANE_BACKEND_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "policy/ejection.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

// Load that the backend reported in its latest response.
struct LoadHint {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int own_requests = 0;  // requests of this proxy among those
  TimePoint reported_at{};
  bool known = false;
};

// Parses "running,waiting,slots", whole numbers with optional spaces around the commas. On malformed input it
// returns false and leaves `hint` unchanged.
bool ParseLoad(std::string_view text, LoadHint& hint);

// Prompt prefixes that a backend has processed for this proxy, with the time of their last use.
class PrefixCacheIndex {
 public:
  static constexpr std::size_t kMaxEntries = 768;  // beyond this, the least recently used half is evicted

  void Touch(std::uint64_t prefix_hash, TimePoint now);
  bool Contains(std::uint64_t prefix_hash, TimePoint since) const;

 private:
  std::unordered_map<std::uint64_t, TimePoint> used_;
};

struct Backend {
  wire::Instance info;
  OutlierDetector::Host health;
  bool listed = true;           // on the newest list
  bool address_reused = false;  // another instance answered at this address, until it is asked again
  TimePoint ask_again_at{};
  int in_flight = 0;  // requests of this proxy without a complete response
  // After a rejection the backend is avoided for a backoff that grows with each consecutive rejection.
  // Rejections indicate load or a changing stage, so they do not count as failures.
  TimePoint backoff_until{};
  int consecutive_rejections = 0;
  LoadHint load;
  PrefixCacheIndex cached_prefixes;
  double pending_prefill_ms = 0;  // prefill work that this proxy has sent there and that has not finished
  // The same for all other proxies, and their in-flight requests, as reported by the control plane.
  double others_prefill_ms = 0;
  int others_running = 0;
  std::uint32_t reported_prefill_ms = 0;  // values in the latest report of this proxy
  std::uint32_t reported_running = 0;
  std::uint64_t id_hash = 0;

  bool InService() const { return listed && !info.draining && !address_reused; }
  void RecordRejection(TimePoint now);
  // Another instance seems to have the address. A backend may say so by mistake, so it is asked again later.
  void RecordReusedAddress(TimePoint now);
  void ResetBackoff() { consecutive_rejections = 0; }
};
using BackendPtr = std::shared_ptr<Backend>;

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_BACKEND_H_
