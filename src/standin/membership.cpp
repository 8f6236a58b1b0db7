// SPDX-License-Identifier: Apache-2.0
#include "standin/membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kestrelline::standin {

using load::Listed;

void Membership::Put(const ListedMember& member) {
  entries_[member.id] = {member, ++revision_};
  const auto gone = [](const auto& entry) { return entry.second.member.state == Listed::kGone; };
  if (static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), gone)) <= kMostGone) return;
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it)
    if (gone(*it) && (oldest == entries_.end() || it->second.changed < oldest->second.changed)) oldest = it;
  forgotten_ = oldest->second.changed;
  entries_.erase(oldest);
}

const ListedMember* Membership::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.member;
}

ListMessage Membership::Whole(std::size_t proxy) const { return Message(true, proxy, 0); }

ListMessage Membership::Since(std::uint64_t revision, std::size_t proxy) const {
  const bool known = revision > 0 && revision >= forgotten_ && revision <= revision_;
  return known ? Message(false, proxy, revision) : Whole(proxy);
}

ListMessage Membership::Message(bool complete, std::size_t proxy, std::uint64_t after) const {
  nlohmann::json members = nlohmann::json::array();
  ListMessage message;
  for (const auto& [id, entry] : entries_) {
    const ListedMember& m = entry.member;
    const bool gone = m.state == Listed::kGone;
    if (complete ? gone : entry.changed <= after) continue;
    members.push_back({{"id", id},
                       {"host_port", m.addresses.at(proxy)},
                       {"locality", m.zone},
                       {"flavor", m.kind},
                       {"cell", m.cell},
                       {"phase", gone                        ? "terminated"
                                 : m.state == Listed::kReady ? "in_service"
                                                             : "terminating"},
                       {"size", 1.0},
                       {"up_since_ms", m.up_since_unix_ms}});
    message.tells.emplace_back(id, m.state);
  }
  message.revision = revision_;
  message.complete = complete;
  message.line =
      nlohmann::json{{"revision", revision_}, {"complete", complete}, {"members", std::move(members)}}.dump();
  return message;
}

}  // namespace kestrelline::standin
