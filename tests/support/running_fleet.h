// SPDX-License-Identifier: Apache-2.0
//
// A stand-in site, its event loop on a thread of its own, and what it has told.
#ifndef KESTRELLINE_TESTS_SUPPORT_RUNNING_FLEET_H_
#define KESTRELLINE_TESTS_SUPPORT_RUNNING_FLEET_H_

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/fleet.h"
#include "support/client.h"
#include "support/small_site.h"
#include "support/sockets.h"

namespace kestrelline::testing {

using namespace kestrelline::testing;
using load::Event;

class RunningFleet {
 public:
  explicit RunningFleet(standin::SiteSpec site = SmallSite(), std::string program = "",
                        std::string directory = "")
      : io_(1) {
    standin::Fleet::Options options;
    options.program = std::move(program), options.directory = std::move(directory);
    options.on_event = [this](const Event& event) { events.Do([&](auto& all) { all.push_back(event); }); };
    fleet_ = std::make_unique<standin::Fleet>(io_, std::move(site), std::move(options));
    std::promise<void> ready;
    fleet_->Start([&] { ready.set_value(); });
    thread_ = std::thread([this] { io_.run(); });
    if (ready.get_future().wait_for(kGiveUp) != std::future_status::ready) ADD_FAILURE() << "not ready";
  }
  ~RunningFleet() {
    std::promise<void> stopped;
    asio::post(io_, [&] { fleet_->Stop([&] { fleet_.reset(), io_.stop(), stopped.set_value(); }); });
    stopped.get_future().wait();
    thread_.join();
  }

  template <typename F>
  auto Ask(F f) {
    std::promise<decltype(f(*fleet_))> answer;
    asio::post(io_, [&] { answer.set_value(f(*fleet_)); });
    return answer.get_future().get();
  }
  void Apply(const std::string& command) {
    std::string why;
    const auto fault = standin::ParseCommand(command, &why);
    ASSERT_TRUE(fault) << why;
    EXPECT_EQ(Ask([&](standin::Fleet& f) { return f.Apply(*fault); }), "");
  }
  // Where proxy 0 finds a converter.
  Tcp::endpoint At(const std::string& id) {
    return EndpointOf(Ask([&](standin::Fleet& f) {
      const auto* member = f.membership().Find(id);
      return member ? member->addresses.at(0) : std::string();
    }));
  }
  Tcp::endpoint Discovery(std::size_t proxy = 0) {
    return EndpointOf(Ask([&](standin::Fleet& f) { return f.discovery_address(proxy); }));
  }
  static Tcp::endpoint EndpointOf(const std::string& text) {
    const auto colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
  }
  bool WaitFor(Event::Kind kind, const std::string& subject, std::size_t times = 1, int number = -1) {
    return events.WaitFor([&](const std::vector<Event>& all) {
      return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const Event& e) {
               return e.kind == kind && e.subject == subject && (number < 0 || e.number == number);
             })) >= times;
    });
  }

  Watched<std::vector<Event>> events;

 private:
  asio::io_context io_;
  std::unique_ptr<standin::Fleet> fleet_;
  std::thread thread_;
};

inline bool Connects(const Tcp::endpoint& address) {
  asio::io_context io;
  Tcp::socket socket(io);
  error_code failed;
  socket.connect(address, failed);
  return !failed;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_RUNNING_FLEET_H_
