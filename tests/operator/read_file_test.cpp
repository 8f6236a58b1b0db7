// SPDX-License-Identifier: Apache-2.0
//
// Reading a file as a consistent snapshot, parsing and formatting of values, and suggestions for unknown
// names.
#include "operator/read_file.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "operator/values.h"
#include "support/temporary.h"

namespace kestrelline::operator_file {
namespace {

using testing::TemporaryFolder;

// The rule that the file violates; empty if it is read.
std::string RuleOf(const std::string& path) {
  Diagnostics diagnostics(path);
  const auto text = ReadFileSnapshot(path, kMaxFileBytes, &diagnostics);
  EXPECT_EQ(text.has_value(), diagnostics.ok());
  return diagnostics.ok() ? "" : diagnostics.messages().begin()->rule;
}

TEST(ReadFileSnapshot, ReadsARegularFile) {
  const TemporaryFolder folder;
  for (const std::size_t size : {std::size_t{0}, std::size_t{1}, std::size_t{4096}, kMaxFileBytes}) {
    folder.Write("f", std::string(size, 'x'));
    Diagnostics diagnostics("f");
    const auto text = ReadFileSnapshot(folder / "f", kMaxFileBytes, &diagnostics);
    ASSERT_TRUE(text) << size;
    EXPECT_EQ(text->size(), size);
  }
}

TEST(ReadFileSnapshot, RejectsAnythingButARegularFileWithoutBlocking) {
  const TemporaryFolder folder;
  EXPECT_EQ(RuleOf(folder / "absent"), "read");
  EXPECT_EQ(RuleOf(folder / "."), "read");
  ASSERT_EQ(mkfifo((folder / "fifo").c_str(), 0600), 0);
  EXPECT_EQ(RuleOf(folder / "fifo"), "read");  // a blocking open would wait for a writer
  EXPECT_EQ(RuleOf("/dev/zero"), "read");
  std::filesystem::create_symlink(folder / "loop", folder / "loop");
  EXPECT_EQ(RuleOf(folder / "loop"), "read");
}

TEST(ReadFileSnapshot, RejectsFiftyMegabytes) {
  const TemporaryFolder folder;
  folder.Write("big", "");
  std::filesystem::resize_file(folder / "big", 50'000'000);
  EXPECT_EQ(RuleOf(folder / "big"), "size");
}

// A file that is overwritten in place is read as one content or rejected, never as a mixture of two.
TEST(ReadFileSnapshot, NeverReturnsAMixtureOfTwoContents) {
  const TemporaryFolder folder;
  const std::string old_text(300'000, 'a'), new_text(200'000, 'b');
  folder.Write("f", old_text);
  std::atomic<bool> stop{false};
  std::thread writer([&] {
    for (int i = 0; !stop; ++i) {
      if (i % 2) {
        folder.Write("next", old_text);
        std::filesystem::rename(folder / "next", folder / "f");
      } else {
        folder.Write("f", new_text);  // not atomic: truncates, then writes
      }
    }
  });
  int complete = 0, rejected = 0;
  for (int i = 0; i < 2000; ++i) {
    Diagnostics diagnostics("f");
    const auto text = ReadFileSnapshot(folder / "f", kMaxFileBytes, &diagnostics);
    if (!text) {
      ++rejected;
      EXPECT_EQ(diagnostics.messages().begin()->rule, "changing");
      continue;
    }
    ++complete;
    // A truncated or partly written file can't be told from a complete one; it must be a prefix of one
    // content.
    EXPECT_EQ(text->find_first_not_of(text->empty() ? 'a' : text->front()), std::string::npos);
  }
  stop = true;
  writer.join();
  EXPECT_GT(complete, 0);
}

TEST(Values, Durations) {
  std::string why;
  for (const auto& [text, ms] :
       {std::pair{"250ms", 250.0}, {"1.5s", 1500.0}, {"2m", 120000.0}, {"1h", 3600000.0}, {"0.5ms", 0.5}})
    EXPECT_EQ(ParseDuration(text, false, &why).value_or(Milliseconds(-1)).count(), ms) << text;
  for (const char* text : {"",    "ms",     "5",     "-5ms",   "+5ms",
                           "nan", "nanms",  "infs",  "1e3ms",  "5 ms",
                           "5MS", "5us",    ".5s",   "5.s",    "1.2.3s",
                           "0ms", "0x10ms", "3601s", "1e400h", "99999999999999999999999999h"}) {
    why.clear();
    EXPECT_FALSE(ParseDuration(text, false, &why)) << text;
    EXPECT_FALSE(why.empty()) << text;
  }
  EXPECT_EQ(ParseDuration("0ms", true, &why).value_or(Milliseconds(-1)).count(), 0);
}

TEST(Values, Shares) {
  std::string why;
  EXPECT_EQ(ParsePercentage("20%", &why).value_or(-1), 0.2);
  EXPECT_EQ(ParsePercentage("0%", &why).value_or(-1), 0.0);
  EXPECT_EQ(ParsePercentage("100%", &why).value_or(-1), 1.0);
  for (const char* text : {"", "%", "20", "-1%", "100.1%", "nan%", "1e1%", "20 %", "20%%"})
    EXPECT_FALSE(ParsePercentage(text, &why)) << text;
}

TEST(Values, DurationsAreFormattedAsWritten) {
  for (const char* text : {"250ms", "1.5s", "2m", "1h", "0.5ms", "1.25m", "999ms"}) {
    std::string why;
    EXPECT_EQ(FormatDuration(*ParseDuration(text, false, &why)), text);
  }
  EXPECT_EQ(FormatDuration(Milliseconds(2000)), "2s");
  EXPECT_EQ(FormatDuration(Milliseconds(1234)), "1234ms");
}

TEST(Names, SuggestsTheNearestNameAndNoDissimilarOne) {
  EXPECT_EQ(NearestName("patiense", {"pause", "patience"}), "patience");
  EXPECT_EQ(NearestName("puase", {"pause", "patience"}), "pause");
  EXPECT_EQ(NearestName("qqqqqqqq", {"pause", "patience"}), "");
  EXPECT_EQ(NearestName(std::string(1000000, 'x'), {"pause"}), "");
}

}  // namespace
}  // namespace kestrelline::operator_file
