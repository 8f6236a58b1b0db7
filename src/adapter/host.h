// SPDX-License-Identifier: Apache-2.0
//
// Runs one Balancer per instance: passes decoded events to it and encodes its actions.
#ifndef KESTRELLINE_ADAPTER_HOST_H_
#define KESTRELLINE_ADAPTER_HOST_H_

#include <iosfwd>
#include <map>
#include <set>
#include <string>

#include "codec.h"
#include "kestrelline/balancer.h"

namespace kestrelline::adapter {

class Host {
 public:
  // Warnings are written to `warnings`, which must outlive the host; each text only once.
  explicit Host(std::ostream& warnings) : warnings_(warnings) {}

  // Handles a batch and returns the reply frame.
  std::string Answer(const Batch& batch);

 private:
  void Handle(TimePoint now, const Record& record);
  void WarnOnce(const std::string& what);

  std::ostream& warnings_;
  std::map<std::uint32_t, Balancer> balancers_;
  std::set<std::string> warned_;
  ReplyWriter reply_;
};

}  // namespace kestrelline::adapter

#endif  // KESTRELLINE_ADAPTER_HOST_H_
