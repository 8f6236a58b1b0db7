// SPDX-License-Identifier: Apache-2.0
//
// Memory budget for streamed bodies: one total, divided fairly. No I/O, no clock.
//
// Each stream holds one piece at a time, whose size is decided before each read: an even part of the total,
// within bounds. The minimum size is reserved for each stream when it joins, so that an open stream can
// always continue and all streams together never exceed the total. A quarter of the total is never used for
// pieces above the minimum: stalled peers with large pieces must not keep new streams out.
#ifndef KESTRELLINE_BODIES_BUDGET_H_
#define KESTRELLINE_BODIES_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace kestrelline::bodies {

class Budget {
 public:
  static constexpr std::size_t kMinPiece = 4 * 1024, kMaxPiece = 64 * 1024;  // size of one piece, in bytes
  // Of the memory of the process. Each byte of a piece may be held three times: as read, without its framing,
  // and as written.
  static constexpr double kMemoryShare = 0.12;

  // `total`: bytes for the pieces of all streams.
  explicit Budget(std::size_t total) : state_(std::make_shared<State>()) { state_->total = total; }
  static std::size_t OfMemory(double memory_mb) {
    return static_cast<std::size_t>(memory_mb * kMemoryShare * 1024 * 1024);
  }
  // After a reduction, streams shrink to the new total as their pieces are sent.
  void SetTotal(std::size_t total) { state_->total = total; }

  std::size_t used() const { return state_->held + state_->streams * kMinPiece; }
  std::size_t streams() const { return state_->streams; }

 private:
  struct State {
    std::size_t total = 0, streams = 0;
    std::size_t held = 0;  // beyond the minimum of each stream
  };

 public:
  // The share of one stream, for its lifetime. May outlive the Budget.
  class Share {
   public:
    explicit Share(std::shared_ptr<State> state) : state_(std::move(state)) { ++state_->streams; }
    ~Share() {
      Release();
      --state_->streams;
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Returns the size of the next piece, which stays reserved until the next call.
    std::size_t ReservePiece() {
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

  // Returns null if not even the minimum is left.
  std::unique_ptr<Share> Join() {
    if (used() + kMinPiece > state_->total) return nullptr;
    return std::make_unique<Share>(state_);
  }

 private:
  std::shared_ptr<State> state_;
};

}  // namespace kestrelline::bodies

#endif  // KESTRELLINE_BODIES_BUDGET_H_
