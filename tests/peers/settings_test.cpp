// SPDX-License-Identifier: Apache-2.0
//
// The [peers] section of the operator's file: accepted sections, and the line and text of errors.
#include "peers/settings.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include "support/temporary.h"

namespace kestrelline::peers {
namespace {

class PeersSettings : public ::testing::Test {
 protected:
  PeersSettings() {
    for (const auto& [name, mode] : {std::pair{"key", 0600}, {"open", 0644}}) {
      folder_.Write(name, "1 00112233445566778899aabbccddeeff\n");
      ::chmod((folder_ / name).c_str(), static_cast<mode_t>(mode));
    }
  }
  std::optional<Settings> Read(const std::string& section, std::optional<bool> allowed = std::nullopt) {
    operator_file::Diagnostics diagnostics("f.toml");
    Spec spec;
    const std::vector<operator_file::Section> sections{PeersSection(&spec)};
    operator_file::ReadDocument("version = 1\n" + section, sections, &diagnostics);
    const auto settings = Build(spec, {allowed, "n0", folder_.path()}, &diagnostics);
    diagnostics_text_.clear();
    for (const auto& line : diagnostics.Lines()) diagnostics_text_ += line + "\n";
    return settings;
  }
  testing::TemporaryFolder folder_;
  std::string diagnostics_text_;
};

const std::string kValid =
    "[peers]\nlisten = \"127.0.0.1:7001\"\nseeds = [\"127.0.0.1:7002\", \"127.0.0.1:7001\"]\nkey_file = "
    "\"key\"\n";

TEST_F(PeersSettings, AcceptsAMinimalSection) {
  const auto settings = Read(kValid);
  ASSERT_TRUE(settings) << diagnostics_text_;
  EXPECT_EQ(settings->listen.Text(), "127.0.0.1:7001");
  EXPECT_EQ(settings->advertise, settings->listen);
  EXPECT_EQ(settings->seeds.size(), 2u);
  EXPECT_TRUE(Read(kValid, true));
  EXPECT_FALSE(Read("", false));
  EXPECT_EQ(diagnostics_text_, "");  // without a section there is nothing to report
}

TEST_F(PeersSettings, ErrorsNameTheLine) {
  struct Case {
    std::string section, expected_text;
    std::optional<bool> allowed = std::nullopt;
  };
  const std::string head = "[peers]\nlisten = \"127.0.0.1:7001\"\nseeds = [\"127.0.0.1:7002\"]\n";
  for (const auto& [section, expected_text, allowed] : {
           Case{kValid, "f.toml:2:1: [peers-off]", false},
           Case{head, "key_file"},
           Case{head + "key_file = \"none\"\n", "f.toml:5:12: [peers-key] none: No such file"},
           Case{head + "key_file = \"open\"\n", "f.toml:5:12: [peers-key] open: others than its owner"},
           Case{"[peers]\nlisten = \"localhost:7001\"\nseeds = [\"a\"]\nkey_file = \"key\"\n",
                "f.toml:3:10: [peers-address] 'localhost:7001' is no IPv4 address"},
           Case{"[peers]\nlisten = \"localhost:7001\"\nseeds = [\"a\"]\nkey_file = \"key\"\n",
                "f.toml:4:10: [peers-address] 'a' is no IPv4 address"},
           Case{"[peers]\nlisten = \"0.0.0.0:7001\"\nseeds = [\"127.0.0.1:1\"]\nkey_file = \"key\"\n",
                "f.toml:3:10: [peers-address] others cannot write to 0.0.0.0"},
           Case{"[peers]\nlisten = \"127.0.0.1:7001\"\nseeds = []\nkey_file = \"key\"\n", "[peers-seeds]"},
           Case{kValid + "probe_every = \"1ms\"\n", "f.toml:6:15: [range]"},
           Case{kValid + "probe_every = \"1s\"\n", "f.toml:6:15: [peers-times] with a probe every 1s"},
           Case{kValid + "detect_within = \"500ms\"\n", "f.toml:6:17: [peers-times]"},
           Case{kValid + "forget_after = \"10s\"\ndetect_within = \"8s\"\n", "f.toml:6:16: [peers-times]"},
           Case{kValid + "wire = 3\n", "f.toml:6:8"},
           Case{kValid + "sedes = 3\n", "did you mean 'seeds'"},
       }) {
    EXPECT_FALSE(Read(section, allowed)) << section;
    EXPECT_NE(diagnostics_text_.find(expected_text), std::string::npos) << section << diagnostics_text_;
  }
}

// Slower probes are accepted together with a detect_within that they can meet.
TEST_F(PeersSettings, TimesScaleWithTheProbeInterval) {
  const auto settings = Read(kValid + "probe_every = \"400ms\"\ndetect_within = \"6s\"\n");
  ASSERT_TRUE(settings) << diagnostics_text_;
  EXPECT_EQ(settings->times.period, std::chrono::milliseconds(400));
  EXPECT_EQ(settings->times.min_suspicion, 2 * Times().min_suspicion);
  EXPECT_LE(Times().DetectionTime(16), std::chrono::seconds(3));
}

}  // namespace
}  // namespace kestrelline::peers
