// SPDX-License-Identifier: Apache-2.0
//
// The list that discovery serves: members, revisions, what has changed since one. No I/O, no clock.
#ifndef KESTRELLINE_STANDIN_MEMBERSHIP_H_
#define KESTRELLINE_STANDIN_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load/ledger.h"

namespace kestrelline::standin {

struct ListedMember {
  std::string id, zone, kind;
  int cell = 0;
  load::Listed state = load::Listed::kReady;
  double up_since_unix_ms = 0;         // 0: long ago
  std::vector<std::string> addresses;  // by proxy
};

// One message of discovery: its line of JSON, and what it tells.
struct ListMessage {
  std::uint64_t revision = 0;
  bool complete = false;
  std::string line;  // without a newline
  std::vector<std::pair<std::string, load::Listed>> tells;
};

class Membership {
 public:
  // Members that have gone are remembered, so that watches hear of it: the last of these. A watch from before
  // the first that was forgotten gets the whole list.
  static constexpr std::size_t kMostGone = 1000;

  // Adds or changes one; kGone ends it.
  void Put(const ListedMember& member);
  std::uint64_t revision() const { return revision_; }
  const ListedMember* Find(const std::string& id) const;

  // As proxy number `proxy` is told it.
  ListMessage Whole(std::size_t proxy) const;
  // What has changed after `revision`; the whole list if that is not known any more, or is none of ours.
  ListMessage Since(std::uint64_t revision, std::size_t proxy) const;

 private:
  struct Entry {
    ListedMember member;
    std::uint64_t changed = 0;
  };
  ListMessage Message(bool complete, std::size_t proxy, std::uint64_t after) const;

  std::uint64_t revision_ = 0, forgotten_ = 0;
  std::map<std::string, Entry> entries_;
};

}  // namespace kestrelline::standin

#endif  // KESTRELLINE_STANDIN_MEMBERSHIP_H_
