// SPDX-License-Identifier: Apache-2.0
//
// A stand-in site in a file: TOML, `version = 1`, read by the rules of the operator's file. No I/O, no clock.
#ifndef KESTRELLINE_STANDIN_SITE_H_
#define KESTRELLINE_STANDIN_SITE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "load/ledger.h"
#include "operator/diagnostics.h"
#include "standin/faults.h"

namespace kestrelline::standin {

using load::Microseconds;

struct SiteClass {
  std::string name;
  load::Effect effect = load::Effect::kUnsafe;
  bool all_drop = false;          // keyed: every converter drops a repeat, not those of one cell alone
  Microseconds window{10000000};  // keyed: for how long repeats are dropped
  Microseconds deadline{1000000};
  double work_s = 0.01;  // the mean, of a core of speed 1
  double spread = 0.5;   // the sigma of its logarithm
  std::uint32_t answer_bytes = 200;
};

struct ConverterSpec {
  std::string id, zone, kind;
  int cell = 0;
  int cores = 2;
  double speed = 1;
  int queue = 64;         // beyond the cores; more are declined
  int connections = 256;  // over all proxies; more are declined
};

struct SiteSpec {
  std::uint64_t seed = 1;
  int proxies = 0;
  std::vector<std::string> zones;
  std::vector<SiteClass> classes;
  std::vector<ConverterSpec> converters;
  double cold_from = 0.16, fall_multiple = 2.5;
  Microseconds warm_up{24000000}, overload_for{3000000};
  bool load_reports = false;
  bool peers = false;  // proxies know each other, through a network whose faults are set here
  // With peers: what [replica] and [concert] say; nothing: they are not there.
  std::optional<std::string> replica, concert;
  std::string partition;  // tables of [[partition]], whole; the same
  std::vector<Fault> faults;

  load::RuleFigures Rules() const;
  // Of a proxy, by its number.
  std::string ZoneOf(int proxy) const {
    return zones.empty() ? std::string() : zones[static_cast<std::size_t>(proxy) % zones.size()];
  }
};

// What a site may have: on sockets each converter has an address for each proxy.
struct SiteBounds {
  std::size_t converters = 500;
  int proxies = 20;
};

// Nothing, and why in `diagnostics`, unless all of it is right.
std::optional<SiteSpec> ReadSite(std::string_view text, operator_file::Diagnostics* diagnostics,
                                 SiteBounds bounds = {});

// The configuration of proxy `me`, as ROUTER_CONFIG wants it. Addresses are "ADDRESS:PORT".
nlohmann::json ProxyConfig(const SiteSpec& site, int me, const std::string& listen,
                           const std::string& discovery);

// What a request costs, in seconds of a core of speed 1: the same for the same seed and id.
double WorkOf(const SiteClass& site_class, std::uint64_t seed, std::string_view id);

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_SITE_H_
