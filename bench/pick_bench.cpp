// SPDX-License-Identifier: Apache-2.0
//
// Compares algorithms that find the server with the least work, in a closed queueing model: the time of a
// pick and its two updates, the loss against the best pick, and the resulting queues. Results:
// docs/design/scale.md.
//
//   pick_bench [SERVERS ...]
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/pick_index.h"

namespace {

using kestrelline::Duration;
using kestrelline::TimePoint;
using kestrelline::fleet::Member;
using kestrelline::fleet::PickIndex;
using WallClock = std::chrono::steady_clock;

constexpr double kMemory = 4000;  // ms; time constant with which slowness decays

struct Key {
  double work = 0, excess = 0, since = 0;
  double Score(double now, double asked) const {
    return work + asked * excess * std::exp((since - now) / kMemory);
  }
};

class Algorithm {
 public:
  virtual ~Algorithm() = default;
  virtual void Set(Member member, const Key& key) = 0;
  virtual Member Pick(double now, double asked) = 0;
};

class Scan : public Algorithm {
 public:
  explicit Scan(std::size_t n) : keys_(n) {}
  void Set(Member member, const Key& key) override { keys_[member] = key; }
  Member Pick(double now, double asked) override {
    Member best = 0;
    double least = 1e300;
    for (Member m = 0; m < keys_.size(); ++m) {
      const double score = keys_[m].Score(now, asked);
      if (score < least) least = score, best = m;
    }
    return best;
  }

 private:
  std::vector<Key> keys_;
};

// The best of k random members.
class Choices : public Algorithm {
 public:
  Choices(std::size_t n, int k) : keys_(n), k_(k) {}
  void Set(Member member, const Key& key) override { keys_[member] = key; }
  Member Pick(double now, double asked) override {
    Member best = 0;
    double least = 1e300;
    for (int k = 0; k < k_; ++k) {
      const auto m = static_cast<Member>(draw_() % keys_.size());
      const double score = keys_[m].Score(now, asked);
      if (score < least) least = score, best = m;
    }
    return best;
  }

 private:
  std::vector<Key> keys_;
  int k_;
  std::mt19937 draw_{2};
};

// A winner tree over the score of a usual request when the key was set: ignores decay and the request's size.
class Tournament : public Algorithm {
 public:
  Tournament(std::size_t n, double usual) : usual_(usual) {
    while (leaves_ < n) leaves_ *= 2;
    least_.assign(2 * leaves_, 1e300);
    for (std::size_t m = 0; m < n; ++m) Set(static_cast<Member>(m), Key());
  }
  void Set(Member member, const Key& key) override {
    std::size_t at = leaves_ + member;
    for (least_[at] = key.work + usual_ * key.excess; at > 1;) {
      at /= 2;
      least_[at] = std::min(least_[2 * at], least_[2 * at + 1]);
    }
  }
  Member Pick(double, double) override {
    std::size_t at = 1;
    while (at < leaves_) {
      at *= 2;
      if (least_[at + 1] < least_[at]) ++at;
    }
    return static_cast<Member>(at - leaves_);
  }

 private:
  double usual_;
  std::size_t leaves_ = 1;
  std::vector<double> least_;
};

// Buckets of a tenth of a usual request, by the score when the key was set; picks a random member of the
// first.
class Buckets : public Algorithm {
 public:
  Buckets(std::size_t n, double usual) : usual_(usual), at_(n), buckets_(4000) {
    for (std::size_t m = 0; m < n; ++m) Put(static_cast<Member>(m), 0);
  }
  void Set(Member member, const Key& key) override {
    auto& old = buckets_[at_[member].first];
    old[at_[member].second] = old.back();
    at_[old.back()].second = at_[member].second;
    old.pop_back();
    Put(member, key.work + usual_ * key.excess);
  }
  Member Pick(double, double) override {
    std::size_t first = 0;
    while (buckets_[first].empty()) ++first;
    return buckets_[first][draw_() % buckets_[first].size()];
  }

 private:
  void Put(Member member, double score) {
    const double at = 20 + score / (usual_ / 10);
    const auto b = static_cast<std::size_t>(std::clamp(at, 0.0, static_cast<double>(buckets_.size() - 1)));
    at_[member] = {b, buckets_[b].size()};
    buckets_[b].push_back(member);
  }
  double usual_;
  std::vector<std::pair<std::size_t, std::size_t>> at_;
  std::vector<std::vector<Member>> buckets_;
  std::mt19937 draw_{3};
};

class Index : public Algorithm {
 public:
  Index(std::size_t n, double usual) : index_(Duration(kMemory)), usual_(usual) {
    index_.Refresh(TimePoint(Duration(1e6)), usual);
    for (std::size_t m = 0; m < n; ++m) {
      index_.Enter(static_cast<Member>(m), PickIndex::kHome);
      Set(static_cast<Member>(m), Key());
    }
  }
  void Set(Member member, const Key& key) override {
    index_.Set(member, key.work, key.excess, TimePoint(Duration(1e6 + key.since)));
  }
  Member Pick(double now, double asked) override {
    const TimePoint at(Duration(1e6 + now));
    index_.Refresh(at, usual_);
    return index_.Least(
        at, asked, 0, [](Member) { return true; }, [this](std::uint64_t n) { return draw_() % n; });
  }

