// SPDX-License-Identifier: Apache-2.0
#include "settings.h"

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace kestrelline::adapter {
namespace {

constexpr double kMaxNumber = 1e12;      // upper limit of any number: beyond all real deployments
constexpr double kMaxListItems = 65536;  // indices of classes and tenants have 16 bits on the wire

class KeyValues {
 public:
  explicit KeyValues(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }

  double Number(const std::string& key, double min = 0, double max = kMaxNumber) const {
    const auto found = values_.find(key);
    if (found == values_.end()) throw BadSettings("setting absent: " + key);
    return Checked(key, found->second, min, max);
  }
  double NumberOr(const std::string& key, double otherwise, double min = 0, double max = kMaxNumber) const {
    return values_.count(key) ? Number(key, min, max) : otherwise;
  }
  int Whole(const std::string& key, double min, double max) const {
    const double value = Number(key, min, max);
    if (value != std::floor(value)) throw BadSettings("setting not a whole number: " + key);
    return static_cast<int>(value);
  }
  Duration Time(const std::string& key) const { return Duration(Number(key)); }
  std::string_view Text(const std::string& key, std::string_view otherwise) const {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : found->second;
  }
  std::string_view Text(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end()) throw BadSettings("setting absent: " + key);
    return found->second;
  }

 private:
  static double Checked(const std::string& key, std::string_view text, double min, double max) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
      throw BadSettings("setting not a number: " + key);
    if (value < min || value > max) throw BadSettings("setting out of range: " + key);
    return value;
  }

  std::map<std::string_view, std::string_view, std::less<>> values_;
};

Effect EffectOf(const KeyValues& values, const std::string& key) {
  const std::string_view text = values.Text(key);
  if (text == "read_like") return Effect::kSafe;
  if (text == "idempotency_key") return Effect::kKeyed;
  if (text == "non_idempotent") return Effect::kUnsafe;
  throw BadSettings("setting of unknown meaning: " + key);
}

Group GroupOf(const KeyValues& values, const std::string& key) {
  const std::string_view text = values.Text(key);
  if (text == "all") return Group::kAll;
  if (text == "zone") return Group::kZone;
  if (text == "cell") return Group::kCell;
  throw BadSettings("setting of unknown meaning: " + key);
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  const KeyValues values(text);
  Settings settings;
  settings.balancers = values.Whole("balancers", 1, kMaxListItems);
  settings.me = static_cast<int>(values.NumberOr("me", 0, 0, kMaxListItems));
  settings.zone = values.Whole("zone", 0, kMaxListItems);

  const int classes = values.Whole("classes.count", 1, kMaxListItems);
  for (int i = 0; i < classes; ++i) {
    const std::string prefix = "classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.effect = EffectOf(values, prefix + "effect");
    if (c.effect == Effect::kKeyed) {
      c.group = GroupOf(values, prefix + "group");
      c.window = values.Time(prefix + "windowMs");
    }
    c.aim = values.Time(prefix + "goalTimeMs");
    c.deadline = values.Time(prefix + "deadlineMs");
    c.worth = values.NumberOr(prefix + "worth", 1);
    c.late_worth = values.NumberOr(prefix + "lateWorth", 0, 0, 1);
    settings.classes.push_back(c);
  }

  const int tenants = static_cast<int>(values.NumberOr("tenants.count", 0, 0, kMaxListItems));
  for (int i = 0; i < tenants; ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    TenantSettings tenant;
    tenant.quota_per_s = values.NumberOr(prefix + "quotaPerS", 0);
    settings.tenants.push_back(tenant);
  }

  settings.over_share_worth = values.NumberOr("overShareWorth", 1, 0, 1);
  settings.price_cross_zone = values.NumberOr("deductions.crossZone", 0);
  settings.warm_keys = values.Text("specifics.warmKeys", "false") == "true";

  const std::string_view mode = values.Text("registryMode", "push");
  if (mode != "push" && mode != "ask") throw BadSettings("setting of unknown meaning: registryMode");
  settings.must_ask_for_list = mode == "ask";
  if (settings.must_ask_for_list) settings.must_ask_within = values.Time("rules.mustAskInMs");
  settings.max_attempts = values.Whole("permissions.maxAttempts", 1, 255);
  settings.parallel_tries = values.Text("permissions.parallelTries", "false") == "true";
  if (values.Text("permissions.retryAfter", "false") == "true")
    settings.max_retry_after = Duration(values.NumberOr("permissions.maxRetryAfterMs", 0));
  settings.tick = Duration(values.NumberOr("periodMs", 1));

  settings.cold_from = values.Number("rules.coldFrom", 0, 1);
  settings.warm_up = values.Time("rules.warmUpMs");
  settings.fall_multiple = values.Number("rules.fallMultiple");
  settings.overload_for = values.Time("rules.overloadForMs");
  return settings;
}

}  // namespace kestrelline::adapter
