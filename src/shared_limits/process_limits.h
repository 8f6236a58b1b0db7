// SPDX-License-Identifier: Apache-2.0
//
// Divides the resource limits of one proxy among its processes. Performs no I/O and reads no clock.
//
// The usage of the other process is known as of some milliseconds ago. The total is kept nevertheless: while
// both use half or less, neither may exceed half, and a process that uses more than half can only shrink.
#ifndef KESTRELLINE_SHARED_LIMITS_PROCESS_LIMITS_H_
#define KESTRELLINE_SHARED_LIMITS_PROCESS_LIMITS_H_

#include <vector>

namespace kestrelline::shared_limits {

// The usage that a process publishes.
struct ProcessUsage {
  int descriptors = 0;    // open descriptors
  bool stopping = false;  // it is stopping and accepts no new requests
};

// The limits of a process.
struct ProcessLimits {
  int descriptors = 0;
  double memory = 1;  // share of the memory limit of the proxy
};

// Returns the limits of this process. `total` is the descriptor limit of all processes together; `others` are
// the processes that run beside this one.
ProcessLimits ComputeLimits(int total, const ProcessUsage& own, const std::vector<ProcessUsage>& others);

}  // namespace kestrelline::shared_limits

#endif  // KESTRELLINE_SHARED_LIMITS_PROCESS_LIMITS_H_
