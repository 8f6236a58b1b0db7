// SPDX-License-Identifier: Apache-2.0
#include "control_plane/member_directory.h"

#include <algorithm>
#include <utility>

#include "json/owned.h"

namespace kestrelline::control_plane {

std::optional<MembersReport> ParseMembersReport(std::string_view text) {
  const json::Owned root = json::Load(text);
  const json_t* members = json_object_get(root.get(), "members");
  if (!json_is_array(members)) return std::nullopt;
  MembersReport report;
  std::size_t index = 0;
  const json_t* member = nullptr;
  json_array_foreach(members, index, member) {
    if (!json_is_string(member)) return std::nullopt;
    report.members.emplace_back(json_string_value(member));
  }
  const json_t* leader = json_object_get(root.get(), "leader");
  if (json_is_string(leader)) report.leader = json_string_value(leader);
  return report;
}

MemberDirectory::MemberDirectory(std::vector<std::string> seeds) : seeds_(std::move(seeds)), nodes_(seeds_) {}

std::string MemberDirectory::NextNode() {
  if (nodes_.empty()) return {};
  return nodes_[next_++ % nodes_.size()];
}

std::optional<std::string> MemberDirectory::Leader(Time now) const {
  if (leader_.empty() || now - leader_reported_at_ > kLeaderTtl) return std::nullopt;
  return leader_;
}

void MemberDirectory::Update(Time now, const MembersReport& report) {
  if (report.members.empty()) return;
  leader_ = report.leader;
  leader_reported_at_ = now;
  members_ = report.members;
  if (members_.size() > kMaxMembers) members_.resize(kMaxMembers);
  RebuildNodes();
}

void MemberDirectory::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
  RebuildNodes();
  next_ = members_.size();  // the first seed
}

void MemberDirectory::RebuildNodes() {
  nodes_ = members_;
  for (const std::string& seed : seeds_) {
    if (std::find(nodes_.begin(), nodes_.end(), seed) == nodes_.end()) nodes_.push_back(seed);
  }
  if (nodes_.size() > kMaxMembers) nodes_.resize(kMaxMembers);
}

}  // namespace kestrelline::control_plane
