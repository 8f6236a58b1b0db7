// SPDX-License-Identifier: Apache-2.0
//
// Where everything of a soak run listens on loopback, and what its files and configurations say.
#ifndef KESTRELLINE_FLEET_SOAK_SITE_H_
#define KESTRELLINE_FLEET_SOAK_SITE_H_

#include <cstdint>
#include <string>

#include "fleet_soak/ledger.h"
#include "fleet_soak/plan.h"
#include "node/settings.h"

namespace kestrelline::fleet_soak {

class Site {
 public:
  // `number` tells the loopback addresses of one run from those of another one on the same machine.
  Site(Sizes sizes, Rules rules, int number);

  node::Endpoint Control(int core) const { return {Ip(kFirstCore + core), kControl}; }
  node::Endpoint ControlRelay(int core) const { return {Ip(kFirstCore + core), kRelay}; }
  node::Endpoint Front(int edge) const { return {Ip(kFirstEdge + edge), kFront}; }
  node::Endpoint Gateway(int edge) const { return {Ip(kFirstEdge + edge), kControl}; }
  node::Endpoint GatewayRelay(int edge) const { return {Ip(kFirstEdge + edge), kGatewayRelay}; }
  node::Endpoint FrontRelay(int edge) const { return {Ip(kFirstEdge + edge), kRelay}; }
  node::Endpoint Ready(int edge) const { return {Ip(kFirstEdge + edge), kReady}; }
  node::Endpoint Backend(int backend) const { return {Ip(kFirstBackend + backend), kBackend}; }
  node::Endpoint Platform() const { return {Ip(kPlatformHost), kPlatform}; }

  std::string CoreSettings(int core, bool bootstrap, const std::string& data) const;
  std::string EdgeSettings(int edge) const;
  // Of the control process beside that proxy.
  std::string GatewaySettings(int edge) const;
  // A configuration whose text differs by `salt`. It has a route of its own: PathOfVersion.
  std::string Configuration(std::uint64_t version, int salt) const;
  static std::string PathOfVersion(std::uint64_t version) {
    return "/version-" + std::to_string(version) + "/";
  }

 private:
  static constexpr int kFirstCore = 1, kFirstEdge = 20, kFirstBackend = 100, kPlatformHost = 200;
  static constexpr std::uint16_t kControl = 7101, kFront = 7102, kReady = 7103, kPlatform = 7104,
                                 kBackend = 8000, kRelay = 7105, kGatewayRelay = 7106, kInternal = 7110;
  std::string Ip(int host) const { return network_ + std::to_string(host); }
  std::string CommonSettings(const std::string& name, const std::string& ip, bool bootstrap) const;
  std::string RestOfSettings() const;

  Sizes sizes_;
  Rules rules_;
  std::string network_;
};

// A route of the configurations, for requests of that kind.
const char* PathOf(Kind kind);

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_SITE_H_
