// SPDX-License-Identifier: Apache-2.0
//
// What a module was told and what it wants done, in words, for the log of a replay: one line each.
#ifndef KESTRELLINE_SIM_WORDS_H_
#define KESTRELLINE_SIM_WORDS_H_

#include <string>
#include <string_view>

#include "kestrelline/balancer.h"

namespace kestrelline::sim {

std::string_view NameOf(kestrelline::Outcome outcome);
std::string InWords(const kestrelline::Event& event);
std::string InWords(const kestrelline::Action& action);

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_WORDS_H_
