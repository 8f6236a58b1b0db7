// SPDX-License-Identifier: Apache-2.0
//
// Memory for bodies that pass through in pieces: one total, shared fairly. No I/O, no clock.
//
// Each pipe may hold one piece at a time. How limit it may be is asked before each is read: an even part of
// the total, within bounds. The least of each is set aside when it joins, so that whatever the others hold, a
// pipe that is open can always go on, and all together never pass the total.
// A quarter is never given out as more than the least: peers that stand still with limit pieces must not keep
// newcomers out.
#ifndef KESTRELLINE_BODIES_BUDGET_H_
#define KESTRELLINE_BODIES_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace kestrelline::bodies {

class Budget {
 public:
  static constexpr std::size_t kMinPiece = 4 * 1024, kMaxPiece = 64 * 1024;  // of one piece
  // Of the process's memory. A byte of a piece is held up to three times: as read, as taken out of its
  // framing, as it is written.
  static constexpr double kMemoryShare = 0.12;

  // `total`: bytes for all pieces.
  explicit Budget(std::size_t total) : state_(std::make_shared<State>()) { state_->total = total; }
  static std::size_t OfMemory(double memory_mb) {
    return static_cast<std::size_t>(memory_mb * kMemoryShare * 1024 * 1024);
  }
  // What is held beyond a smaller total is given back as pieces are passed on.
  void SetTotal(std::size_t total) { state_->total = total; }

  std::size_t used() const { return state_->held + state_->streams * kMinPiece; }
  std::size_t streams() const { return state_->streams; }

 private:
  struct State {
    std::size_t total = 0, streams = 0;
    std::size_t held = 0;  // beyond the least of each pipe
  };

 public:
  // One pipe's, from its first byte to its last. May outlive the Budget.
  class Share {
   public:
    explicit Share(std::shared_ptr<State> state) : state_(std::move(state)) { ++state_->streams; }
    ~Share() {
      Release();
      --state_->streams;
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // How limit the next piece may be, which is set aside until the next call.
    std::size_t Renew() {
      Release();
      const std::size_t fair = state_->total / std::max<std::size_t>(state_->streams, 1);
      const std::size_t in_use = state_->held + state_->streams * kMinPiece;
      const std::size_t limit = state_->total - state_->total / 4;
      const std::size_t free = limit > in_use ? limit - in_use : 0;
      extra_ = std::min({std::clamp(fair, kMinPiece, kMaxPiece) - kMinPiece, free});
      state_->held += extra_;
      return kMinPiece + extra_;
    }
    void Release() { state_->held -= std::exchange(extra_, 0); }

   private:
    std::shared_ptr<State> state_;
    std::size_t extra_ = 0;
  };

  // Null if there is no room for one more.
  std::unique_ptr<Share> Join() {
    if (used() + kMinPiece > state_->total) return nullptr;
    return std::make_unique<Share>(state_);
  }

 private:
  std::shared_ptr<State> state_;
};

}  // namespace kestrelline::bodies

#endif  // KESTRELLINE_BODIES_BUDGET_H_
