// SPDX-License-Identifier: Apache-2.0
//
// Lets the processes of one proxy find each other through files in a shared directory.
//
// Each process holds a lock on one of a few files while it runs, and writes its usage to that file. The
// kernel releases the lock when the process ends, so that a killed process leaves no stale entry. Readers
// query locks without taking them (open file description locks, F_OFD_GETLK), so that they never block a
// process that is starting. If the directory is missing, full or contains garbage, the process serves on its
// own.
#ifndef KESTRELLINE_SHARED_LIMITS_PROCESS_REGISTRY_H_
#define KESTRELLINE_SHARED_LIMITS_PROCESS_REGISTRY_H_

#include <array>
#include <string>
#include <vector>

#include "shared_limits/process_limits.h"

namespace kestrelline::shared_limits {

class ProcessRegistry {
 public:
  // Slots for two processes, and one that starts while another is being killed.
  static constexpr int kSlots = 3;

  // Takes the first free slot of the proxy called `name`; see failure_reason() if there is none.
  ProcessRegistry(const std::string& folder, const std::string& name);
  ~ProcessRegistry();
  ProcessRegistry(const ProcessRegistry&) = delete;
  ProcessRegistry& operator=(const ProcessRegistry&) = delete;

  bool joined() const { return own_slot_ >= 0; }
  // The reason why it could not join.
  const std::string& failure_reason() const { return failure_reason_; }

  // Writes the usage of this process for the others to read.
  void Publish(const ProcessUsage& usage);
  // Returns the usage of the other running processes. One that has joined but published nothing yet is
  // included with a usage of zero.
  std::vector<ProcessUsage> OtherProcesses() const;

 private:
  std::array<int, kSlots> files_;
  int own_slot_ = -1;
  std::string failure_reason_;
  ProcessUsage published_{-1, false};
};

}  // namespace kestrelline::shared_limits

#endif  // KESTRELLINE_SHARED_LIMITS_PROCESS_REGISTRY_H_
