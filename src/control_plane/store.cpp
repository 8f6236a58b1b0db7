// SPDX-License-Identifier: Apache-2.0
#include "control_plane/store.h"

#include <sqlite3.h>

#include <cstdio>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "wire/codec.h"

namespace kestrelline::control_plane {
namespace {

class StoreErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int value) const override {
    switch (static_cast<StoreError>(value)) {
      case StoreError::kNone:
        return "no error";
      case StoreError::kCannotOpen:
        return "the store cannot be opened";
      case StoreError::kCannotWrite:
        return "the store cannot be written";
    }
    return "unknown";
  }
};

constexpr const char* kFileName = "/control.db";

constexpr const char* kSchema =
    "PRAGMA locking_mode=EXCLUSIVE;"  // avoids the WAL index in shared memory
    "PRAGMA journal_mode=WAL;"
    "PRAGMA synchronous=FULL;"
    "PRAGMA cache_size=-256;"
    "PRAGMA wal_autocheckpoint=256;"
    "PRAGMA journal_size_limit=4194304;"
    "CREATE TABLE IF NOT EXISTS promise(id INTEGER PRIMARY KEY CHECK(id=1), epoch INTEGER NOT NULL);"
    "CREATE TABLE IF NOT EXISTS disk(id INTEGER PRIMARY KEY CHECK(id=1), identity INTEGER NOT NULL);"
    "CREATE TABLE IF NOT EXISTS damage(id INTEGER PRIMARY KEY CHECK(id=1), files INTEGER NOT NULL);"
    "CREATE TABLE IF NOT EXISTS record(id INTEGER PRIMARY KEY CHECK(id=1), digest INTEGER NOT NULL, body "
    "BLOB NOT NULL);";

struct FinalizeStatement {
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};
using Statement = std::unique_ptr<sqlite3_stmt, FinalizeStatement>;

Statement Prepare(sqlite3* database, const char* text) {
  sqlite3_stmt* statement = nullptr;
  sqlite3_prepare_v2(database, text, -1, &statement, nullptr);
  return Statement(statement);
}

std::int64_t DigestOf(std::string_view bytes) {
  return static_cast<std::int64_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

struct OpenResult {
  sqlite3* database = nullptr;
  int error = SQLITE_OK;
};

OpenResult OpenFile(const std::string& path) {
  OpenResult result;
  constexpr int kFlags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  result.error = sqlite3_open_v2(path.c_str(), &result.database, kFlags, nullptr);
  if (result.error == SQLITE_OK) {
    result.error = sqlite3_exec(result.database, kSchema, nullptr, nullptr, nullptr);
  }
  if (result.error == SQLITE_OK) return result;
  sqlite3_close(result.database);
  result.database = nullptr;
  return result;
}

// A full or failing disk does not count as damage: its contents must be kept.
bool IsDamage(int error) { return error == SQLITE_CORRUPT || error == SQLITE_NOTADB; }

}  // namespace

const std::error_category& StoreCategory() {
  static const StoreErrorCategory category;
  return category;
}
std::error_code make_error_code(StoreError error) { return {static_cast<int>(error), StoreCategory()}; }

std::unique_ptr<Store> Store::Open(const std::string& directory, std::error_code& error) {
  const std::string path = directory + kFileName;
  OpenResult result = OpenFile(path);
  const bool damaged = IsDamage(result.error);
  if (damaged) {
    for (const char* suffix : {"", "-wal", "-journal"}) std::remove((path + suffix).c_str());
    result = OpenFile(path);
  }
  if (result.database == nullptr) {
    error = StoreError::kCannotOpen;
    return nullptr;
  }
  error = {};
  std::unique_ptr<Store> store(new Store(result.database));
  if (damaged && !store->WriteNumber("INSERT OR REPLACE INTO damage(id, files) VALUES(1, ?)", 1)) {
    error = StoreError::kCannotWrite;
    return nullptr;
  }
  return store;
}

Store::~Store() { sqlite3_close(database_); }

