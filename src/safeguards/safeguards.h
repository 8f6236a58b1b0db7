// SPDX-License-Identifier: Apache-2.0
//
// The rules that keep control state and its distribution safe, by name, so that a simulation can switch one
// off and show that it is needed (tests/control_sim). In the program each is a constant and costs nothing.
#ifndef KESTRELLINE_SAFEGUARDS_SAFEGUARDS_H_
#define KESTRELLINE_SAFEGUARDS_SAFEGUARDS_H_

#include <array>
#include <string_view>

namespace kestrelline {

enum class Safeguard {
  kNone,
  kDateByProbe,           // what a leader vouches for is dated by the echo of a probe, not by its receipt
  kLeaseBeforeServing,    // only a leader with a lease answers reads and takes orders
  kContactBeforeRefusal,  // a refusal needs contact with a quorum after the order came
  kRecogniseOrders,       // an order that is sent again is recognised by its digest
  kQuorumOfCopies,        // one copy is no commit
  kNewestCopyAtElection,  // a candidate takes over the newest record of those who vote for it
  kPromiseBinds,          // records of earlier epochs than the promised one are not stored
  kQuietAfterRestart,     // one that restarted keeps quiet for a lease
  kLearnBeforeVoting,     // one with an empty disk learns from a quorum of the others first
  kForgetLostCopies,      // copies on disks that were lost count no more
  kDiskIdentity,          // nor do replies that were on their way from such a disk
  kFoundOnPristineDisk,   // only a disk on which nothing ever was founds the system
  kJointElectorate,       // an exchange of members needs quorums of the old and of the new ones
  kLeaveByAgreement,      // one that stops for good is replaced first
  kOneRecordUnderWay,     // a slow member gets the newest record next, not each of the older ones
  kProofBeforeReady,      // a proxy that starts takes no configuration that nobody vouches for
  kNeverBack,             // a proxy takes no older version than it had
  kFenceAfterLease,       // a new leader gives no orders before the last one's can count as turns
};

struct NamedSafeguard {
  Safeguard safeguard;
  std::string_view name;
};
inline constexpr std::array<NamedSafeguard, 18> kSafeguards = {{
    {Safeguard::kDateByProbe, "date-by-probe"},
    {Safeguard::kLeaseBeforeServing, "lease-before-serving"},
    {Safeguard::kContactBeforeRefusal, "contact-before-refusal"},
    {Safeguard::kRecogniseOrders, "recognise-orders"},
    {Safeguard::kQuorumOfCopies, "quorum-of-copies"},
    {Safeguard::kNewestCopyAtElection, "newest-copy-at-election"},
    {Safeguard::kPromiseBinds, "promise-binds"},
    {Safeguard::kQuietAfterRestart, "quiet-after-restart"},
    {Safeguard::kLearnBeforeVoting, "learn-before-voting"},
    {Safeguard::kForgetLostCopies, "forget-lost-copies"},
    {Safeguard::kDiskIdentity, "disk-identity"},
    {Safeguard::kFoundOnPristineDisk, "found-on-pristine-disk"},
    {Safeguard::kJointElectorate, "joint-electorate"},
    {Safeguard::kLeaveByAgreement, "leave-by-agreement"},
    {Safeguard::kOneRecordUnderWay, "one-record-under-way"},
    {Safeguard::kProofBeforeReady, "proof-before-ready"},
    {Safeguard::kNeverBack, "never-back"},
    {Safeguard::kFenceAfterLease, "fence-after-lease"},
}};

#ifdef KESTRELLINE_SWITCHABLE_SAFEGUARDS
inline Safeguard switched_off = Safeguard::kNone;
inline bool Enforced(Safeguard safeguard) { return safeguard != switched_off; }
#else
constexpr bool Enforced(Safeguard) { return true; }
#endif

}  // namespace kestrelline

#endif  // KESTRELLINE_SAFEGUARDS_SAFEGUARDS_H_
