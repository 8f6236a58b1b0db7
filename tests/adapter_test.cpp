// SPDX-License-Identifier: Apache-2.0
//
// Tests of the adapter process: reply frames, exit codes and warnings.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "hex.h"
#include "sample_settings.h"

namespace kestrelline {
namespace {

using testing::Hex;

struct ProcessRun {
  int exit_code = -1;
  std::string out, err;
};

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

ProcessRun Adapter(const std::string& input) {
  std::string base = ::testing::TempDir() + "brackenspoke_adapter_XXXXXX";
  if (mkdtemp(base.data()) == nullptr) return {};
  std::ofstream(base + "/in", std::ios::binary) << input;
  const std::string command =
      std::string(ADAPTER_PATH) + " <" + base + "/in >" + base + "/out 2>" + base + "/err";
  const int status = std::system(command.c_str());
  ProcessRun run;
  run.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  run.out = ReadFile(base + "/out");
  run.err = ReadFile(base + "/err");
  for (const char* name : {"/in", "/out", "/err"}) unlink((base + name).c_str());
  rmdir(base.c_str());
  return run;
}

std::string U32(std::size_t value) {
  std::string bytes;
  for (int i = 0; i < 4; ++i) bytes += static_cast<char>(value >> (8 * i));
  return bytes;
}
std::string Frame(std::size_t count, const std::string& records) {
  return Hex("00000000206ec040") + U32(records.size() + 4) + U32(count) + records;
}
std::string CreateRecord(const std::string& config) {
  return Hex("10") + U32(16 + config.size()) + Hex("03000000 0100000000000000") + U32(config.size()) + config;
}
long Lines(const std::string& text) { return std::count(text.begin(), text.end(), '\n'); }

TEST(Adapter, EndOfInputBetweenFramesIsNormal) {
  EXPECT_EQ(Adapter("").exit_code, 0);
  const ProcessRun run = Adapter(Frame(0, ""));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(run.out, Hex("00000000"));
  EXPECT_EQ(run.err, "");
}

TEST(Adapter, MalformedInputPrintsOneLineAndFails) {
  for (const std::string& input :
       {Hex("0000"), Hex("0000000000000000 ffffffff 00000000"), Frame(1, Hex("19 ff000000 03000000")),
        Frame(1, Hex("12 04000000 03000000"))}) {
    const ProcessRun run = Adapter(input);
    EXPECT_NE(run.exit_code, 0);
    EXPECT_EQ(Lines(run.err), 1) << run.err;
  }
}

TEST(Adapter, UnknownCodesAreReportedOnce) {
  const ProcessRun run = Adapter(Frame(2, Hex("63 02000000 ffff 63 00000000")));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(Lines(run.err), 1) << run.err;
}

TEST(Adapter, EventsForAnInstanceThatIsNotLiveAreIgnored) {
  const ProcessRun run = Adapter(Frame(1, Hex("16 0c000000 09000000 4d00000000000000")));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_EQ(run.out, Hex("00000000"));
  EXPECT_NE(run.err.find('9'), std::string::npos);
}

TEST(Adapter, BadSettingsGiveInternalErrorNamingTheKey) {
  const ProcessRun run = Adapter(Frame(1, CreateRecord("balancers=minus one\n")));
  EXPECT_EQ(run.exit_code, 0);
  ASSERT_GT(run.out.size(), 5u);
  EXPECT_EQ(run.out[4], 0x15);
  EXPECT_NE(run.out.find("balancers"), std::string::npos);
}

TEST(Adapter, ServesARequest) {
  const std::string list =
      Hex("11 24000000 03000000 02 01000000 01000000"
          "074a1203 0000 0000 0000 01 0000803f 0000000000000000");
  const std::string submit =
      Hex("12 2a000000 03000000 c4913a5dc9090800 0000000020e6c040 0000 0100"
          "640ad2557c3bf091 0000 0000000000002840");
  const ProcessRun run = Adapter(Frame(3, CreateRecord(testing::kSampleSettings) + list + submit));
  EXPECT_EQ(run.exit_code, 0) << run.err;
  EXPECT_NE(run.out.find(Hex("1b 18000000 03000000 c4913a5dc9090800")), std::string::npos);
  EXPECT_NE(run.out.find(Hex("12 05000000 03000000 01")), std::string::npos)
      << "subscribes to the list if required";
}

TEST(Adapter, ACrashedInstanceIsRemoved) {
  const ProcessRun run =
      Adapter(Frame(3, CreateRecord(testing::kSampleSettings) + Hex("19 04000000 03000000") +
                           Hex("16 0c000000 03000000 4d00000000000000")));
  EXPECT_EQ(run.exit_code, 0);
  EXPECT_NE(run.err, "");
}

}  // namespace
}  // namespace kestrelline
