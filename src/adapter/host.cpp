// SPDX-License-Identifier: Apache-2.0
#include "host.h"

#include <ostream>
#include <utility>
#include <vector>

#include "settings.h"

namespace kestrelline::adapter {

std::string Host::Answer(const Batch& batch) {
  for (const Record& record : batch.records) Handle(batch.now, record);
  return reply_.Take();
}

void Host::Handle(TimePoint now, const Record& record) {
  const std::uint32_t instance = record.instance;
  if (const auto* unknown = std::get_if<Unknown>(&record.message)) {
    if (!unknown->known_code)
      WarnOnce("event code " + std::to_string(unknown->code) + " is not known; skipped");
    return;
  }
  if (const auto* create = std::get_if<Create>(&record.message)) {
    balancers_.erase(instance);
    try {
      balancers_.emplace(instance, Balancer(ParseSettings(create->config), create->seed));
    } catch (const BadSettings& error) {
      reply_.AddInternalError(instance, error.what());
    }
    return;
  }
  const auto found = balancers_.find(instance);
  if (found == balancers_.end()) {
    WarnOnce("events for instance " + std::to_string(instance) + ", which is not live; ignored");
    return;
  }
  if (std::holds_alternative<Crash>(record.message)) {
    balancers_.erase(found);
    return;
  }
  std::vector<Action> actions;
  found->second.Handle(now, std::get<Event>(record.message), &actions);
  for (const Action& action : actions) reply_.Add(instance, action);
}

void Host::WarnOnce(const std::string& what) {
  if (warned_.insert(what).second) warnings_ << "brackenspoke_adapter: " << what << '\n';
}

}  // namespace kestrelline::adapter
