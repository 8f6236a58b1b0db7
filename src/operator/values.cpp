// SPDX-License-Identifier: Apache-2.0
#include "operator/values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace kestrelline::operator_file {
namespace {

constexpr std::size_t kMaxDigits = 24;  // decimal point included; longer numbers are out of any range
constexpr std::pair<std::string_view, double> kUnits[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60 * 1000}, {"h", 3600 * 1000}};

// Accepts decimal digits with at most one point: no sign, exponent, "inf" or "nan".
std::optional<double> ParseDecimal(std::string_view text) {
  const bool valid = !text.empty() && text.size() <= kMaxDigits && text.front() != '.' &&
                     text.back() != '.' && std::count(text.begin(), text.end(), '.') <= 1 &&
                     text.find_first_not_of("0123456789.") == std::string_view::npos;
  if (!valid) return std::nullopt;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace

std::optional<Milliseconds> ParseDuration(std::string_view text, bool allow_zero, std::string* why) {
  const std::size_t digits = std::min(text.size(), text.find_first_not_of("0123456789."));
  const std::string_view unit = text.substr(digits);
  const auto* const unit_entry = std::find_if(std::begin(kUnits), std::end(kUnits),
                                              [&](const auto& entry) { return entry.first == unit; });
  const auto number = ParseDecimal(text.substr(0, digits));
  if (unit.empty() && number) {
    *why = "has no unit: write \"" + std::string(text) + "ms\" or \"" + std::string(text) + "s\"";
    return std::nullopt;
  }
  if (unit_entry == std::end(kUnits) || !number) {
    *why = "is no duration: accepted are digits and a unit, as in \"250ms\", \"1.5s\", \"2m\" or \"1h\"";
    return std::nullopt;
  }
  const Milliseconds duration(*number * unit_entry->second);
  if (duration > kLongestDuration) {
    *why = "is too long: 1h at most";
    return std::nullopt;
  }
  if (!(duration.count() > 0) && !allow_zero) {
    *why = "must be over 0";
    return std::nullopt;
  }
  return duration;
}

std::optional<double> ParsePercentage(std::string_view text, std::string* why) {
  const bool percent = text.ends_with('%');
  const auto number = percent ? ParseDecimal(text.substr(0, text.size() - 1)) : std::nullopt;
  if (!number) {
    *why = "is no share: accepted are digits and a per cent sign, as in \"20%\"";
    return std::nullopt;
  }
  if (*number > 100) {
    *why = "is over 100%";
    return std::nullopt;
  }
  return *number / 100;
}

std::string FormatDuration(Milliseconds duration) {
  std::string_view unit = "ms";
  double value = duration.count();
  for (const auto& [name, ms] : kUnits) {
    const double scaled = duration.count() / ms * 100;
    if (scaled < 100 || std::abs(scaled - std::round(scaled)) > 1e-9) continue;
    unit = name, value = duration.count() / ms;
  }
  char text[48];
  std::snprintf(text, sizeof text, "%.10g", value);
  return std::string(text) + std::string(unit);
}

}  // namespace kestrelline::operator_file
