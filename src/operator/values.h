// SPDX-License-Identifier: Apache-2.0
//
// Parses and formats the durations and percentages of the operator's file.
#ifndef KESTRELLINE_OPERATOR_VALUES_H_
#define KESTRELLINE_OPERATOR_VALUES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace kestrelline::operator_file {

using Milliseconds = std::chrono::duration<double, std::milli>;

inline constexpr Milliseconds kLongestDuration = std::chrono::hours(1);

// Parses "250ms", "1.5s", "2m" or "1h": decimal digits with at most one point, and a unit. The duration must
// be over 0, or 0 if `allow_zero`, and at most 1 h. Otherwise returns nothing and sets `why` to the reason.
std::optional<Milliseconds> ParseDuration(std::string_view text, bool allow_zero, std::string* why);

// Parses "0%" to "100%" and returns 0 to 1. Otherwise returns nothing and sets `why` to the reason.
std::optional<double> ParsePercentage(std::string_view text, std::string* why);

// Formats a duration, as "250ms", in the largest unit in which it has a value of at least 1 and at most two
// decimals.
std::string FormatDuration(Milliseconds duration);

}  // namespace kestrelline::operator_file

#endif  // KESTRELLINE_OPERATOR_VALUES_H_
