// SPDX-License-Identifier: Apache-2.0
//
// The control state on disk (SQLite), and the thread that writes it.
#ifndef KESTRELLINE_CONTROL_PLANE_STORE_H_
#define KESTRELLINE_CONTROL_PLANE_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>

#include "control_plane/replica.h"

struct sqlite3;

namespace kestrelline::control_plane {

enum class StoreError { kNone, kCannotOpen, kCannotWrite };
const std::error_category& StoreCategory();
std::error_code make_error_code(StoreError error);

// One file in `directory`. Every write is synced before it returns. Not thread-safe.
class Store {
 public:
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Opens or makes the file. One that is damaged is replaced by an empty one, on which Load tells that
  // something was stored before.
  static std::unique_ptr<Store> Open(const std::string& directory, std::error_code& error);

  // What was last written; nothing where its digest does not match.
  PersistentState Load();
  // All in one transaction; a null record stays as it was.
  std::error_code Write(std::uint64_t promised, std::uint64_t disk, const wire::Record* record);

 private:
  explicit Store(sqlite3* database) : database_(database) {}
  bool Execute(const char* statement);
  std::optional<std::int64_t> ReadNumber(const char* query);
  bool WriteNumber(const char* statement, std::uint64_t value);

  sqlite3* database_;
};

// Writes in order on a thread of its own, so that a slow or hung disk holds nobody else up.
class StoreThread {
 public:
  static constexpr std::size_t kMaxQueued = 64;  // more fail at once

  // `done` is called on the thread, with the ticket of each write.
  using WriteCallback = std::function<void(std::uint64_t ticket, bool written)>;
  StoreThread(std::unique_ptr<Store> store, WriteCallback done);
  ~StoreThread();

  void Write(Persist persist);

 private:
  void Run();

  std::unique_ptr<Store> store_;
  WriteCallback done_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<Persist> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace kestrelline::control_plane

template <>
struct std::is_error_code_enum<kestrelline::control_plane::StoreError> : std::true_type {};

#endif  // KESTRELLINE_CONTROL_PLANE_STORE_H_
