// SPDX-License-Identifier: Apache-2.0
//
// The backend loads that a receiver of updates holds; the sender keeps the same to compute the next updates
// and a full summary for new receivers. Performs no I/O and reads no clock.
#ifndef KESTRELLINE_DISTRIBUTION_LOAD_MIRROR_H_
#define KESTRELLINE_DISTRIBUTION_LOAD_MIRROR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "wire/messages.h"

namespace kestrelline::distribution {

class LoadMirror {
 public:
  using Loads = std::map<std::uint64_t, wire::BackendLoad>;  // by backend; idle backends are left out

  // A summary that is marked as whole replaces the state; any other updates it.
  void Apply(const wire::LoadSummary& summary);
  void Apply(const std::vector<wire::BackendLoad>& changes);
  const Loads& loads() const { return loads_; }
  // The complete state as a summary.
  wire::LoadSummary FullSummary() const;

 private:
  Loads loads_;
};

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_LOAD_MIRROR_H_
