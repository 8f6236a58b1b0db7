// SPDX-License-Identifier: Apache-2.0
//
// Parses the settings sent by the simulator: lines of path=value.
#ifndef KESTRELLINE_ADAPTER_SETTINGS_H_
#define KESTRELLINE_ADAPTER_SETTINGS_H_

#include <stdexcept>
#include <string_view>

#include "kestrelline/balancer.h"

namespace kestrelline::adapter {

// A required key is absent or a value is invalid; what() names the key.
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Unknown keys are ignored; an absent optional key has its documented default. Throws BadSettings.
Settings ParseSettings(std::string_view text);

}  // namespace kestrelline::adapter

#endif  // KESTRELLINE_ADAPTER_SETTINGS_H_
