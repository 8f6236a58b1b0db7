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
      TellOnce("event code " + std::to_string(unknown->code) + " is not known; skipped");
    return;
  }
  if (const auto* create = std::get_if<Create>(&record.message)) {
    live_.erase(instance);
    try {
      live_.emplace(instance, Balancer(ParseSettings(create->config), create->seed));
    } catch (const BadSettings& error) {
      reply_.AddInternalError(instance, error.what());
    }
    return;
  }
  const auto found = live_.find(instance);
  if (found == live_.end()) {
    TellOnce("events for instance " + std::to_string(instance) + ", which is not live; ignored");
    return;
  }
  if (std::holds_alternative<Crash>(record.message)) {
    live_.erase(found);
    return;
  }
  std::vector<Action> actions;
  found->second.Handle(now, std::get<Event>(record.message), &actions);
  for (const Action& action : actions) reply_.Add(instance, action);
}

void Host::TellOnce(const std::string& what) {
  if (told_.insert(what).second) complaints_ << "brackenspoke_adapter: " << what << '\n';
}

}  // namespace kestrelline::adapter
