// SPDX-License-Identifier: Apache-2.0
//
// The table of runs: whole whenever its process dies, one writer, one experiment, one form.
#include "lab/store.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "support/temporary.h"

namespace kestrelline::lab {
namespace {

using testing::TemporaryFolder;

const std::vector<std::string> kTexts{"experiment", "site", "plan"};

Record Some(std::size_t variant, std::uint64_t day) {
  Record r;
  r.variant = variant, r.day = day;
  for (std::size_t m = 0; m < kMeasures; ++m)
    r.measures[m] = 0.1 * static_cast<double>(m + variant) + 1.0 / 3;
  r.requests = 1000 + day, r.events = 5, r.history = 0xfedcba9876543210u;
  r.broken = variant == 2 ? "none lost" : "";
  r.served_by_second = {1, 0.5, -1};
  r.p99_by_second = {12.5, 1e-9, 0};
  r.latency_by_nines = {1, 2, 3};
  return r;
}

TEST(Store, GivesBackExactlyWhatWasPutIn) {
  const TemporaryFolder folder;
  {
    Store store(folder.path(), kTexts);
    store.Add(Some(1, 7));
    store.Add(Some(0, 9));
    store.Add(Some(2, 7));
    EXPECT_THROW(store.Add(Some(1, 7)), BadStore);  // once
  }
  const Store store(folder.path());
  const auto records = store.Records();
  ASSERT_EQ(records.size(), 3u);
  EXPECT_EQ(records[0].variant, 0u);
  const Record &got = records[1], put = Some(1, 7);
  EXPECT_EQ(got.measures, put.measures);
  EXPECT_EQ(got.history, put.history);
  EXPECT_EQ(got.requests, put.requests);
  EXPECT_EQ(got.served_by_second, put.served_by_second);
  EXPECT_EQ(got.p99_by_second, put.p99_by_second);
  EXPECT_EQ(records[2].broken, "none lost");
  EXPECT_EQ(store.Texts(), kTexts);
}

std::string Refusal(const std::function<void()>& open) {
  try {
    open();
  } catch (const BadStore& error) {
    return error.what();
  }
  return "";
}

TEST(Store, OneWriterAtATime) {
  const TemporaryFolder folder;
  {
    Store first(folder.path(), kTexts);
    EXPECT_NE(Refusal([&] { Store second(folder.path(), kTexts); }).find("is in use"), std::string::npos);
    first.Add(Some(0, 1));
    EXPECT_EQ(Store(folder.path()).Records().size(), 1u);  // whoever reads keeps nobody out
  }
  Store next(folder.path(), kTexts);  // and lets go with its end
  EXPECT_EQ(next.Records().size(), 1u);
}

TEST(Store, ResultsOfAnotherExperimentOrFormAreLeftAlone) {
  const TemporaryFolder folder;
  { Store(folder.path(), kTexts).Add(Some(0, 1)); }
  EXPECT_NE(Refusal([&] {
              Store other(folder.path(), {"experiment", "site, changed", "plan"});
            }).find("results of another experiment"),
            std::string::npos);
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open((folder.path() + "/runs.sqlite").c_str(), &db), SQLITE_OK);
  ASSERT_EQ(sqlite3_exec(db, "UPDATE meta SET value = '99' WHERE key = 'form'", nullptr, nullptr, nullptr),
            SQLITE_OK);
  sqlite3_close(db);
  EXPECT_NE(Refusal([&] { Store other(folder.path(), kTexts); }).find("form 99"), std::string::npos);
  EXPECT_NE(Refusal([&] { Store other(folder.path()); }).find("form 99"), std::string::npos);
}

TEST(Store, WhatIsNoTableIsSaidToBeNone) {
  const TemporaryFolder folder;
  EXPECT_NE(Refusal([&] { Store none(folder.path()); }), "");
  std::ofstream(folder.path() + "/runs.sqlite")
      << "this is no database, whatever its name says; " << std::string(5000, 'x');
  EXPECT_NE(Refusal([&] { Store broken(folder.path(), kTexts); }), "");
  EXPECT_NE(Refusal([&] { Store broken(folder.path()); }), "");
}

TEST(Store, AProcessThatIsKilledLeavesWholeRuns) {
  const TemporaryFolder folder;
  std::size_t before = 0;
  for (int time = 0; time < 5; ++time) {
    int said[2];
    ASSERT_EQ(pipe(said), 0);
    const pid_t child = fork();
    if (child == 0) {
      close(said[0]);
      Store store(folder.path(), kTexts);
      for (std::uint64_t day = store.Records().size();; ++day) {
        store.Add(Some(1, day));
        if (write(said[1], "x", 1) != 1) _exit(1);
      }
    }
    close(said[1]);
    char byte;
    for (int i = 0; i < 20 + 7 * time; ++i) ASSERT_EQ(read(said[0], &byte, 1), 1);
    kill(child, SIGKILL);
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    close(said[0]);
    Store store(folder.path(), kTexts);  // the lock went with it
    const auto records = store.Records();
    EXPECT_GE(records.size(), before + 20 + 7 * static_cast<std::size_t>(time));
    before = records.size();
    for (const Record& r : records) {
      EXPECT_EQ(r.requests, 1000 + r.day);
      EXPECT_EQ(r.latency_by_nines.size(), 3u);
    }
  }
}

TEST(Store, CsvIsReadableByOthers) {
  EXPECT_EQ(CsvLine({"a", "", "b,c", "say \"no\"", "two\nlines"}),
            "a,,\"b,c\",\"say \"\"no\"\"\",\"two\nlines\"\r\n");
  const TemporaryFolder folder;
  operator_file::Diagnostics diagnostics("e");
  const auto experiment = ReadExperiment(
      "version = 1\n[experiment]\nname = \"e\"\nsite = \"s\"\nplan = \"p\"\n[[factor]]\nname = \"f,g\"\nof = "
      "\"plan\"\npath = "
      "\"x\"\nlevels = [1, \"a,b\", 3]\n",
      &diagnostics);
  ASSERT_TRUE(experiment);
  Store store(folder.path(), kTexts);
  store.Add(Some(1, 4));
  store.WriteCsv(*experiment);
  std::ifstream in(folder.path() + "/runs.csv");
  std::string head, line;
  std::getline(in, head);
  std::getline(in, line);
  EXPECT_TRUE(head.starts_with("variant,day,\"f,g\",broken,service,")) << head;
  EXPECT_TRUE(line.starts_with("1,4,\"a,b\",,0.4333333333333333")) << line;
}

}  // namespace
}  // namespace kestrelline::lab
