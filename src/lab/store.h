// SPDX-License-Identifier: Apache-2.0
//
// The table of an experiment's runs in a folder: `runs.sqlite`, and `runs.csv` beside it for whoever likes
// that better. A run is in it whole or not at all, whenever the process dies; what is in it is not played
// again.
//
// A folder belongs to one experiment, and to one process at a time.
#ifndef KESTRELLINE_LAB_STORE_H_
#define KESTRELLINE_LAB_STORE_H_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/record.h"

struct sqlite3;

namespace kestrelline::lab {

class BadStore : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Store {
 public:
  static constexpr int kForm = 1;  // of the tables; another is refused, never converted in silence

  // Makes the folder and the table where there are none. `texts` are those of the experiment, its site and
  // its plan: a folder that holds results of other ones is refused, as is one that a process holds for
  // writing. Throws BadStore.
  Store(const std::string& folder, const std::vector<std::string>& texts);
  // What is there, for reports: no process is kept out.
  explicit Store(const std::string& folder);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  void Add(const Record& record);       // once for each variant and day; a second one throws
  std::vector<Record> Records() const;  // by variant and day
  std::vector<std::string> Texts() const;

  // Replaced as a whole.
  void WriteCsv(const Experiment& experiment) const;

 private:
  class Statement;
  void Open(const std::string& folder, bool to_write);
  void Execute(const std::string& sql) const;
  std::string Meta(const std::string& key) const;

  std::string folder_;
  sqlite3* db_ = nullptr;
  int lock_ = -1;
};

// The values of one line of CSV, as RFC 4180 has them.
std::string CsvLine(const std::vector<std::string>& values);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_STORE_H_
