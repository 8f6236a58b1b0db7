// SPDX-License-Identifier: Apache-2.0
//
// [peers] of the operator's file, and what is checked before it holds.
#ifndef KESTRELLINE_PEERS_SETTINGS_H_
#define KESTRELLINE_PEERS_SETTINGS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "operator/document.h"
#include "peers/seal.h"
#include "peers/times.h"

namespace kestrelline::peers {

inline constexpr std::size_t kMostSeeds = 64;

struct Settings {
  Address listen, advertise;  // where it is bound, and where others write to
  std::vector<Address> seeds;
  Keys keys;
  std::string key_file;
  std::uint8_t wire = 2;
  Times times;
};

// As worded.
struct Spec {
  using Text = std::optional<operator_file::Located<std::string>>;
  using Duration = std::optional<operator_file::Located<operator_file::Milliseconds>>;
  bool there = false;
  operator_file::Position at;
  Text listen, advertise, key_file;
  std::optional<operator_file::Located<std::vector<operator_file::Located<std::string>>>> seeds;
  std::optional<operator_file::Located<std::int64_t>> wire;
  Duration detect_within, probe_every, forget_after;
};

operator_file::Section PeersSection(Spec* spec);

struct Around {
  std::optional<bool> allowed;  // by the platform; nothing where it does not say
  std::string name;             // this proxy's
  std::string folder;           // that paths are taken from
};
// Nothing where there is no section, or, with the reasons in `diagnostics`, where it is not right.
std::optional<Settings> Build(const Spec& spec, const Around& around,
                              operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::peers

#endif  // KESTRELLINE_PEERS_SETTINGS_H_
