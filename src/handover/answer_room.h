// SPDX-License-Identifier: Apache-2.0
//
// Room in memory for answers that are larger than the platform's 64 KiB. No I/O, no clock.
//
// The protocol says that no body is larger, and servers send larger ones all the same: an answer that is
// there is worth more than the rule that it breaks, as long as memory allows. All large answers together,
// from their first byte to the last that their client takes, stay under a stated total; one that finds no
// room is given up, which is nobody's fault but this process's.
#ifndef KESTRELLINE_HANDOVER_ANSWER_ROOM_H_
#define KESTRELLINE_HANDOVER_ANSWER_ROOM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace kestrelline::handover {

class AnswerRoom {
 public:
  static constexpr std::size_t kAlways = 64 * 1024;     // needs no room: the protocol's own
  static constexpr std::size_t kMostOne = 1024 * 1024;  // of one answer, however much room there is
  static constexpr double kShare = 0.125;               // of the process's memory, for all of them

  // Held for as long as the answer is; gives the room back. May outlive the AnswerRoom.
  class Lease {
   public:
    Lease(std::shared_ptr<std::size_t> used, std::size_t bytes) : used_(std::move(used)), bytes_(bytes) {
      *used_ += bytes_;
    }
    ~Lease() { *used_ -= bytes_; }
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;

   private:
    std::shared_ptr<std::size_t> used_;
    std::size_t bytes_;
  };

  enum class Verdict { kFits, kTooLarge, kNoRoom };
  struct Taken {
    Verdict verdict = Verdict::kFits;
    std::shared_ptr<const Lease> lease;  // null where none is needed
  };

  // `total` in bytes.
  explicit AnswerRoom(std::size_t total) : total_(total) {}
  static AnswerRoom OfMemory(double memory_mb) {
    return AnswerRoom(static_cast<std::size_t>(memory_mb * kShare * 1024 * 1024));
  }

  // For an answer of this length. What a server declares is believed no further than kMostOne.
  Taken Take(std::uint64_t bytes) {
    if (bytes <= kAlways) return {};
    if (bytes > kMostOne) return {Verdict::kTooLarge, nullptr};
    if (bytes > total_ || *used_ > total_ - bytes) return {Verdict::kNoRoom, nullptr};
    return {Verdict::kFits, std::make_shared<const Lease>(used_, static_cast<std::size_t>(bytes))};
  }
  std::size_t used() const { return *used_; }

 private:
  std::size_t total_;
  std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

}  // namespace kestrelline::handover

#endif  // KESTRELLINE_HANDOVER_ANSWER_ROOM_H_
