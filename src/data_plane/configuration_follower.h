// SPDX-License-Identifier: Apache-2.0
//
// Follows the configuration that a proxy is told of, whole or by patches, decides what is put in force, and
// keeps what the proxy passes on to others. No I/O, no clock.
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
  // Takes what was told; `fresh` tells whether that is proven to be recent. Returns the configuration to put
  // in force now, or null.
  configuration::ConfigurationPtr Take(const wire::Publication& publication, bool fresh);
  // The version whose contents need not be told again; 0 once patches came that build on another one.
  std::uint64_t told_version() const { return lacks_base_ ? 0 : gate_.known_version(); }
  // Patches came that build on a version that is not here; ends with the next whole configuration.
  bool lacks_base() const { return lacks_base_; }
  std::uint64_t version_in_force() const { return gate_.version(); }
  // The text of the newest configuration. Patches that came since the last call are applied to it only now.
  std::shared_ptr<const std::string> Text();
  const distribution::ConfigurationHistory& history() const { return history_; }
  // Why the last configuration was not taken; empty if it was.
  const std::string& error() const { return error_; }

 private:
  bool TakeWhole(const wire::Publication& publication);
  bool TakePatches(const wire::Publication& publication);

  ConfigurationGate gate_;
  configuration::ConfigurationPtr newest_;
  std::shared_ptr<const std::string> text_;
  std::vector<std::string> patches_since_text_;
  distribution::ConfigurationHistory history_;
  std::string error_;
  bool lacks_base_ = false;
};

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_CONFIGURATION_FOLLOWER_H_
