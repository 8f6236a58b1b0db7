// SPDX-License-Identifier: Apache-2.0
#include "lab/store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace kestrelline::lab {
namespace {

using nlohmann::json;

std::vector<std::string> MeasureNames() {
  std::vector<std::string> names;
  for (const auto& response : kResponses) names.emplace_back(response.name);
  return names;
}

std::string Exact(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.17g", value);
  return text;
}

std::string Hex(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

// One prepared statement; its parameters and columns count from 0.
class Store::Statement {
 public:
  Statement(sqlite3* db, const std::string& sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql.c_str(), -1, &statement_, nullptr) != SQLITE_OK) Throw();
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Bind(std::int64_t value) { return Checked(sqlite3_bind_int64(statement_, ++bound_, value)); }
  Statement& Bind(double value) { return Checked(sqlite3_bind_double(statement_, ++bound_, value)); }
  Statement& Bind(const std::string& text) {
    return Checked(sqlite3_bind_text(statement_, ++bound_, text.data(), static_cast<int>(text.size()),
                                     SQLITE_TRANSIENT));
  }
  bool Next() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE) Throw();
    return result == SQLITE_ROW;
  }
  std::int64_t Whole(int column) { return sqlite3_column_int64(statement_, column); }
  double Number(int column) { return sqlite3_column_double(statement_, column); }
  std::string Text(int column) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return text ? std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column))) : "";
  }

 private:
  Statement& Checked(int result) {
    if (result != SQLITE_OK) Throw();
    return *this;
  }
  [[noreturn]] void Throw() const { throw BadStore(std::string("runs.sqlite: ") + sqlite3_errmsg(db_)); }

  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

Store::Store(const std::string& folder, const std::vector<std::string>& texts) : folder_(folder) {
  std::error_code failed;
  std::filesystem::create_directories(folder, failed);
  if (failed) throw BadStore(folder + " cannot be made: " + failed.message());
  lock_ = open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock_ < 0) throw BadStore(folder + "/lock: " + std::strerror(errno));
  // Goes with the process, however it ends.
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    close(lock_);
    throw BadStore(folder + " is in use: another kestrellab writes its results there");
  }
  try {
    Open(folder, true);
    Execute("PRAGMA journal_mode = WAL; PRAGMA synchronous = NORMAL;");
    Execute("BEGIN IMMEDIATE; CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value TEXT NOT NULL);");
    const std::string form = Meta("form"), kept = Meta("texts"), ours = json(texts).dump();
    if (form.empty()) {
      std::string columns;
      for (const auto& name : MeasureNames()) columns += name + " REAL NOT NULL, ";
      Execute(
          "CREATE TABLE runs (variant INTEGER NOT NULL, day INTEGER NOT NULL, broken TEXT NOT NULL, " +
          columns +
          "requests INTEGER NOT NULL, events INTEGER NOT NULL, history TEXT NOT NULL, wall_s REAL NOT NULL, "
          "series TEXT NOT NULL, PRIMARY KEY (variant, day)) WITHOUT ROWID;");
      Statement(db_, "INSERT INTO meta VALUES ('form', ?)").Bind(std::to_string(kForm)).Next();
      Statement(db_, "INSERT INTO meta VALUES ('texts', ?)").Bind(ours).Next();
    } else if (form != std::to_string(kForm)) {
      throw BadStore(folder + " holds results of form " + form + "; this kestrellab writes form " +
                     std::to_string(kForm) + ". Give it another folder");
    } else if (kept != ours) {
      throw BadStore(folder +
                     " holds results of another experiment, or of this one before its files were changed. "
                     "Give it another folder");
    }
    Execute("COMMIT;");
  } catch (...) {
    sqlite3_close(db_);
    close(lock_);
    throw;
  }
}

Store::Store(const std::string& folder) : folder_(folder) {
  Open(folder, false);
  try {
    const std::string form = Meta("form");
    if (form != std::to_string(kForm))
      throw BadStore(folder + " holds " + (form.empty() ? "no results" : "results of form " + form) +
                     "; this kestrellab reads form " + std::to_string(kForm));
  } catch (...) {
    sqlite3_close(db_);
    throw;
  }
}

Store::~Store() {
  sqlite3_close(db_);
  if (lock_ >= 0) close(lock_);
}

void Store::Open(const std::string& folder, bool to_write) {
  const std::string path = folder + "/runs.sqlite";
  const int flags = to_write ? SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE : SQLITE_OPEN_READWRITE;
  if (sqlite3_open_v2(path.c_str(), &db_, flags, nullptr) != SQLITE_OK) {
    const std::string why = sqlite3_errmsg(db_);
    sqlite3_close(db_);
    db_ = nullptr;
    throw BadStore(path + ": " + why);
  }
  sqlite3_busy_timeout(db_, 5000);
}

