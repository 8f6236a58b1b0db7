// SPDX-License-Identifier: Apache-2.0
//
// Tracks the configuration that a proxy receives, either whole or as patches, and decides which version takes
// effect. Also keeps the text and the patches that the proxy relays to other proxies. No I/O, no clock.
#ifndef KESTRELLINE_DATA_PLANE_CONFIGURATION_FOLLOWER_H_
#define KESTRELLINE_DATA_PLANE_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration.h"
#include "data_plane/subscription.h"
#include "distribution/configuration_history.h"
#include "wire/messages.h"

namespace kestrelline::data_plane {

class ConfigurationFollower {
 public:
  // Processes a publication; `fresh` says whether it is proven to be recent. Returns the configuration to put
  // in force now, or null.
  configuration::ConfigurationPtr Apply(const wire::Publication& publication, bool fresh);
  // The version to subscribe with, whose contents need not be sent again. 0 after patches arrived for another
  // base version.
  std::uint64_t held_version() const { return missing_base_ ? 0 : gate_.known_version(); }
  // Patches arrived whose base version is not here; reset by the next whole configuration.
  bool missing_base() const { return missing_base_; }
  std::uint64_t version_in_force() const { return gate_.version(); }
  // The text of the newest configuration. Applies patches received since the last call.
  std::shared_ptr<const std::string> Text();
  const distribution::ConfigurationHistory& history() const { return history_; }
  // Why the latest configuration was rejected; empty if it was accepted.
  const std::string& error() const { return error_; }

 private:
  bool ApplyWhole(const wire::Publication& publication);
  bool ApplyPatches(const wire::Publication& publication);

  ConfigurationGate gate_;
  configuration::ConfigurationPtr newest_;
  std::shared_ptr<const std::string> text_;
  std::vector<std::string> patches_since_text_;
  distribution::ConfigurationHistory history_;
  std::string error_;
  bool missing_base_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_CONFIGURATION_FOLLOWER_H_
