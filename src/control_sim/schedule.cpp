// SPDX-License-Identifier: Apache-2.0
#include "control_sim/schedule.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace kestrelline::control_sim {
namespace {

constexpr Duration kLedAgainWithin{6000};
constexpr Duration kOrderTakenWithin{25000};  // answers get lost, and machines that are gone are asked first
constexpr Duration kInForceWithin{3500};
constexpr Duration kWholeAfterStart{10000};
constexpr Duration kGrace{8000};
constexpr Duration kLongCut{18000};

constexpr std::array<const char*, static_cast<std::size_t>(Trouble::kCount)> kNames = {
    "none",
    "kill",
    "kill-at-event",
    "power-loss",
    "wipe",
    "wipe-after-acknowledgement",
    "cut-off",
    "cut-off-behind",
    "hold",
    "one-way",
    "freeze",
    "freeze-all",
    "freeze-proxy",
    "disk-full",
    "disk-slow",
    "restart-all",
    "power-loss-of-all",
    "planned-leave",
    "replace",
    "restart-planned",
    "race",
    "restart-proxy-at-cut-off",
    "damage-first"};

// One day as it is played.
class Player {
 public:
  explicit Player(const Day& day) : day_(day), world_(day.options) {}

  DayResult Play() {
    if (!world_.RunUntil([this] { return Whole(); }, kWholeAfterStart)) Fail("not whole after the start");
    for (const Round& round : day_.rounds) {
      if (!world_.broken().empty()) break;
      PlayRound(round);
    }
    result_.broken = world_.broken();
    return result_;
  }

 private:
  using Random = std::mt19937_64;

  void Fail(const std::string& what) { world_.audit().Break(world_.now(), what); }
  static Duration Between(Random& random, std::int64_t least, std::int64_t most) {
    return Duration(std::uniform_int_distribution<std::int64_t>(least, most)(random));
  }
  template <typename Items>
  static const std::string& Pick(Random& random, const Items& items) {
    return items[random() % items.size()];
  }
  std::vector<std::string> Electors() {
    const std::string leader = world_.Leader();
    if (leader.empty()) return Alive();
    const auto& members = world_.replica(leader).committed()->members;
    std::vector<std::string> electors;
    for (const std::string& member : members) {
      if (!gone_.contains(member)) electors.push_back(member);
    }
    return electors;
  }
  std::vector<std::string> Alive() const {
    std::vector<std::string> alive;
    for (const std::string& name : world_.names()) {
      if (!gone_.contains(name)) alive.push_back(name);
    }
    return alive;
  }
  std::string Victim(Random& random) {
    const std::string leader = world_.Leader();
    return random() % 2 == 0 && !leader.empty() ? leader : Pick(random, Electors());
  }

  // All seats are taken, by members that hold the newest record.
  bool Whole() {
    return world_.FullyReplicated() && static_cast<int>(Electors().size()) >= day_.options.members;
  }

  void SubmitOne(Random& random) {
    ++result_.orders;
    const std::uint64_t next = version_ + 1 + random() % 3;
    // Two operators may pick the same number for different changes.
    world_.Submit(
        {next, version_, "change " + std::to_string(next) + " no " + std::to_string(result_.orders)});
  }
  void RefreshVersion() {
    const std::string leader = world_.Leader();
    if (!leader.empty()) version_ = world_.replica(leader).committed()->version;
  }
  // Changes one after the other, as far as they are taken.
  void ChangeSeveral(Random& random, int count) {
    for (int i = 0; i < count; ++i) {
      RefreshVersion();
      SubmitOne(random);
      world_.Run(Between(random, 50, 600));
    }
  }

  void PlayRound(const Round& round) {
    Random random(round.seed);
    RefreshVersion();
    if (random() % 2 == 0) SubmitOne(random);
    world_.Run(Between(random, 0, 3) * 10);
    Bring(round.trouble, random);
    Restore();
    Settle();
  }