 private:
  PickIndex index_;
  double usual_;
  std::mt19937_64 draw_{4};
};

struct Completion {
  double at;
  Member member;
  double work, took;
  bool operator>(const Completion& other) const { return at > other.at; }
};

// Servers process requests sequentially, each at its own speed of half to twice the mean; if `skewed`, one is
// 1,000 times as fast. The number of requests in flight equals the number of servers, so a poor pick leaves
// servers idle.
void Simulate(const std::string& name, std::size_t servers, bool skewed, Algorithm* algorithm) {
  constexpr double kUsual = 20;
  std::mt19937 draw(1);
  std::vector<double> speed(servers);
  for (double& s : speed) s = std::exp2(std::uniform_real_distribution<>(-1, 1)(draw));
  if (skewed) speed[servers / 2] = 1000;
  std::vector<Key> keys(servers);
  std::vector<double> free_at(servers);
  std::vector<int> count(servers);
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> ends;
  std::exponential_distribution<> work_of(1 / kUsual);
  double now = 0, algorithm_ns = 0, loss = 0, sojourn = 0;
  int worst = 0, judged = 0, all = 0;
  const int turns = static_cast<int>(std::clamp<std::size_t>(20 * servers, 20000, 60000));
  for (int turn = 0; turn < 3 * turns; ++turn) {
    const bool counts = turn >= 2 * turns;
    if (ends.size() >= servers) {
      const Completion end = ends.top();
      ends.pop();
      now = end.at;
      Key& key = keys[end.member];
      key.work = --count[end.member] == 0 ? 0 : key.work - end.work;
      const double faded = key.excess * std::exp((key.since - now) / kMemory);
      key.excess = faded + 0.08 * (std::min(8.0, end.took / end.work) - 1 - faded);
      key.since = now;
      const auto begun = WallClock::now();
      algorithm->Set(end.member, key);
      algorithm_ns += counts * std::chrono::duration<double, std::nano>(WallClock::now() - begun).count();
      if (counts) sojourn += end.took / end.work, ++all;
    }
    const double work = std::max(0.5, work_of(draw));
    const auto begun = WallClock::now();
    const Member picked = algorithm->Pick(now, work);
    algorithm_ns += counts * std::chrono::duration<double, std::nano>(WallClock::now() - begun).count();
    if (counts && turn % 16 == 0) {
      double least = 1e300;
      for (const Key& key : keys) least = std::min(least, key.Score(now, work));
      loss += keys[picked].Score(now, work) - least, ++judged;
    }
    Key& key = keys[picked];
    key.work += work;
    ++count[picked];
    if (counts) worst = std::max(worst, count[picked]);
    free_at[picked] = std::max(free_at[picked], now) + work / speed[picked];
    ends.push({free_at[picked], picked, work, free_at[picked] - now});
    const auto sent = WallClock::now();
    algorithm->Set(picked, key);
    algorithm_ns += counts * std::chrono::duration<double, std::nano>(WallClock::now() - sent).count();
  }
  std::printf("%8zu %-6s %-14s %10.0f %12.2f %12d %14.2f\n", servers, skewed ? "skewed" : "even",
              name.c_str(), algorithm_ns / turns, loss / judged, worst, sojourn / all);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes = {15, 100, 1000, 10000};
  if (argc > 1) sizes.clear();
  for (int k = 1; k < argc; ++k) sizes.push_back(static_cast<std::size_t>(std::max(1, std::atoi(argv[k]))));
  std::printf("%8s %-6s %-14s %10s %12s %12s %14s\n", "servers", "speeds", "way", "ns/request", "loss, ms",
              "worst queue", "time over work");
  for (const std::size_t n : sizes) {
    for (const bool skewed : {false, true}) {
      const auto run = [&](const char* name, std::unique_ptr<Algorithm> algorithm) {
        Simulate(name, n, skewed, algorithm.get());
      };
      run("scan", std::make_unique<Scan>(n));
      run("index", std::make_unique<Index>(n, 20));
      run("tournament", std::make_unique<Tournament>(n, 20));
      run("buckets", std::make_unique<Buckets>(n, 20));
      run("2 choices", std::make_unique<Choices>(n, 2));
      run("8 choices", std::make_unique<Choices>(n, 8));
      run("64 choices", std::make_unique<Choices>(n, 64));
    }
  }
  return 0;
}
