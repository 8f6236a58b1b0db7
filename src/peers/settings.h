// SPDX-License-Identifier: Apache-2.0
//
// The [peers] section of the operator's file: keys, checks and the resulting settings.
#ifndef KESTRELLINE_PEERS_SETTINGS_H_
#define KESTRELLINE_PEERS_SETTINGS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "operator/document.h"
#include "peers/authenticator.h"
#include "peers/times.h"

namespace kestrelline::peers {

inline constexpr std::size_t kMaxSeeds = 64;

// Validated settings.
struct Settings {
  Address listen, advertise;  // the address to bind, and the one that others send to
  std::vector<Address> seeds;
  Keys keys;
  std::string key_file;
  std::uint8_t wire = 2;
  Times times;
};

// The section as read, before it is checked.
struct Spec {
  using Text = std::optional<operator_file::Located<std::string>>;
  using Duration = std::optional<operator_file::Located<operator_file::Milliseconds>>;
  bool present = false;
  operator_file::Position at;
  Text listen, advertise, key_file;
  std::optional<operator_file::Located<std::vector<operator_file::Located<std::string>>>> seeds;
  std::optional<operator_file::Located<std::int64_t>> wire;
  Duration detect_within, probe_every, forget_after;
};

// The reader of the section, which fills `spec`.
operator_file::Section PeersSection(Spec* spec);

// What the checks depend on beside the section itself.
struct BuildContext {
  std::optional<bool> allowed;  // by the platform's settings; empty if they say nothing
  std::string name;             // of this proxy
  std::string folder;           // that relative paths start from
};
// Returns nothing if there is no section, or if it is invalid; errors are added to `diagnostics`.
std::optional<Settings> Build(const Spec& spec, const BuildContext& around,
                              operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_SETTINGS_H_