  void Bring(Trouble trouble, Random& random) {
    const std::string victim = Victim(random);
    switch (trouble) {
      case Trouble::kNone:
      case Trouble::kCount:
        return;
      case Trouble::kKill:
        world_.Kill(victim);
        return Meanwhile(random, 2500);
      case Trouble::kKillAtEvent:
        world_.KillAfterEvents(victim, static_cast<int>(1 + random() % 12), random() % 2 == 0);
        SubmitOne(random);
        return Meanwhile(random, 2500);
      case Trouble::kPowerLoss:
        world_.Kill(victim, false);
        return Meanwhile(random, 2500);
      case Trouble::kWipe:
        return WipeSome(random);
      case Trouble::kWipeAfterAcknowledgement:
        return WipeAfterAcknowledgement(random);
      case Trouble::kCutOff:
        world_.CutOff(victim);
        return LongMeanwhile(random);
      case Trouble::kCutOffBehind:
        return CutOffBehind(random);
      case Trouble::kHold:
        HoldBack(victim);
        return LongMeanwhile(random);
      case Trouble::kOneWay:
        for (const std::string& other : Alive()) world_.Cut(victim, other);
        return LongMeanwhile(random);
      case Trouble::kFreeze:
        if (random() % 2 == 0) SubmitOne(random);
        world_.Run(Between(random, 0, 12));
        world_.Freeze(victim, Between(random, 300, 8000));
        return Meanwhile(random, 9000);
      case Trouble::kFreezeAll:
        for (const std::string& name : Alive()) world_.Freeze(name, Between(random, 200, 3000));
        return Meanwhile(random, 3000);
      case Trouble::kFreezeProxy:
        if (world_.proxies() > 0) world_.FreezeProxy(random() % world_.proxies(), Between(random, 500, 6000));
        return Meanwhile(random, 6500);
      case Trouble::kDiskFull:
        world_.SetDiskFull(victim, true);
        return Meanwhile(random, 4000);
      case Trouble::kDiskSlow:
        world_.SetSync(victim, Between(random, 100, 3000));
        return Meanwhile(random, 4000);
      case Trouble::kRestartAll:
        for (const std::string& name : Alive()) world_.Kill(name);
        return world_.Run(Between(random, 0, 1000));
      case Trouble::kPowerLossOfAll:
        return LosePowerEverywhere(random);
      case Trouble::kPlannedLeave:
        return LeaveForGood(random);
      case Trouble::kReplace:
        return Replace(random);
      case Trouble::kRestartPlanned:
        world_.Stop(victim);
        return Meanwhile(random, 1500);
      case Trouble::kRace:
        return Race(random);
      case Trouble::kRestartProxyAtCutOff:
        return RestartProxyAtCutOff(random);
      case Trouble::kDamageFirst:
        return DamageFirst(random);
    }
  }

  void Meanwhile(Random& random, int most_ms) {
    world_.Run(Between(random, 0, most_ms));
    if (random() % 2 == 0) {
      SubmitOne(random);
      world_.Run(Between(random, 10, 300));
    }
  }
  void LongMeanwhile(Random& random) {
    const Time until = world_.now() + Between(random, 500, kLongCut.count());
    while (world_.now() < until) {
      ChangeSeveral(random, 1);
      if (world_.proxies() > 0 && random() % 8 == 0) world_.RestartProxy(random() % world_.proxies());
      world_.Run(Between(random, 100, 2500));
    }
  }

