// SPDX-License-Identifier: Apache-2.0
//
// Decides from which peer to request missing entries, chunk by chunk. No I/O, no clock.
//
// One request is outstanding at a time, so that no more arrives than this process can take in. A request that
// times out is repeated from where the received entries end. After kMaxTries without any response the entries
// missing from that peer are abandoned, until another peer is known to have them.
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
  static constexpr int kMaxTries = 4;
  static constexpr std::size_t kMaxPulls = 48;  // origins per request

  struct Request {
    std::string peer;
    std::uint64_t number = 0;
    std::vector<Pull> pulls;
  };
  // Returns the sequence number up to which everything of the origin is known here.
  using KnownUpto = std::function<Seq(Origin)>;

  // `peer` has entries of `origin` up to `upto`.
  void OnPeerHas(Origin origin, Seq upto, const std::string& peer) {
    Missing& missing = missing_[origin];
    if (upto < missing.upto && !missing.peer.empty()) return;
    // Entries that are being requested aren't requested from another peer at the same time.
    const bool requested = outstanding_ && outstanding_->peer == missing.peer;
    missing.upto = std::max(missing.upto, upto);
    if (!requested) missing.peer = peer;
  }

  // Returns the request to send now, if any: none is outstanding, or the outstanding one has timed out.
  std::optional<Request> Next(Time now, Span timeout, const KnownUpto& known_upto) {
    std::erase_if(missing_, [&](const auto& m) { return known_upto(m.first) >= m.second.upto; });
    if (missing_.empty()) outstanding_.reset();
    if (outstanding_ && now < outstanding_->until) return std::nullopt;
    if (outstanding_ && ++outstanding_->tries >= kMaxTries) Abandon(std::string(outstanding_->peer));
    if (missing_.empty()) return std::nullopt;
    Request request;
    request.peer = outstanding_ ? outstanding_->peer : missing_.begin()->second.peer;
    const int tries = outstanding_ ? outstanding_->tries : 0;
    for (const auto& [origin, missing] : missing_) {
      if (missing.peer == request.peer && request.pulls.size() < kMaxPulls)
        request.pulls.push_back({origin, known_upto(origin)});
    }
    if (request.pulls.empty()) {  // only entries of other peers are missing
      outstanding_.reset();
      return Next(now, timeout, known_upto);
    }
    request.number = ++last_number_;
    outstanding_ = Outstanding{request.peer, request.number, now + timeout, tries};
    return request;
  }
  void OnChunk(Time now, Span timeout, const std::string& peer, std::uint64_t number, bool last) {
    if (!outstanding_ || outstanding_->peer != peer || outstanding_->number != number) return;
    outstanding_->until = now + timeout;
    outstanding_->tries = 0;
    if (last) outstanding_.reset();
  }
  void Abandon(const std::string& peer) {
    std::erase_if(missing_, [&](const auto& m) { return m.second.peer == peer; });
    if (outstanding_ && outstanding_->peer == peer) outstanding_.reset();
    abandoned_ = peer;
  }
  // The peer that was abandoned since the last call, if any.
  std::optional<std::string> TakeAbandoned() { return std::exchange(abandoned_, std::nullopt); }

  bool empty() const { return missing_.empty(); }
  Time NextDue() const {
    return outstanding_ ? outstanding_->until : missing_.empty() ? Time::max() : Time::min();
  }

 private:
  struct Missing {
    Seq upto = 0;
    std::string peer;
  };
  struct Outstanding {
    std::string peer;
    std::uint64_t number = 0;
    Time until{};
    int tries = 0;
  };
  std::map<Origin, Missing> missing_;
  std::optional<Outstanding> outstanding_;
  std::optional<std::string> abandoned_;
  std::uint64_t last_number_ = 0;
};

}  // namespace kestrelline::replica

#endif  // KESTRELLINE_REPLICA_PULLER_H_
