// SPDX-License-Identifier: Apache-2.0
//
// The safety rules of the control state protocol and of its distribution, by name. A simulation can disable
// one to show that it is necessary (tests/control_sim). In production builds Enforced() is constant and has
// no cost.
#ifndef KESTRELLINE_SAFEGUARDS_SAFEGUARDS_H_
#define KESTRELLINE_SAFEGUARDS_SAFEGUARDS_H_

#include <array>
#include <string_view>

namespace kestrelline {

enum class Safeguard {
  kNone,
  kDateByProbe,           // the age of a leader's confirmation is bounded by a probe echo, not by receipt
  kLeaseBeforeServing,    // only a leader that holds a lease answers reads and accepts orders
  kContactBeforeRefusal,  // an order is refused only after contact with a quorum since the order arrived
  kRecogniseOrders,       // a retransmitted order is recognised by its digest
  kQuorumOfCopies,        // a record is committed only once a quorum has stored it
  kNewestCopyAtElection,  // a candidate adopts the newest record of the members that vote for it
  kPromiseBinds,          // a member stores no records of epochs before the one it has promised
  kQuietAfterRestart,     // for the length of a lease, a restarted member only votes if no member leads
  kLearnBeforeVoting,     // a member with an empty disk first catches up from a quorum of the others
  kForgetLostCopies,      // copies on disks that were lost are no longer counted
  kDiskIdentity,          // replies that were in flight from a lost disk are ignored
  kFoundOnPristineDisk,   // only a member with a never used disk may bootstrap the system
  kJointElectorate,       // a membership change needs quorums of both the old and the new members
  kLeaveByAgreement,      // a member that leaves for good is replaced first
  kOneRecordUnderWay,     // one record in flight per member: a slow one is sent the newest next, not each
  kProofBeforeReady,      // a starting proxy accepts only a configuration that a leader confirms
  kNeverBack,             // a proxy never goes back to an older configuration
  kFenceAfterLease,       // a new leader sends no stage orders until those of its predecessor are outdated
};

// Names under which the simulation's command line refers to safeguards.
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
