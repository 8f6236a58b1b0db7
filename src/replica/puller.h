// SPDX-License-Identifier: Apache-2.0
//
// Whom to ask for what is missing, slice by slice. No I/O, no clock.
//
// One request is out at a time, so that what comes is bounded by what was taken. One that brings nothing in
// time is asked again, from where what came ends; after kTries without a word what was wanted of that peer is
// given up, until another one says that it has it.
#ifndef KESTRELLINE_REPLICA_PULLER_H_
#define KESTRELLINE_REPLICA_PULLER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "replica/message.h"

namespace kestrelline::replica {

class Puller {
 public:
  static constexpr int kTries = 4;
  static constexpr std::size_t kMostWants = 48;  // in one request

  struct Request {
    std::string peer;
    std::uint64_t number = 0;
    std::vector<Want> wants;
  };
  using Has = std::function<Seq(Origin)>;

  // `peer` has entries of `origin` up to `upto`.
  void Learn(Origin origin, Seq upto, const std::string& peer) {
    Missing& missing = missing_[origin];
    if (upto < missing.upto && !missing.peer.empty()) return;
    // What is being asked for is not asked of another at once.
    const bool asked = asked_ && asked_->peer == missing.peer;
    missing.upto = std::max(missing.upto, upto);
    if (!asked) missing.peer = peer;
  }

  // What to ask now, if anything: the time is up for the request that is out, or there is none.
  std::optional<Request> Next(Time now, Span patience, const Has& has) {
    std::erase_if(missing_, [&](const auto& m) { return has(m.first) >= m.second.upto; });
    if (missing_.empty()) asked_.reset();
    if (asked_ && now < asked_->until) return std::nullopt;
    if (asked_ && ++asked_->tries >= kTries) GiveUp(std::string(asked_->peer));
    if (missing_.empty()) return std::nullopt;
    Request request;
    request.peer = asked_ ? asked_->peer : missing_.begin()->second.peer;
    const int tries = asked_ ? asked_->tries : 0;
    for (const auto& [origin, missing] : missing_) {
      if (missing.peer == request.peer && request.wants.size() < kMostWants)
        request.wants.push_back({origin, has(origin)});
    }
    if (request.wants.empty()) {  // others are left
      asked_.reset();
      return Next(now, patience, has);
    }
    request.number = ++last_;
    asked_ = Asked{request.peer, request.number, now + patience, tries};
    return request;
  }
  void OnSlice(Time now, Span patience, const std::string& peer, std::uint64_t number, bool last) {
    if (!asked_ || asked_->peer != peer || asked_->number != number) return;
    asked_->until = now + patience;
    asked_->tries = 0;
    if (last) asked_.reset();
  }
  void GiveUp(const std::string& peer) {
    std::erase_if(missing_, [&](const auto& m) { return m.second.peer == peer; });
    if (asked_ && asked_->peer == peer) asked_.reset();
    gave_up_ = peer;
  }
  // Who was given up since the last call.
  std::optional<std::string> TakeGivenUp() { return std::exchange(gave_up_, std::nullopt); }

  bool empty() const { return missing_.empty(); }
  Time NextDue() const { return asked_ ? asked_->until : missing_.empty() ? Time::max() : Time::min(); }

 private:
  struct Missing {
    Seq upto = 0;
    std::string peer;
  };
  struct Asked {
    std::string peer;
    std::uint64_t number = 0;
    Time until{};
    int tries = 0;
  };
  std::map<Origin, Missing> missing_;
  std::optional<Asked> asked_;
  std::optional<std::string> gave_up_;
  std::uint64_t last_ = 0;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_PULLER_H_
