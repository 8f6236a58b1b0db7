// SPDX-License-Identifier: Apache-2.0
//
// Persistent storage of the control state in SQLite, and the thread that writes it.
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

// A database file in one directory. Writes are synced before they return. Not thread-safe.
class Store {
 public:
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Opens the file or creates it. A damaged file is replaced by an empty one, for which Load reports
  // `ever_written`. Returns null and sets `error` on failure.
  static std::unique_ptr<Store> Open(const std::string& directory, std::error_code& error);

  // The state last written; an empty state if its digest does not match.
  PersistentState Load();
  // Writes everything in one transaction. With a null `record` the stored one stays.
  std::error_code Write(std::uint64_t promised, std::uint64_t disk, const wire::Record* record);

 private:
  explicit Store(sqlite3* database) : database_(database) {}
  bool Execute(const char* statement);
  std::optional<std::int64_t> ReadNumber(const char* query);
  bool WriteNumber(const char* statement, std::uint64_t value);

  sqlite3* database_;
};

// Performs writes in order on its own thread, so that a slow or hung disk does not block the event loop.
class StoreThread {
 public:
  static constexpr std::size_t kMaxQueued = 64;  // further writes fail immediately

  // Called with the ticket of each write on the writer thread, or within Write if the queue is full. `store`
  // may be null; then every write fails.
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
