// SPDX-License-Identifier: Apache-2.0
//
// What a proxy knows of one backend. No I/O, no clock.
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

// What the backend said of its load in its last answer.
struct LoadHint {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int own = 0;  // of those, requests of this proxy
  TimePoint at{};
  bool known = false;
};

// "running,waiting,slots"; nothing is changed if it can't be read.
bool ParseLoad(std::string_view text, LoadHint& hint);

// Parts of prompts that a backend has read for this proxy, and when it last used them.
class KnownParts {
 public:
  static constexpr std::size_t kMost = 768;  // the oldest half is forgotten beyond this

  void Note(std::uint64_t chain, TimePoint now);
  bool Has(std::uint64_t chain, TimePoint since) const;

 private:
  std::unordered_map<std::uint64_t, TimePoint> used_;
};

struct Backend {
  wire::Instance info;
  OutlierDetector::Host health;
  bool listed = true;      // on the newest list
  bool displaced = false;  // another instance answered at its address
  int in_flight = 0;       // requests of this proxy that are not answered yet
  // After a refusal it is left alone for a while, longer after each in a row. Refusals tell of load or of a
  // stage that changes, not of health.
  TimePoint avoid_until{};
  int refusals = 0;  // in a row
  LoadHint load;
  KnownParts parts;
  double reading_ms = 0;  // prompts that this proxy sent there and that are not read yet
  // The same of other proxies, and their requests that are not answered yet, as the control plane told.
  double others_reading_ms = 0;
  int others_running = 0;
  std::uint32_t reported_reading_ms = 0;  // in this proxy's last report
  std::uint32_t reported_running = 0;
  std::uint64_t id_hash = 0;

  bool Serves() const { return listed && !info.draining && !displaced; }
  void NoteRefusal(TimePoint now);
  void NoteAcceptance() { refusals = 0; }
};
using BackendPtr = std::shared_ptr<Backend>;

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_BACKEND_H_
