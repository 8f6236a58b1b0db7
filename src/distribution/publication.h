// SPDX-License-Identifier: Apache-2.0
//
// Builds the publications that a process sends to its subscribers: the configuration, the backend list and
// the age of that information. Performs no I/O and reads no clock.
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

// A snapshot of what there is to publish.
struct PublishedState {
  std::uint64_t version = 0;  // of the configuration; 0 if there is none yet
  // Returns the text of the configuration, as the operator sent it or equivalent. Called only if a subscriber
  // needs the text.
  std::function<std::shared_ptr<const std::string>()> configuration;
  const ConfigurationHistory* configurations = nullptr;  // ends with `version`; may be null
  // Time since the configuration was last confirmed to be the newest; nullopt if it never was.
  std::optional<std::chrono::milliseconds> age;
  wire::InstanceListPtr instances;
  const ListHistory* lists = nullptr;  // ends with `instances`; may be null
  std::chrono::milliseconds instances_age{0};
  std::uint32_t proxies = 0;
  std::vector<std::string> control_peers;
  std::uint32_t hops = 0;  // distance from a control plane member
};

// What a subscriber has already, and the value of the newest probe received from it (0 if none).
struct SubscriberState {
  std::uint64_t version = 0;
  std::uint64_t instances_revision = 0;
  std::uint64_t probe = 0;
  bool takes_list_changes = false;
  bool takes_configuration_patches = false;
};

// Builds the publication for one subscriber, leaving out contents that it has already.
wire::Publication Compose(const SubscriberState& subscriber, const PublishedState& now);
// Updates the state of the subscriber as if it had received that publication.
void Advance(SubscriberState& subscriber, const PublishedState& now);

}  // namespace kestrelline::distribution

#endif  // KESTRELLINE_DISTRIBUTION_PUBLICATION_H_