  // Links of one member: what it sends, what it gets, or both is held and comes late, in order.
  void HoldBack(const std::string& victim) {
    const std::uint64_t ways = 1 + world_.random()() % 3;
    for (const std::string& other : Alive()) {
      if (other == victim) continue;
      if ((ways & 1) != 0) world_.Hold(victim, other);
      if ((ways & 2) != 0) world_.Hold(other, victim);
    }
  }
  void WipeSome(Random& random) {
    std::vector<std::string> electors = Electors();
    std::shuffle(electors.begin(), electors.end(), random);
    electors.resize(std::min(electors.size(), static_cast<std::size_t>(day_.options.max_lost_members)));
    for (const std::string& name : electors) world_.Wipe(name);
    world_.Run(Between(random, 0, 1200));
    for (const std::string& name : electors) world_.Start(name);
    world_.Run(Between(random, 0, 600));
    // Processes may go beyond what may be lost, as long as their disks stay.
    if (random() % 2 == 0) world_.Kill(Pick(random, Alive()), random() % 2 == 0);
    Meanwhile(random, 2500);
  }
  void WipeAfterAcknowledgement(Random& random) {
    const std::string leader = world_.Leader();
    const std::string slow = Pick(random, Electors());
    if (random() % 2 == 0 && slow != leader) world_.CutOff(slow);
    RefreshVersion();
    const auto order =
        world_.Submit({version_ + 1, version_, "to be wiped " + std::to_string(++result_.orders)});
    world_.RunUntil([&] { return order->verdict.has_value(); }, Duration(3000));
    world_.Run(Between(random, 0, 1) * 10);
    std::string victim = world_.Leader();
    if (victim.empty() || random() % 3 == 0) victim = Pick(random, Electors());
    world_.Wipe(victim);
    if (random() % 2 == 0) {
      for (const std::string& name : Alive()) world_.Kill(name, false);
    }
    world_.Run(Between(random, 0, 1500));
  }
  // A minority misses changes, then one of the others loses its disk, the rest lose power, the cut heals.
  void CutOffBehind(Random& random) {
    const std::vector<std::string> electors = Electors();
    const std::string behind = Pick(random, electors);
    world_.CutOff(behind);
    ChangeSeveral(random, static_cast<int>(2 + random() % 10));
    const auto others = world_.Except(behind);
    const std::string wiped = Pick(random, others);
    for (const std::string& name : others) world_.Kill(name, false);
    if (!gone_.contains(wiped)) world_.Wipe(wiped);
    if (random() % 2 == 0) {
      world_.HealAll();
      if (!gone_.contains(wiped)) world_.Start(wiped);
    }
    world_.Run(Between(random, 0, 3000));
  }
  void LosePowerEverywhere(Random& random) {
    SubmitOne(random);
    world_.Run(Between(random, 0, 40));
    const std::string wiped = Pick(random, Electors());
    for (const std::string& name : Alive()) world_.Kill(name, false);
    if (random() % 2 == 0) world_.Wipe(wiped);
    world_.Run(Between(random, 0, 1000));
  }

  // As the machine is exchanged by plan: the new one first, then SIGTERM. Another disk is lost right after.
  void LeaveForGood(Random& random) {
    const std::string fresh = world_.AddMachine();
    world_.Start(fresh);
    world_.Run(Between(random, 300, 1500));
    const std::string victim = Victim(random);
    if (victim == fresh) return;
    world_.Stop(victim);
    if (!world_.RunUntil([&] { return !world_.Running(victim); }, kGrace))
      Fail(victim + " did not end in its time");
    world_.Wipe(victim);
    gone_.insert(victim);
    LoseAnotherAtOnce(random, victim);
  }
  // Lost for good, then a new one; once it has had its time another disk is lost.
  void Replace(Random& random) {
    const std::string victim = Victim(random);
    world_.Wipe(victim);
    gone_.insert(victim);
    world_.Run(Between(random, 0, 1500));
    const std::string fresh = world_.AddMachine();
    world_.Start(fresh);
    const Time since = world_.now();
    if (random() % 3 == 0) {  // the successor is lost half-way, too
      world_.Run(Between(random, 0, 2500));
      world_.Wipe(fresh);
      gone_.insert(fresh);
      world_.Start(world_.AddMachine());
    }
    const bool whole = world_.RunUntil([this] { return Whole(); }, Duration(8000));
    if (!whole) return Fail("a replacement had no seat in time");
    result_.longest_repair = std::max(result_.longest_repair, world_.now() - since);
    LoseAnotherAtOnce(random, victim);
  }
  void LoseAnotherAtOnce(Random& random, const std::string& first) {
    std::vector<std::string> others = Alive();
    std::erase(others, first);
    const std::string second = Pick(random, others);
    world_.Wipe(second);
    if (!world_.RunUntilLed(kLedAgainWithin)) Fail("a second loss left no majority");
    world_.Start(second);
  }

  void Race(Random& random) {
    for (int i = 0; i < 10; ++i) {
      RefreshVersion();
      SubmitOne(random);
      SubmitOne(random);
      if (random() % 4 == 0) world_.Freeze(Victim(random), Between(random, 100, 2500));
      world_.Run(Between(random, 100, 400));
    }
  }
  void RestartProxyAtCutOff(Random& random) {
    if (world_.proxies() == 0) return;
    const std::string victim = Pick(random, Electors());
    world_.CutOff(victim);
    world_.Run(Between(random, 0, 2000));
    ChangeSeveral(random, 4);
    const std::size_t proxy = random() % world_.proxies();
    for (const std::string& other : world_.Except(victim)) world_.CutProxy(proxy, other);
    world_.RestartProxy(proxy, {victim});
    world_.Run(Between(random, 1000, 12000));
  }
  // A copy and a promise are lost with a disk whose process is told that this is the first start.
  void DamageFirst(Random& random) {
    const std::string leader = world_.Leader();
    if (leader.empty()) return;
    std::vector<std::string> others = Electors();
    std::erase(others, leader);
    if (others.size() < 2) return;
    std::shuffle(others.begin(), others.end(), random);
    world_.CutOff(others[1]);
    ChangeSeveral(random, 3);
    world_.DamageDisk(others[0]);
    world_.Kill(leader, false);
    world_.HealAll();
    world_.SetBootstrap(others[0]);
    world_.Start(others[0]);
    Meanwhile(random, 3000);
  }

