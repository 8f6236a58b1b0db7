// SPDX-License-Identifier: Apache-2.0
//
// A process of the fleet, started and watched by the harness. It ends with the harness.
#ifndef KESTRELLINE_FLEET_SOAK_PROCESS_H_
#define KESTRELLINE_FLEET_SOAK_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace kestrelline::fleet_soak {

class Process {
 public:
  // What it writes to its standard error is appended to `log`.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
  // Kills it if it is still there.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Its exit status, or 1000 and the signal that ended it; nothing while it runs.
  std::optional<int> Ended();
  // Waits until it has ended; the same status, or -1 if that is not known.
  int Wait();

 private:
  pid_t Reap(int options);  // of waitpid

  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_PROCESS_H_
