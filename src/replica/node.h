// SPDX-License-Identifier: Apache-2.0
//
// One proxy's part in what all share: tells what it writes, takes what it is told, catches up, and looks for
// differences. No I/O, no clock: time comes in with each call, datagrams and verdicts go out by Take. The
// same code runs in the daemon and in virtual time.
//
// Whoever writes tells all others at once, up to kDirect of them; of more, some by chance, who tell it on. No
// backlog is kept for anybody: whoever misses something, slow, cut off or new, finds it missing when next two
// compare what they hold (each second, with one by chance), and asks for it in slices, as fast as it takes
// them. A newcomer does so at once, and is `current` when it has all that its donor had then.
#ifndef KESTRELLINE_REPLICA_NODE_H_
#define KESTRELLINE_REPLICA_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peers/node.h"
#include "replica/handoff.h"
#include "replica/message.h"
#include "replica/puller.h"
#include "replica/rounds.h"
#include "replica/store.h"
#include "replica/wire.h"

namespace kestrelline::replica {

struct Outgoing {
  std::vector<peers::Address> to;
  wire::Bytes body;
};

// What operators are told.
struct Event {
  enum class Kind {
    kCurrent,   // has all that `peer` had; or there was nobody with more
    kDonor,     // catches up with `peer`
    kDiffers,   // from `peer` in numbers over `after`, up to `upto`, of `origin`, again and again
    kRoom,      // `count` entries have made way since the last time
    kReorigin,  // another process goes by the same origin
  };
  static constexpr std::size_t kKinds = 5;
  Kind kind;
  std::string peer;
  Origin origin = 0;
  Seq after = 0, upto = 0;
  std::uint64_t count = 0;
};

class Node {
 public:
  struct Times {
    Span news = std::chrono::milliseconds(10);   // at most, from a write to its telling
    Span urgent = std::chrono::milliseconds(1);  // the same where a request waits for it
    Span again = std::chrono::milliseconds(50);  // after the last news, to say where it stands
    Span compare = std::chrono::milliseconds(1000);
    Span patience = std::chrono::milliseconds(50);  // for a slice that was asked for
    Span lonely = std::chrono::milliseconds(3000);  // after which one who meets nobody has all there is
  };
  struct Options {
    std::string name{}, zone{};
    std::uint64_t seed = 0;
    std::size_t most_entries = 100000;
    std::uint64_t bytes_per_s = 4 << 20;  // sent; claims that a request waits for go first
    Times times{};
  };
  static constexpr std::size_t kDirect = 48;  // others that are told at once
  static constexpr std::size_t kFanout = 6;   // of more
  static constexpr std::size_t kSlice = 16;   // datagrams in answer to one that asks
  static constexpr std::size_t kHoldingPages = 4;
  static constexpr std::size_t kDepartureHeirs = 3;  // others that are told of a departure
  static constexpr int kDepartureTries = 20;         // of times.patience each

  Node(Options options, Time now);

  // What the view says, in order.
  void OnPeer(Time now, const peers::Event& event);
  // From the member that goes by this boot, at `from`. Of whoever the view does not know (a process that has
  // given its name to another one, or a newcomer) entries are taken, and nothing else.
  void Receive(Time now, std::uint64_t boot, const peers::Address& from, const Message& message);
  void Tick(Time now);
  Time NextDue() const;

  // Holds from now on, for `keep`, here at once and at others soon. 0 for no room.
  Seq Write(Time now, const Subject& subject, Span keep, std::uint32_t value);
  // The same; the verdict on `id` comes when `k` others hold it, or by `within`. See rounds.h.
  void WriteAndWait(Time now, PendingClaims::Id id, const Subject& subject, Span keep, std::uint32_t value,
                    std::size_t k, Span within);

  // About to stop: others come for what only this one has. Once more with the last write.
  void Leave(Time now);
  // Goes on as a process that has no name any more: all that it holds goes to the one that has it now, and
  // what it still writes to all.
  void HandOver(Time now, const peers::Address& successor);
  // After either: nothing is held by this one alone any more, or nobody takes it.
  bool MayEnd() const;

  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }
  std::vector<std::pair<PendingClaims::Id, PendingClaims::Verdict>> TakeVerdicts() {
    return rounds_.TakeVerdicts();
  }

  bool HasVerdicts() const { return rounds_.has_verdicts(); }

  // How streams name the member that writes them.
  static std::uint64_t OwnerOf(std::string_view name);

  const Store& store() const { return store_; }
  bool current() const { return current_; }
  std::size_t present() const { return present_; }  // others that run, as far as is known
  std::size_t members() const;                      // those, those that have failed, and this one
  // Of all that holds here, whoever wrote it.
  std::uint64_t Digest(Time now) const;
  struct PeerState {
    std::string name;
    bool present = false, current = false;
    std::uint64_t behind = 0;  // entries of this one's that it did not have when it last said so
  };
  std::vector<PeerState> Peers() const;
  std::uint64_t repaired() const { return repaired_; }  // ranges in which copies were found to differ

 private:
  struct Peer {
    std::uint64_t boot = 0;
    std::uint64_t owner = 0;
    std::string zone;
    peers::Address address;
    bool present = false, current = false, asked = false;
    Seq has = 0;  // of this one's
  };
  using Peers_ = std::map<std::string, Peer, std::less<>>;

  const Peers_::value_type* ByBoot(std::uint64_t boot) const;
  std::vector<peers::Address> Told(bool all);
  Message Base(Message::Kind kind, std::uint64_t number = 0) const;
  void Send(std::vector<peers::Address> to, const Message& message, bool urgent = false);
  void SendNews(Time now);
  void SayWhereItStands(Time now);
  void AnnounceDeparture(Time now);
  bool HeldElsewhere() const;  // all own entries, by one other at least
  void Answer(Time now, const Message& news, const peers::Address& to);
  Ranges Parts(Origin origin, std::uint64_t as_of_ms, Seq after, Seq upto) const;
  void TellAgain(Time now);
  void SendHoldings(Time now, const peers::Address& to, bool wants_reply);
  void Ask(Time now);
  void Compare(Time now, const Holding& holding, const Peers_::value_type& peer);
  void OnRanges(Time now, const Ranges& ranges, const Peers_::value_type& peer);
  void AnswerWithMore(Time now, const Message& told, const Peers_::value_type& peer);
  void Take(Time now, const Interval& interval, const std::string& from);
  void CatchUp(Time now);
  void OnStranger(Time now, const peers::Address& from, const Message& message);
  void Refill(Time now);

  Options options_;
  std::mt19937_64 random_;
  Store store_;
  PendingClaims rounds_;
  Puller puller_;
  Handoff handoff_;
  std::optional<peers::Address> successor_;
  Peers_ peers_;
  std::map<std::uint64_t, std::string> by_boot_;
  std::size_t present_ = 0;
  Seq told_ = 0;                      // own, up to there
  std::map<Origin, Seq> to_tell_on_;  // in large fleets: from where
  std::optional<Time> news_due_;
  Time news_sent_{}, compare_due_{}, start_{}, housekeeping_due_{}, refilled_{};
  double allowance_ = 0;
  bool current_ = false;
  std::string donor_;  // whom this one catches up with
  int donor_asked_ = 0, again_ = 0;
  Time again_due_ = Time::max();
  Time departure_due_ = Time::max();  // max: no departure is under way
  int departure_tries_ = 0;
  std::size_t holdings_at_ = 0;
  std::map<Origin, int> differed_;
  std::uint64_t repaired_ = 0, evicted_said_ = 0;
  std::vector<Outgoing> outgoing_;
  std::vector<Event> events_;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_NODE_H_
