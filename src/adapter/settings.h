// SPDX-License-Identifier: Apache-2.0
//
// Reads the path=value settings of the simulator's wire.
#ifndef KESTRELLINE_ADAPTER_SETTINGS_H_
#define KESTRELLINE_ADAPTER_SETTINGS_H_

#include <stdexcept>
#include <string_view>

#include "kestrelline/balancer.h"

namespace kestrelline::adapter {

// A needed key is absent, or a key holds what it must not; what() names the key.
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Unknown keys are ignored; an absent optional key has its documented meaning.
Settings ParseSettings(std::string_view text);

}  // namespace kestrelline::adapter

#endif  // KESTRELLINE_ADAPTER_SETTINGS_H_
