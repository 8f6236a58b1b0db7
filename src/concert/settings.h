// SPDX-License-Identifier: Apache-2.0
//
// [concert] of the operator's file, and what is checked before it holds.
#ifndef KESTRELLINE_CONCERT_SETTINGS_H_
#define KESTRELLINE_CONCERT_SETTINGS_H_

#include <optional>

#include "concert/message.h"
#include "operator/document.h"

namespace kestrelline::concert {

struct Settings {
  double reserve = 0.25;                 // of the whole, divided for good by how many are configured
  Span lease = std::chrono::seconds(2);  // after which what somebody had is free for others
};

// As worded.
struct Spec {
  bool there = false;
  operator_file::Position at;
  std::optional<operator_file::Located<double>> reserve;
  std::optional<operator_file::Located<operator_file::Milliseconds>> lease;
};

operator_file::Section ConcertSection(Spec* spec);

struct Around {
  bool peers = false;  // there is a [peers]
  int balancers = 1;   // that the platform's settings name
};
// Nothing where there is no section, or, with the reasons in `diagnostics`, where it is not right.
std::optional<Settings> Build(const Spec& spec, const Around& around,
                              operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::concert

#endif  // KESTRELLINE_CONCERT_SETTINGS_H_
