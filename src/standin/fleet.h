// SPDX-License-Identifier: Apache-2.0
//
// A whole stand-in site: converters, discovery, proxies as processes where a program is named, and the faults
// that meet them. Everything that the ledger needs to know of it is told as events.
#ifndef KESTRELLINE_STANDIN_FLEET_H_
#define KESTRELLINE_STANDIN_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "standin/converter.h"
#include "standin/discovery.h"
#include "standin/membership.h"
#include "standin/proxy_process.h"
#include "standin/site.h"
#include "standin/switchboard.h"

namespace kestrelline::standin {

class Fleet {
 public:
  struct Options {
    std::string program;    // of the proxies; empty: they are somebody else's
    std::string directory;  // for their configurations and logs; must exist if there is a program
    load::OnEvent on_event;
    std::function<void(const std::string&)> on_log;  // a line for each fault and each end of a proxy
  };

  Fleet(boost::asio::io_context& io, SiteSpec site, Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // `ready`: every proxy has said that it is.
  void Start(std::function<void()> ready);
  // The faults of the site, their times counted from now.
  void PlaySchedule();
  // One fault now. Empty, or why it cannot be.
  std::string Apply(const Fault& fault);
  // No more faults; proxies end as at a planned stop, and are killed if that takes too long.
  void Stop(std::function<void()> done);

  const SiteSpec& site() const { return site_; }
  std::string discovery_address(std::size_t proxy) const { return discovery_.address(proxy).text(); }
  std::vector<std::string> proxy_addresses() const;  // empty without a program
  const Membership& membership() const { return membership_; }
  const std::vector<std::unique_ptr<Converter>>& converters() const { return converters_; }
  // Of a site with peers: a proxy's door, its process, and the network between them.
  std::string door_address(std::size_t proxy) const { return proxies_[proxy].door->text(); }
  const ProxyProcess& process(std::size_t proxy) const { return *proxies_[proxy].process; }
  bool has_network() const { return network_ != nullptr; }  // its proxies are peers
  Switchboard& network() { return *network_; }
  // The operator's file that a proxy starts with from its next start on.
  std::string operator_file(std::size_t proxy) const;
  std::size_t crashes() const { return crashes_; }  // proxies that ended though nobody had asked them to

 private:
  struct Proxy {
    std::unique_ptr<ProxyProcess> process;
    bool meant = false;    // its end is
    bool killed = false;   // by a fault
    Microseconds back{0};  // when it is to start anew; 0: not
    std::function<void()> ended;
    std::unique_ptr<HeldAddress> door;  // where there are peers
  };

  void Log(const std::string& text);
  void Tell(load::Event::Kind kind, const std::string& proxy);
  void After(Microseconds pause, std::function<void()> then);
  void List(std::size_t converter, load::Listed state, double up_since_unix_ms);
  void ApplyTo(std::size_t converter, const Fault& fault);
  void ApplyTo(Proxy& proxy, const Fault& fault);
  void ApplyTo(std::pair<int, int> link, const Fault& fault);
  void WritePeers(int proxy);
  void Leave(std::size_t converter);
  void Bring(std::size_t converter, const std::string& id);
  void StartProxy(Proxy& proxy, std::function<void()> ready);
  void AwaitChildren();
  void Reap();

  boost::asio::io_context& io_;
  SiteSpec site_;
  Options options_;
  std::vector<std::vector<std::unique_ptr<HeldAddress>>> addresses_;  // by converter, by proxy
  Floor floor_;
  Membership membership_;
  Discovery discovery_;
  std::vector<std::unique_ptr<Converter>> converters_;
  std::vector<Proxy> proxies_;
  std::unique_ptr<Switchboard> network_;  // null where there are no peers
  boost::asio::signal_set children_;
  std::chrono::steady_clock::time_point start_{};
  std::unordered_map<std::uint64_t, std::shared_ptr<boost::asio::steady_timer>> timers_;
  std::uint64_t last_timer_ = 0;
  std::size_t replaced_ = 0, crashes_ = 0;
  bool stopping_ = false;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_FLEET_H_
