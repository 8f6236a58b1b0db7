// SPDX-License-Identifier: Apache-2.0
//
// The interface through which the proxy runs plug-ins: takes a request and calls back once with its verdict,
// within kMaxWall.
#ifndef KESTRELLINE_PLUGIN_TAGGER_H_
#define KESTRELLINE_PLUGIN_TAGGER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "plugin/api.h"
#include "plugin/tagging.h"

namespace kestrelline::plugin {

// One version of the whole set of plug-ins. A reference to it, or to one of its tickets, keeps that version
// alive.
class Tagger {
 public:
  using Done = std::function<void(const Verdict&)>;
  // Represents a pending verdict. Releasing it cancels the request: `done` is then not called.
  using Ticket = std::shared_ptr<void>;

  virtual ~Tagger() = default;

  // Whether any plug-in reads requests of this route (RouteTable::kNone: requests without a route).
  virtual bool Reads(std::uint32_t route) const = 0;

  // `left`: time until the request's deadline. The view is not used after Tag returns. `done` may be called
  // before Tag returns, and must not throw.
  virtual Ticket Tag(const RequestView& request, int request_class, std::uint32_t route, Duration left,
                     Done done) = 0;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_TAGGER_H_
