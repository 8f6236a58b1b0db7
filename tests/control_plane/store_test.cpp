// SPDX-License-Identifier: Apache-2.0
//
// The state on disk: reading back what was written, damaged and missing files, and the writer thread.
#include "control_plane/store.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>

namespace kestrelline::control_plane {
namespace {

wire::Record RecordOf(std::uint64_t sequence, std::string text) {
  wire::Record record;
  record.position = {1, sequence};
  record.members = {"10.0.0.1"};
  record.configuration = std::move(text);
  return record;
}

class StoreTest : public ::testing::Test {
 protected:
  StoreTest()
      : directory_(std::filesystem::temp_directory_path() /
                   ("kestrelline-store-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
  }
  ~StoreTest() override { std::filesystem::remove_all(directory_); }
  std::unique_ptr<Store> Open() {
    std::error_code error;
    auto store = Store::Open(directory_.string(), error);
    EXPECT_FALSE(error) << error.message();
    return store;
  }
  const std::filesystem::path directory_;
};

TEST_F(StoreTest, ANewStoreIsEmpty) {
  const PersistentState stored = Open()->Load();
  EXPECT_EQ(stored.promised, 0u);
  EXPECT_EQ(stored.record, nullptr);
}

TEST_F(StoreTest, StateSurvivesReopening) {
  {
    auto store = Open();
    const auto record = RecordOf(1, std::string(200000, 'x'));
    ASSERT_FALSE(store->Write(3, 0, &record));
    ASSERT_FALSE(store->Write(4, 0, nullptr));
  }
  const PersistentState stored = Open()->Load();
  EXPECT_EQ(stored.promised, 4u);
  ASSERT_TRUE(stored.record);
  EXPECT_EQ(stored.record->configuration.size(), 200000u);
}

TEST_F(StoreTest, APromiseWithoutARecordCountsAsEmpty) {
  ASSERT_FALSE(Open()->Write(3, 0, nullptr));
  EXPECT_EQ(Open()->Load().promised, 0u);
}

TEST_F(StoreTest, AFileThatIsNotADatabaseIsReplacedByAnEmptyStore) {
  std::ofstream(directory_ / "control.db") << std::string(8192, 'z');
  auto store = Open();
  ASSERT_TRUE(store);
  EXPECT_EQ(store->Load().record, nullptr);
  const auto record = RecordOf(1, "text");
  EXPECT_FALSE(store->Write(1, 0, &record));
}

TEST_F(StoreTest, AMissingDirectoryIsAnErrorAndIsNotCreated) {
  std::error_code error;
  EXPECT_EQ(Store::Open((directory_ / "nowhere").string(), error), nullptr);
  EXPECT_EQ(error, StoreError::kCannotOpen);
}

TEST_F(StoreTest, TheThreadWritesInOrderAndReportsEachWrite) {
  std::promise<void> done;
  std::vector<std::uint64_t> tickets;
  {
    StoreThread thread(Open(), [&](std::uint64_t ticket, bool written) {
      EXPECT_TRUE(written);
      tickets.push_back(ticket);
      if (ticket == 3) done.set_value();
    });
    for (std::uint64_t i = 1; i <= 3; ++i) {
      thread.Write({i, i, 0, std::make_shared<const wire::Record>(RecordOf(i, std::to_string(i)))});
    }
    done.get_future().wait();
  }
  EXPECT_EQ(tickets, (std::vector<std::uint64_t>{1, 2, 3}));
  EXPECT_EQ(Open()->Load().record->configuration, "3");
}

TEST_F(StoreTest, WithoutAStoreEveryWriteFails) {
  std::promise<bool> reported;
  StoreThread thread(nullptr, [&](std::uint64_t, bool written) { reported.set_value(written); });
  thread.Write({1, 1, 0, nullptr});
  EXPECT_FALSE(reported.get_future().get());
}

}  // namespace
}  // namespace kestrelline::control_plane
