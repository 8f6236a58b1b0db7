// SPDX-License-Identifier: Apache-2.0
#include "distribution/publication.h"

#include <algorithm>
#include <utility>

namespace kestrelline::distribution {
namespace {

// Beyond this size, applying patches is no less work for the receiver than reading the whole configuration.
constexpr std::size_t kMaxPatchBytes = 65536;

void AddConfiguration(wire::Publication& publication, const SubscriberState& subscriber,
                      const PublishedState& now) {
  if (!now.configuration) return;
  if (subscriber.takes_configuration_patches && now.configurations) {
    if (auto patches = now.configurations->Since(subscriber.version, kMaxPatchBytes)) {
      publication.configuration_base = subscriber.version;
      publication.configuration_patches = std::move(*patches);
      return;
    }
  }
  if (const auto text = now.configuration()) publication.configuration = *text;
}

}  // namespace

wire::Publication Compose(const SubscriberState& subscriber, const PublishedState& now) {
  wire::Publication publication;
  publication.certain = now.age.has_value();
  publication.age_ms = static_cast<std::uint32_t>(now.age.value_or(std::chrono::milliseconds(0)).count());
  publication.version = now.version;
  publication.hops = now.hops;
  if (now.version > subscriber.version) AddConfiguration(publication, subscriber, now);
  if (now.instances) {
    publication.instances_revision = now.instances->revision;
    publication.instances_age_ms = static_cast<std::uint32_t>(now.instances_age.count());
    if (now.instances->revision > subscriber.instances_revision) {
      if (subscriber.takes_list_changes && now.lists)
        publication.list_changes = now.lists->Since(subscriber.instances_revision);
      if (!publication.list_changes) publication.instances = now.instances;
    }
  }
  publication.proxies = now.proxies;
  publication.control_peers = now.control_peers;
  return publication;
}

void Advance(SubscriberState& subscriber, const PublishedState& now) {
  if (now.configuration) subscriber.version = std::max(subscriber.version, now.version);
  if (now.instances) {
    subscriber.instances_revision = std::max(subscriber.instances_revision, now.instances->revision);
  }
}

}  // namespace kestrelline::distribution
