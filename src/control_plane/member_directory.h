// SPDX-License-Identifier: Apache-2.0
//
// What a process without a disk knows of the members of the control plane: whom to ask next, and who led when
// last heard of. No I/O, no clock.
#ifndef KESTRELLINE_CONTROL_PLANE_MEMBER_DIRECTORY_H_
#define KESTRELLINE_CONTROL_PLANE_MEMBER_DIRECTORY_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kestrelline::control_plane {

// The answer of a member to GET /-/members.
struct MembersReport {
  std::vector<std::string> members;
  std::string leader;  // empty: none is known
};
// Nothing unless `json` is such an answer.
std::optional<MembersReport> ParseMembersReport(std::string_view json);

class MemberDirectory {
 public:
  using Time = std::chrono::milliseconds;  // of a steady clock

  static constexpr Time kLeaderTtl{2500};  // members tell it every second
  static constexpr std::size_t kMaxMembers = 32;

  explicit MemberDirectory(std::vector<std::string> seeds);

  // Members and seeds in turn; empty if there are none.
  std::string NextNode();
  std::size_t size() const { return nodes_.size(); }
  // The one that a member named as leader a short while ago.
  std::optional<std::string> Leader(Time now) const;
  void Update(Time now, const MembersReport& report);
  // The members that were told last; empty if never.
  const std::vector<std::string>& members() const { return members_; }

 private:
  const std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::vector<std::string> nodes_;  // the members told last, then seeds that are none
  std::size_t next_ = 0;
  std::string leader_;
  Time leader_reported_at_{0};
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_MEMBER_DIRECTORY_H_
