// SPDX-License-Identifier: Apache-2.0
//
// One proxy's part in dividing what all proxies have together. No I/O, no clock: time comes in with each
// call, messages and events go out by Take. The same code runs in the daemon and in virtual time.
//
// A reserve of the whole is divided for good by how many proxies are configured; the rest, the pool, is
// handed out by one of them, in grants that end by themselves. Who that is needs the support of more than
// half of those configured, renewed all the time; a supporter promises to support nobody else for the length
// of a lease. So there is one at a time, whatever anybody believes of who lives; and since no grant outlasts
// the support that it was given under, all parts in use never sum up to more than the whole.
//
//   a share = reserve / configured + what was granted, while it lasts
#ifndef KESTRELLINE_CONCERT_NODE_H_
#define KESTRELLINE_CONCERT_NODE_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "concert/message.h"
#include "concert/pool.h"
#include "concert/voter.h"
#include "peers/node.h"

namespace kestrelline::quota {

struct Outgoing {
  peers::Address to;
  Message message;
};

// What operators are told.
struct Event {
  enum class Kind {
    kLeads,    // this proxy hands out from now on
    kLed,      // and no longer
    kFollows,  // `peer` hands out
    kGranted,  // this proxy has a part of the pool, and had none
    kLapsed    // it has none any more: nobody who hands out is heard
  };
  static constexpr std::size_t kKinds = 5;
  Kind kind;
  std::string peer;
};

class Node {
 public:
  struct Options {
    std::string name{};
    std::uint64_t boot = 0, seed = 0;
    std::uint32_t member_index = 0;  // this proxy's number among those configured; beyond them it has no vote
    std::uint32_t configured_members = 1;  // so many are configured
    Span lease = std::chrono::seconds(2);
    double reserve = 0.25;  // 0 to 1
  };
  // `now`: from when on others reach it, which is when it was started at the earliest.
  Node(Options options, Time now);

  void OnPeer(Time now, const peers::Event& event);
  // From the member that goes by this boot; of others nothing is taken.
  void Receive(Time now, std::uint64_t boot, const Message& message);
  void Tick(Time now);
  Time NextDue() const;
  void SetRate(double requests_per_s) { rate_ = requests_per_s; }
  // To another process of this name: it uses nothing more, and promises nothing.
  void Quit(Time now);

  // This proxy's part: `share` until `until`, from then on `after`, if nothing comes.
  struct ShareLease {
    double share = 0;
    Time until{};
    double after = 0;
    bool operator==(const ShareLease&) const = default;
  };
  ShareLease share_lease() const;
  double Share(Time now) const {
    const ShareLease s = share_lease();
    return now < s.until ? s.share : s.after;
  }
  bool Leads(Time now) const { return leading_ && now < authority_until_; }
  const Term& term() const { return term_; }  // its own, while it leads or wants to

  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Peer {
    std::string name;
    peers::Address address;
    std::uint64_t word = 0;  // the last one's number; 0: none of this term
    Time word_at{};
    double rate = 0;
  };
  struct Round {
    std::uint64_t number = 0;
    Time sent{};
    std::set<std::uint32_t> supporters;  // their places
  };

  std::size_t Majority() const { return options_.configured_members / 2 + 1; }
  bool Votes() const { return !quiet_ && options_.member_index < options_.configured_members; }
  double Reserve() const;
  void Stand(Time now);
  void StepBack(Time now);
  void Ask(Time now);
  void OnSupport(std::uint64_t round, std::uint32_t place);
  void OnClaim(Time now, std::uint64_t boot, const Peer& from, const Message& m);
  void OnWord(Time now, std::uint64_t boot, Peer* from, const Message& m);
  void Wait(Time now);

  Options options_;
  std::mt19937_64 random_;
  Voter voter_;
  Pool pool_;
  std::map<std::uint64_t, Peer> peers_;  // that run, by boot
  bool quiet_ = false;                   // another process has its name
  double rate_ = 0;

  // While it leads, or wants to.
  bool leading_ = false, led_ = false;
  Term term_;
  std::array<Round, 8> rounds_{};
  std::uint64_t round_ = 0;
  Time authority_until_{}, ask_due_{}, stood_at_{};

  Time stand_due_{};  // to lead, if nobody is heard until then
  std::uint64_t follows_ = 0;

  // Its words, when they were sent, and what was granted in answer.
  std::array<std::pair<std::uint64_t, Time>, 32> words_{};
  std::uint64_t word_ = 0;
  Term granted_by_;
  Grant granted_;
  Time granted_until_{};
  bool has_grant_ = false;

  std::vector<Outgoing> outgoing_;
  std::vector<Event> events_;
};

}  // namespace kestrelline::quota

#endif  // KESTRELLINE_CONCERT_NODE_H_