  void Restore() {
    world_.HealAll();
    world_.ThawAll();
    for (const std::string& name : Alive()) {
      world_.CancelKill(name);
      if (!world_.RunUntil([&] { return !world_.Stopping(name); }, kGrace))
        Fail(name + " did not end in its time");
      world_.SetDiskFull(name, false);
      world_.SetSync(name, day_.options.sync);
      if (!world_.Running(name)) world_.Start(name);
    }
    const Time healed = world_.now();
    if (!world_.RunUntilLed(kLedAgainWithin)) return Fail("nobody led in time after a trouble");
    result_.longest_without_leader = std::max(result_.longest_without_leader, world_.now() - healed);
  }
  // All that counts is back within the time that the deployment allows it.
  void Settle() {
    if (!world_.broken().empty()) return;
    world_.Run(Duration(1500));
    if (!world_.RunUntilLed(kLedAgainWithin)) return Fail("nobody led in calm times");
    RefreshVersion();
    const auto order =
        world_.Submit({version_ + 1, version_, "calm change " + std::to_string(++result_.orders)});
    if (!world_.RunUntil([&] { return order->verdict.has_value(); }, kOrderTakenWithin)) {
      return Fail("an order was not decided in calm times");
    }
    if (order->verdict == Outcome::kCommitted) version_ = order->order.version;
    if (!world_.RunUntil([this] { return world_.FullyReplicated(); }, kLedAgainWithin)) {
      return Fail("copies were not whole in calm times");
    }
    const std::uint64_t newest = world_.newest_acknowledged();
    const auto all_in_force = [&] {
      for (std::size_t i = 0; i < world_.proxies(); ++i) {
        if (world_.proxy(i).version() < newest) return false;
      }
      return true;
    };
    if (!world_.RunUntil(all_in_force, kInForceWithin)) Fail("a configuration was not in force in time");
  }

  const Day& day_;
  World world_;
  std::set<std::string> gone_;
  std::uint64_t version_ = 0;
  DayResult result_;
};

}  // namespace

const char* NameOf(Trouble trouble) { return kNames[static_cast<std::size_t>(trouble)]; }

Day DrawDay(std::uint64_t seed, int members, int rounds) {
  std::mt19937_64 random(seed);
  Day day;
  day.options.seed = seed;
  day.options.members = members;
  day.options.max_lost_members = members / 2;
  day.options.proxies = 3;
  day.options.start_spread = Duration(300);
  day.options.loss = seed % 4 == 0 ? 0.03 : 0;
  day.options.straggle = seed % 5 == 0 ? 0.02 : 0;
  day.options.most_delay = Duration(seed % 3 == 0 ? 40 : 4);
  day.options.drift = seed % 2 == 0 ? 0.02 : 0;
  day.options.lost_answers = seed % 7 < 3 ? 0.5 : 0.05;
  constexpr auto kKinds = static_cast<std::uint64_t>(Trouble::kCount) - 1;
  for (int i = 0; i < rounds; ++i) {
    day.rounds.push_back({static_cast<Trouble>(1 + random() % kKinds), random()});
  }
  return day;
}

DayResult Play(const Day& day) { return Player(day).Play(); }

Day Shrink(const Day& day) {
  Day smallest = day;
  for (std::size_t i = smallest.rounds.size(); i-- > 0;) {
    Day smaller = smallest;
    smaller.rounds.erase(smaller.rounds.begin() + static_cast<std::ptrdiff_t>(i));
    if (!Play(smaller).broken.empty()) smallest = std::move(smaller);
  }
  return smallest;
}

std::string Describe(const Day& day) {
  std::string text =
      std::to_string(day.options.members) + " members, seed " + std::to_string(day.options.seed);
  for (const Round& round : day.rounds) text += std::string(", ") + NameOf(round.trouble);
  return text;
}

}  // namespace kestrelline::control_sim
