// SPDX-License-Identifier: Apache-2.0
//
// Values of the operator's file as people write them.
#ifndef KESTRELLINE_OPERATOR_VALUES_H_
#define KESTRELLINE_OPERATOR_VALUES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace kestrelline::operator_file {

using Milliseconds = std::chrono::duration<double, std::milli>;

inline constexpr Milliseconds kLongestDuration = std::chrono::hours(1);

// "250ms", "1.5s", "2m", "1h": digits with at most one point, and a unit. Over 0 to 1 h unless `zero` allows
// 0. Otherwise nothing, and in `why` what would be accepted.
std::optional<Milliseconds> ParseDuration(std::string_view text, bool zero, std::string* why);

// "20%": 0% to 100%, as 0 to 1.
std::optional<double> ParseShare(std::string_view text, std::string* why);

// "250ms", in the largest unit that needs no more than two decimals.
std::string Shown(Milliseconds duration);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_VALUES_H_
