// SPDX-License-Identifier: Apache-2.0
//
// Changes of the settings file while the process runs, with a signal and without one.
#include "node/settings_watcher.h"

#include <gtest/gtest.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "support/temporary.h"

namespace kestrelline::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kGiveUp{10000};
constexpr char kFile[] = "local.toml";

std::string WithSeeds(const std::string& seeds) {
  return "node_name = \"edge-1\"\nip = \"10.1.0.13\"\nzone = \"a\"\nephemeral_ports = [7720,7735]\nseeds = "
         "[" +
         seeds + "]\n[listen]\nfront = \"10.1.0.13:8161\"\n[bounds]\ngrace_s = 8\n" +
         "[cloud]\naddress = \"10.200.0.79:8169\"\nrate_per_s = 47.0\n";
}

class SettingsWatcherTest : public ::testing::Test {
 protected:
  SettingsWatcherTest() {
    folder_.Write(kFile, first_);
    watcher_.Start();
  }

  // Runs until so many changes were reported; false if they are not within kGiveUp.
  bool RunUntilChanges(std::size_t count) {
    const auto until = steady_clock::now() + kGiveUp;
    while (seeds_.size() < count && steady_clock::now() < until) RunFor(milliseconds(10));
    return seeds_.size() == count;
  }
  void RunFor(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  // Has the file checked, and runs until that is done.
  void SignalAndRun() {
    raise(SIGHUP);
    RunFor(milliseconds(50));
  }

  const std::string first_ = WithSeeds("\"10.1.0.16:8166\"");
  testing::TemporaryFolder folder_;
  boost::asio::io_context io_;
  std::vector<std::string> seeds_;  // the first seed of each change
  SettingsWatcher watcher_{io_, folder_ / kFile, first_,
                           [this](const Settings& settings) { seeds_.push_back(settings.seeds.front().ip); }};
};

// Guards against a process that goes on asking the seeds of its start (review/5).
TEST_F(SettingsWatcherTest, AChangeWithoutASignalIsNoticed) {
  ASSERT_TRUE(ParseSettings(first_, kFile).settings) << ParseSettings(first_, kFile).error;
  folder_.Write(kFile, WithSeeds("\"10.1.0.17:8166\""));
  ASSERT_TRUE(RunUntilChanges(1));
  EXPECT_EQ(seeds_[0], "10.1.0.17");
}

TEST_F(SettingsWatcherTest, EverySignalHasTheFileChecked) {
  for (std::size_t change = 1; change <= 3; ++change) {
    const std::string seed = "10.1.0." + std::to_string(20 + change);
    folder_.Replace(kFile, WithSeeds("\"" + seed + ":8166\""));
    raise(SIGHUP);
    ASSERT_TRUE(RunUntilChanges(change));
    EXPECT_EQ(seeds_.back(), seed);
  }
  SignalAndRun();  // the file has not changed
  EXPECT_EQ(seeds_.size(), 3u);
}

// A file that cannot be used changes nothing, and the next one that can be used is taken over.
TEST_F(SettingsWatcherTest, AFileThatCannotBeUsedIsIgnored) {
  folder_.Write(kFile, "seeds = [\"10.1.");
  SignalAndRun();
  folder_.Write(kFile, WithSeeds(""));
  SignalAndRun();
  std::filesystem::remove(folder_ / kFile);
  SignalAndRun();
  EXPECT_TRUE(seeds_.empty());
  folder_.Write(kFile, WithSeeds("\"10.1.0.17:8166\""));
  ASSERT_TRUE(RunUntilChanges(1));
  EXPECT_EQ(seeds_[0], "10.1.0.17");
}

}  // namespace
}  // namespace kestrelline::node
