// SPDX-License-Identifier: Apache-2.0
//
// What discovery knows, as the module's own entries: what changed since a revision costs what changed, for
// any number of proxies that ask.
#ifndef KESTRELLINE_SIM_DIRECTORY_H_
#define KESTRELLINE_SIM_DIRECTORY_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "kestrelline/balancer.h"
#include "members.h"

namespace kestrelline::sim {

class Directory {
 public:
  struct Entry {
    std::string id;
    kestrelline::ServerEntry entry;
    std::uint32_t host = 0;
  };

  // The number of the entry of a new id; it is gone until it is Put.
  std::uint32_t Add(const std::string& id, std::uint32_t host, int zone, int cell) {
    kestrelline::proxy::Member member;
    member.id = id;
    numbers_.Learn({member});
    Entry e{id, {}, host};
    e.entry.server = numbers_.Of(id);
    e.entry.zone = zone, e.entry.cell = cell;
    e.entry.state = kestrelline::ServerState::kGone;
    by_server_.emplace_back(e.entry.server, static_cast<std::uint32_t>(entries_.size()));
    entries_.push_back(std::move(e));
    sorted_ = false;
    return static_cast<std::uint32_t>(entries_.size() - 1);
  }
  void Put(std::uint32_t number, const kestrelline::ServerEntry& entry) {
    entries_[number].entry = entry;
    changes_.push_back(number);
  }
  std::uint64_t revision() const { return changes_.size(); }
  const Entry& operator[](std::uint32_t number) const { return entries_[number]; }
  std::size_t size() const { return entries_.size(); }

  // Numbers of the entries that changed after `revision`, each once; all that are not gone for 0.
  std::vector<std::uint32_t> Since(std::uint64_t revision) const {
    std::vector<std::uint32_t> changed;
    if (revision == 0) {
      for (std::uint32_t n = 0; n < entries_.size(); ++n) {
        if (entries_[n].entry.state != kestrelline::ServerState::kGone) changed.push_back(n);
      }
      return changed;
    }
    changed.assign(changes_.begin() + static_cast<std::ptrdiff_t>(revision), changes_.end());
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    return changed;
  }

  std::uint32_t NumberOf(kestrelline::ServerId server) {
    if (!std::exchange(sorted_, true)) std::sort(by_server_.begin(), by_server_.end());
    return std::lower_bound(by_server_.begin(), by_server_.end(), std::pair(server, 0u))->second;
  }

 private:
  kestrelline::proxy::ServerNumbers numbers_;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> changes_;  // numbers of entries, a revision each
  std::vector<std::pair<kestrelline::ServerId, std::uint32_t>> by_server_;
  bool sorted_ = true;
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_DIRECTORY_H_
