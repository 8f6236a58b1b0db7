// SPDX-License-Identifier: Apache-2.0
//
// Combines the outcomes of a request's plug-ins into one verdict. No I/O, no clock.
//
// The plug-ins of a request run concurrently on the original request; none sees another's tags. The tags are
// combined in the order of the operator's file: the first plug-in that sets a tag wins, except for the class,
// where the most restrictive one wins. The decision module then receives the request with these tags.
#ifndef KESTRELLINE_PLUGIN_TAGGING_H_
#define KESTRELLINE_PLUGIN_TAGGING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plugin/api.h"
#include "routing/spec.h"

namespace kestrelline::plugin {

// Whether class `to` is at least as restrictive as class `from`: everything that the retry rules allow for a
// request of `to` they also allow for one of `from`. The order is safe, keyed, unsafe. A keyed class is only
// as restrictive as another keyed one that drops repeats at least as widely and as long.
bool Narrows(const kestrelline::ClassSettings& from, const kestrelline::ClassSettings& to);

// What the operator's file allows one plug-in, with names resolved to indices of the site.
struct Grants {
  std::vector<int> classes;  // classes that it may set, sorted
  bool tenant = false, key = false, route = false, cost = false;
  std::vector<bool> refuse_on_failure;  // indexed by the original class of the request

  bool operator==(const Grants&) const = default;
};

// The combined, permitted tags for the decision module and the routes.
struct Verdict {
  bool refuse =
      false;  // a plug-in failed and has on_failure = "refuse" for this class, or two tagged classes conflict
  std::optional<int> request_class, tenant;
  std::optional<std::string> key;
  std::optional<double> cost_ms;
  std::string route_tag;
};

// Collects the outcomes for one request. Each slot belongs to a plug-in, in the order of the file.
class Tagging {
 public:
  // `site` and the objects in `grants` must outlive it.
  Tagging(const routing::Site& site, int request_class, std::vector<const Grants*> grants);

  // Records a plug-in's outcome, once for each slot, and returns the fault to count: that of the outcome, or
  // kForbidden if a tag is invalid, was not granted, or would make the class less restrictive. All its tags
  // are then dropped.
  Fault Record(std::size_t index, const Outcome& outcome);

  bool Complete() const { return missing_ == 0; }
  Verdict Decide() const;  // call once Complete()

 private:
  struct Slot {
    const Grants* grants;
    Fault fault = Fault::kNone;
    bool recorded = false;
    std::optional<int> request_class, tenant;
    Tags tags;
  };
  bool Allowed(Slot* slot) const;

  const routing::Site& site_;
  int request_class_;
  std::vector<Slot> slots_;
  std::size_t missing_;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_TAGGING_H_