void Store::Execute(const std::string& sql) const {
  char* message = nullptr;
  if (sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, &message) == SQLITE_OK) return;
  const std::string why = message ? message : "failed";
  sqlite3_free(message);
  throw BadStore(folder_ + "/runs.sqlite: " + why);
}

std::string Store::Meta(const std::string& key) const {
  Statement read(db_, "SELECT value FROM meta WHERE key = ?");
  return read.Bind(key).Next() ? read.Text(0) : "";
}

void Store::Add(const Record& r) {
  std::string marks = "?, ?, ?, ";
  for (std::size_t i = 0; i < kMeasures; ++i) marks += "?, ";
  Statement add(db_, "INSERT INTO runs VALUES (" + marks + "?, ?, ?, ?, ?)");
  add.Bind(static_cast<std::int64_t>(r.variant)).Bind(static_cast<std::int64_t>(r.day)).Bind(r.broken);
  for (const double value : r.measures) add.Bind(value);
  add.Bind(static_cast<std::int64_t>(r.requests))
      .Bind(static_cast<std::int64_t>(r.events))
      .Bind(Hex(r.history));
  add.Bind(r.wall_s);
  add.Bind(
      json{{"served", r.served_by_second}, {"p99", r.p99_by_second}, {"nines", r.latency_by_nines}}.dump());
  add.Next();
}

std::vector<Record> Store::Records() const {
  std::vector<Record> all;
  Statement read(db_, "SELECT * FROM runs ORDER BY variant, day");
  while (read.Next()) {
    Record& r = all.emplace_back();
    int column = 0;
    r.variant = static_cast<std::size_t>(read.Whole(column++));
    r.day = static_cast<std::uint64_t>(read.Whole(column++));
    r.broken = read.Text(column++);
    for (double& value : r.measures) value = read.Number(column++);
    r.requests = static_cast<std::uint64_t>(read.Whole(column++));
    r.events = static_cast<std::uint64_t>(read.Whole(column++));
    r.history = std::stoull(read.Text(column++), nullptr, 16);
    r.wall_s = read.Number(column++);
    try {
      const json series = json::parse(read.Text(column));
      series.at("served").get_to(r.served_by_second);
      series.at("p99").get_to(r.p99_by_second);
      series.at("nines").get_to(r.latency_by_nines);
    } catch (const json::exception& error) {
      throw BadStore(folder_ + "/runs.sqlite: a run's series: " + error.what());
    }
  }
  return all;
}

std::vector<std::string> Store::Texts() const {
  try {
    return json::parse(Meta("texts")).get<std::vector<std::string>>();
  } catch (const json::exception& error) {
    throw BadStore(folder_ + "/runs.sqlite: " + error.what());
  }
}

void Store::WriteCsv(const Experiment& experiment) const {
  const std::string path = folder_ + "/runs.csv", next = path + ".new";
  {
    std::ofstream out(next);
    std::vector<std::string> line{"variant", "day"};
    for (const auto& factor : experiment.factors) line.push_back(factor.name);
    line.push_back("broken");
    for (const auto& name : MeasureNames()) line.push_back(name);
    for (const char* name : {"requests", "events", "history", "wall_s"}) line.emplace_back(name);
    out << CsvLine(line);
    const auto variants = experiment.Variants();
    for (const Record& r : Records()) {
      line = {std::to_string(r.variant), std::to_string(r.day)};
      for (std::size_t f = 0; f < experiment.factors.size(); ++f)
        line.push_back(experiment.factors[f].levels[variants.at(r.variant)[f]].label);
      line.push_back(r.broken);
      for (const double value : r.measures) line.push_back(Exact(value));
      line.push_back(std::to_string(r.requests));
      line.push_back(std::to_string(r.events));
      line.push_back(Hex(r.history));
      line.push_back(Exact(r.wall_s));
      out << CsvLine(line);
    }
    if (!out.flush()) throw BadStore(next + " cannot be written");
  }
  if (std::rename(next.c_str(), path.c_str()) != 0) throw BadStore(path + ": " + std::strerror(errno));
}

std::string CsvLine(const std::vector<std::string>& values) {
  std::string line;
  for (const auto& value : values) {
    if (!line.empty() || &value != &values.front()) line += ',';
    if (value.find_first_of(",\"\r\n") == std::string::npos) {
      line += value;
      continue;
    }
    line += '"';
    for (const char c : value) line += c == '"' ? std::string("\"\"") : std::string(1, c);
    line += '"';
  }
  return line + "\r\n";
}

}  // namespace kestrelline::lab
