// SPDX-License-Identifier: Apache-2.0
//
// The members of the control plane as known to a gateway (a control process without a disk): which node to
// ask next, and which member was last reported as leader. No I/O, no clock.
#ifndef KESTRELLINE_CONTROL_PLANE_MEMBER_DIRECTORY_H_
#define KESTRELLINE_CONTROL_PLANE_MEMBER_DIRECTORY_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kestrelline::control_plane {

// The response of a member to GET /-/members.
struct MembersReport {
  std::vector<std::string> members;
  std::string leader;  // empty if none is known
};
// Empty if `json` is not a valid response.
std::optional<MembersReport> ParseMembersReport(std::string_view json);

class MemberDirectory {
 public:
  using Time = std::chrono::milliseconds;  // of a steady clock

  static constexpr Time kLeaderTtl{2500};  // members report it every second
  static constexpr std::size_t kMaxMembers = 32;

  explicit MemberDirectory(std::vector<std::string> seeds);

  // Replaces the seeds by those of changed settings; unknown ones are asked next.
  void SetSeeds(std::vector<std::string> seeds);
  const std::vector<std::string>& seeds() const { return seeds_; }
  // Members and seeds in rotation; empty if there are none.
  std::string NextNode();
  std::size_t size() const { return nodes_.size(); }
  // The leader reported within the last kLeaderTtl.
  std::optional<std::string> Leader(Time now) const;
  // Ignores a report without members: its sender does not know them either.
  void Update(Time now, const MembersReport& report);
  // The latest reported members; empty if none were reported yet.
  const std::vector<std::string>& members() const { return members_; }

 private:
  void RebuildNodes();

  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::vector<std::string> nodes_;  // the latest reported members, then seeds that are not among them
  std::size_t next_ = 0;
  std::string leader_;
  Time leader_reported_at_{0};
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_MEMBER_DIRECTORY_H_
