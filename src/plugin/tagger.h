// SPDX-License-Identifier: Apache-2.0
//
// What a front sees of plug-ins: a request goes in, its verdict comes out, once, within kMostWall.
#ifndef KESTRELLINE_PLUGIN_TAGGER_H_
#define KESTRELLINE_PLUGIN_TAGGER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "plugin/api.h"
#include "plugin/tagging.h"

namespace kestrelline::plugin {

// One version of all plug-ins. Whoever holds it, or a ticket of it, keeps that version alive.
class Tagger {
 public:
  using Done = std::function<void(const Verdict&)>;
  // Held while the verdict is waited for; letting go of it gives the request up: `done` is not called then.
  using Ticket = std::shared_ptr<void>;

  virtual ~Tagger() = default;

  // Whether any plug-in reads requests of this route (RouteTable::kNone: of none).
  virtual bool Reads(std::uint32_t route) const = 0;

  // `left`: what remains of the request's deadline. The view is not used after the call. `done` may be called
  // from within; it must not throw.
  virtual Ticket Tag(const RequestView& request, int request_class, std::uint32_t route, Duration left,
                     Done done) = 0;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_TAGGER_H_
