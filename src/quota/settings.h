// SPDX-License-Identifier: Apache-2.0
//
// The [concert] section of the operator's file: its settings and their validation.
#ifndef KESTRELLINE_QUOTA_SETTINGS_H_
#define KESTRELLINE_QUOTA_SETTINGS_H_

#include <optional>

#include "operator/document.h"
#include "quota/message.h"

namespace kestrelline::quota {

struct Settings {
  // Part of the whole, 0 to 1, that is divided statically by the number of configured proxies.
  double reserve = 0.25;
  // Time after which the share of a failed proxy is free to be granted to others.
  Span lease = std::chrono::seconds(2);
};

// The section as written, before validation.
struct Spec {
  bool present = false;
  operator_file::Position at;
  std::optional<operator_file::Located<double>> reserve;
  std::optional<operator_file::Located<operator_file::Milliseconds>> lease;
};

operator_file::Section QuotaSection(Spec* spec);

// What the validation needs to know of the rest of the configuration.
struct BuildContext {
  bool peers = false;  // the file has a valid [peers] section
  int balancers = 1;   // proxies that the platform's settings name
};
// Returns nothing if there is no section, or if it is invalid; the errors are added to `diagnostics` then.
std::optional<Settings> Build(const Spec& spec, const BuildContext& context,
                              operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_QUOTA_SETTINGS_H_
