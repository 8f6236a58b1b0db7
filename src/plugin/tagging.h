// SPDX-License-Identifier: Apache-2.0
//
// What becomes of a request once its plug-ins have answered, or have failed to. No I/O, no clock.
//
// The plug-ins of a request run side by side, each on the request as it came; none sees another's tags. Their
// tags are put together here, in the order of the operator's file: the first to set one is heard, but for the
// class, where the narrowest is. The decision module then takes the request as it is tagged.
#ifndef KESTRELLINE_PLUGIN_TAGGING_H_
#define KESTRELLINE_PLUGIN_TAGGING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plugin/api.h"
#include "routing/spec.h"

namespace kestrelline::plugin {

// Whether whatever the rules allow a request of class `to` they allow one of class `from` as well: safe, then
// keyed, then unsafe; a keyed class only for one whose repeats are dropped at least as widely and as long.
bool Narrows(const kestrelline::ClassSettings& from, const kestrelline::ClassSettings& to);

// What the operator's file says of one plug-in, names resolved to the site's indices.
struct Grants {
  std::vector<int> classes;  // that it may set, sorted
  bool tenant = false, key = false, route = false, cost = false;
  std::vector<bool> refuse_on_failure;  // by class of the request as it came

  bool operator==(const Grants&) const = default;
};

// Tags that were allowed, as the decision module and the routes take them.
struct Verdict {
  bool refuse = false;  // a plug-in failed, and its file says so for this class
  std::optional<int> request_class, tenant;
  std::optional<std::string> key;
  std::optional<double> cost_ms;
  std::string route_tag;
};

// One request's answers. Each slot stands for a plug-in, in the order of the file.
class Tagging {
 public:
  // `site` and what `grants` points to must outlive it.
  Tagging(const routing::Site& site, int request_class, std::vector<const Grants*> grants);

  // Takes a plug-in's outcome, once for each slot, and gives the fault as which it counts: kForbidden where
  // tags are not those that it was granted, or would widen an effect. Such tags are dropped as a whole.
  Fault Take(std::size_t slot, const Outcome& outcome);

  bool Complete() const { return missing_ == 0; }
  Verdict Decide() const;  // once complete

 private:
  struct Slot {
    const Grants* grants;
    Fault fault = Fault::kNone;
    bool taken = false;
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
