// SPDX-License-Identifier: Apache-2.0
//
// A stand-in site for measurements, its event loop on a thread of its own.
#ifndef KESTRELLINE_BENCH_RUNNING_SITE_H_
#define KESTRELLINE_BENCH_RUNNING_SITE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "standin/fleet.h"
#include "support/small_site.h"

namespace kestrelline::bench {

// Converters that work for a microsecond. Answers as large and requests as slow to give up as were measured
// before: figures compare.
inline standin::SiteSpec QuickSite(int converters) {
  standin::SiteSpec site = testing::SmallSite(converters);
  for (auto& c : site.classes) c.work_s = 1e-6, c.answer_bytes = 200, c.deadline = testing::Ms(5000);
  for (auto& c : site.converters) c.cell = 0, c.cores = 8;
  return site;
}

class RunningSite {
 public:
  explicit RunningSite(standin::SiteSpec spec, standin::Fleet::Options options = {})
      : io_(1), fleet_(std::make_unique<standin::Fleet>(io_, std::move(spec), std::move(options))) {
    std::promise<void> ready;
    fleet_->Start([&] { ready.set_value(); });
    thread_ = std::thread([this] {
      const auto work = boost::asio::make_work_guard(io_);
      io_.run();
    });
    ready.get_future().wait();
  }
  ~RunningSite() {
    boost::asio::post(io_, [this] { fleet_->Stop([this] { fleet_.reset(), io_.stop(); }); });
    thread_.join();
  }
  RunningSite(const RunningSite&) = delete;
  RunningSite& operator=(const RunningSite&) = delete;

  // What its thread does not change once it is ready: addresses, processes, the specification.
  const standin::Fleet& fleet() const { return *fleet_; }
  // A command of the fleet's, which must be right.
  void Apply(const std::string& command) {
    std::promise<std::string> said;
    boost::asio::post(io_, [&] {
      std::string why;
      const auto fault = standin::ParseCommand(command, &why);
      said.set_value(fault ? fleet_->Apply(*fault) : why);
    });
    if (const std::string why = said.get_future().get(); !why.empty()) throw std::runtime_error(why);
  }
  standin::Switchboard& network() { return fleet_->network(); }

 private:
  boost::asio::io_context io_;
  std::unique_ptr<standin::Fleet> fleet_;
  std::thread thread_;
};

}  // namespace kestrelline::bench

#endif  // KESTRELLINE_BENCH_RUNNING_SITE_H_
