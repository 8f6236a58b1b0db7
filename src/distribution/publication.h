// SPDX-License-Identifier: Apache-2.0
//
// What a process tells those who subscribed to it: the configuration, the list of backends, and how old that
// knowledge is. No I/O, no clock.
#ifndef KESTRELLINE_DISTRIBUTION_PUBLICATION_H_
#define KESTRELLINE_DISTRIBUTION_PUBLICATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "distribution/configuration_history.h"
#include "distribution/list_history.h"
#include "wire/messages.h"

namespace kestrelline::distribution {

// What a publication is made from at one moment.
struct Published {
  std::uint64_t version = 0;  // 0: there is no configuration yet
  // Its text, as the operator sent it or equal to that; made only where a subscriber lacks it.
  std::function<std::shared_ptr<const std::string>()> configuration;
  const ConfigurationHistory* configurations = nullptr;  // that end with `version`; null: there is none
  std::optional<std::chrono::milliseconds> age;  // since it was known to be the newest; nothing if never
  wire::InstanceListPtr instances;
  const ListHistory* lists = nullptr;  // that end with `instances`; null: there is none
  std::chrono::milliseconds instances_age{0};
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;
  std::uint32_t hops = 0;  // from a member of the control plane
};

// What a subscriber has already, and the newest probe that came from it (0: none).
struct SubscriberState {
  std::uint64_t version = 0;
  std::uint64_t instances_revision = 0;
  std::uint64_t probe = 0;
  bool takes_list_changes = false;
  bool takes_configuration_patches = false;
};

// Contents go only to those who lack them.
wire::Publication Compose(const SubscriberState& subscriber, const Published& now);
// The subscriber as it will be once it has that publication.
void Advance(SubscriberState& subscriber, const Published& now);

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_PUBLICATION_H_