bool Store::Execute(const char* statement) {
  return sqlite3_exec(database_, statement, nullptr, nullptr, nullptr) == SQLITE_OK;
}

std::optional<std::int64_t> Store::ReadNumber(const char* query) {
  const Statement statement = Prepare(database_, query);
  if (!statement || sqlite3_step(statement.get()) != SQLITE_ROW) return std::nullopt;
  return sqlite3_column_int64(statement.get(), 0);
}

bool Store::WriteNumber(const char* statement, std::uint64_t value) {
  const Statement prepared = Prepare(database_, statement);
  return prepared && sqlite3_bind_int64(prepared.get(), 1, static_cast<std::int64_t>(value)) == SQLITE_OK &&
         sqlite3_step(prepared.get()) == SQLITE_DONE;
}

PersistentState Store::Load() {
  const auto promised = ReadNumber("SELECT epoch FROM promise WHERE id=1");
  PersistentState empty;
  empty.ever_written = promised.has_value() || ReadNumber("SELECT files FROM damage WHERE id=1").has_value();
  const Statement body = Prepare(database_, "SELECT digest, body FROM record WHERE id=1");
  if (!promised || !body || sqlite3_step(body.get()) != SQLITE_ROW) return empty;
  const std::string_view bytes(static_cast<const char*>(sqlite3_column_blob(body.get(), 1)),
                               static_cast<std::size_t>(sqlite3_column_bytes(body.get(), 1)));
  if (sqlite3_column_int64(body.get(), 0) != DigestOf(bytes)) return empty;
  auto record = wire::DecodeRecord(bytes);
  if (!record) return empty;
  PersistentState stored;
  stored.ever_written = true;
  stored.promised = static_cast<std::uint64_t>(*promised);
  stored.disk = static_cast<std::uint64_t>(ReadNumber("SELECT identity FROM disk WHERE id=1").value_or(0));
  stored.record = std::make_shared<const wire::Record>(std::move(*record));
  return stored;
}

std::error_code Store::Write(std::uint64_t promised, std::uint64_t disk, const wire::Record* record) {
  if (!Execute("BEGIN IMMEDIATE")) return StoreError::kCannotWrite;
  bool succeeded = WriteNumber("INSERT OR REPLACE INTO promise(id, epoch) VALUES(1, ?)", promised) &&
                   WriteNumber("INSERT OR REPLACE INTO disk(id, identity) VALUES(1, ?)", disk);
  if (succeeded && record != nullptr) {
    const std::string bytes = wire::EncodeRecord(*record);
    const Statement body =
        Prepare(database_, "INSERT OR REPLACE INTO record(id, digest, body) VALUES(1, ?, ?)");
    succeeded = body && sqlite3_bind_int64(body.get(), 1, DigestOf(bytes)) == SQLITE_OK &&
                sqlite3_bind_blob(body.get(), 2, bytes.data(), static_cast<int>(bytes.size()),
                                  SQLITE_STATIC) == SQLITE_OK &&
                sqlite3_step(body.get()) == SQLITE_DONE;
  }
  if (succeeded && Execute("COMMIT")) return {};
  Execute("ROLLBACK");
  return StoreError::kCannotWrite;
}

StoreThread::StoreThread(std::unique_ptr<Store> store, WriteCallback done)
    : store_(std::move(store)), done_(std::move(done)), thread_([this] { Run(); }) {}

StoreThread::~StoreThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_one();
  thread_.join();
}

void StoreThread::Write(Persist persist) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() < kMaxQueued) {
      queue_.push_back(std::move(persist));
      queue_changed_.notify_one();
      return;
    }
  }
  done_(persist.ticket, false);
}

void StoreThread::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    queue_changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (queue_.empty()) return;
    const Persist persist = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    const bool written = store_ && !store_->Write(persist.promised, persist.disk, persist.record.get());
    done_(persist.ticket, written);
    lock.lock();
  }
}

}  // namespace kestrelline::control_plane
