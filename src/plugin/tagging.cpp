// SPDX-License-Identifier: Apache-2.0
#include "plugin/tagging.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kestrelline::plugin {
namespace {

std::optional<int> IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto position = std::find(names.begin(), names.end(), name);
  if (position == names.end()) return std::nullopt;
  return static_cast<int>(position - names.begin());
}

bool IsValidText(const std::optional<std::string>& text) {
  return !text ||
         (!text->empty() && text->size() <= kMaxTagBytes &&
          std::none_of(text->begin(), text->end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }));
}

}  // namespace

bool Narrows(const ClassSettings& from, const ClassSettings& to) {
  if (from.effect == Effect::kSafe || to.effect == Effect::kUnsafe) return true;
  if (from.effect == Effect::kUnsafe || to.effect == Effect::kSafe) return false;
  // Zones and cells may overlap, so of two different groups only 'all' is known to contain the other.
  return (from.group == Group::kAll || from.group == to.group) && to.window <= from.window;
}

Tagging::Tagging(const routing::Site& site, int request_class, std::vector<const Grants*> grants)
    : site_(site), request_class_(request_class), missing_(grants.size()) {
  slots_.reserve(grants.size());
  for (const Grants* granted : grants) {
    slots_.emplace_back();
    slots_.back().grants = granted;
  }
}

bool Tagging::Allowed(Slot* slot) const {
  const Grants& grants = *slot->grants;
  const Tags& tags = slot->tags;
  if ((tags.tenant && !grants.tenant) || (tags.key && !grants.key) || (tags.route && !grants.route) ||
      (tags.cost_ms && !grants.cost))
    return false;
  if (!IsValidText(tags.key) || !IsValidText(tags.route)) return false;
  if (tags.cost_ms && !(std::isfinite(*tags.cost_ms) && *tags.cost_ms >= 0 && *tags.cost_ms <= kMaxCostMs))
    return false;
  if (tags.tenant) {
    slot->tenant = IndexOf(site_.tenants, *tags.tenant);
    if (!slot->tenant) return false;
  }
  if (tags.request_class) {
    slot->request_class = IndexOf(site_.classes, *tags.request_class);
    if (!slot->request_class) return false;
    const int to = *slot->request_class;
    if (to != request_class_ && !std::binary_search(grants.classes.begin(), grants.classes.end(), to))
      return false;
    const auto& classes = site_.settings.classes;
    if (!Narrows(classes[static_cast<std::size_t>(request_class_)], classes[static_cast<std::size_t>(to)]))
      return false;
  }
  return true;
}

Fault Tagging::Record(std::size_t index, const Outcome& outcome) {
  Slot& slot = slots_[index];
  if (slot.recorded) return slot.fault;
  slot.recorded = true;
  --missing_;
  slot.fault = outcome.fault;
  if (slot.fault != Fault::kNone) return slot.fault;
  slot.tags = outcome.tags;
  if (!Allowed(&slot)) slot.fault = Fault::kForbidden;
  return slot.fault;
}

Verdict Tagging::Decide() const {
  Verdict verdict;
  const auto& classes = site_.settings.classes;
  const auto settings_of = [&](int request_class) -> const ClassSettings& {
    return classes[static_cast<std::size_t>(request_class)];
  };
  for (const Slot& slot : slots_) {
    if (slot.fault != Fault::kNone) {
      verdict.refuse |= slot.grants->refuse_on_failure[static_cast<std::size_t>(request_class_)];
      continue;
    }
    if (const auto to = slot.request_class) {
      // The first class stays unless a later one is more restrictive. If neither of two classes is as
      // restrictive as the other, no class satisfies both and the request is refused.
      if (!verdict.request_class || !Narrows(settings_of(*to), settings_of(*verdict.request_class))) {
        if (verdict.request_class && !Narrows(settings_of(*verdict.request_class), settings_of(*to)))
          verdict.refuse = true;
        verdict.request_class = to;
      }
    }
    if (!verdict.tenant) verdict.tenant = slot.tenant;
    if (!verdict.key) verdict.key = slot.tags.key;
    if (!verdict.cost_ms) verdict.cost_ms = slot.tags.cost_ms;
    if (verdict.route_tag.empty() && slot.tags.route) verdict.route_tag = *slot.tags.route;
  }
  return verdict;
}

}  // namespace kestrelline::plugin
