// SPDX-License-Identifier: Apache-2.0
//
// A request's body on its way from a client to a server, and what its state means for another attempt. No
// I/O, no clock.
//
// The first bytes are kept. As long as nothing that came after them has been given away, an attempt that
// could not be made costs nothing: the next one begins at the first byte. The first piece beyond them binds
// the request to the attempt that takes it.
#ifndef KESTRELLINE_BODIES_PASSAGE_H_
#define KESTRELLINE_BODIES_PASSAGE_H_

#include <cstddef>
#include <utility>

namespace kestrelline::bodies {

class Passage {
 public:
  static constexpr std::size_t kMaxBuffered = 64 * 1024;

  // What an attempt that asks for more gets.
  enum class Step {
    kSendBuffered,  // the kept bytes that it has not had
    kAwaitClient,   // what the client sends next
    kEnd,           // all has been given
    kBroken,        // the rest will never come
  };

  // `kept`: bytes that have come already; `whole`: they are all.
  explicit Passage(std::size_t buffered, bool complete = false) : buffered_(buffered), complete_(complete) {}

  // Another attempt, from the first byte. False if there can be none.
  bool Begin() {
    if (dropped_ || broken_) return false;
    sent_ = 0;
    return true;
  }
  Step Next() const {
    if (broken_) return Step::kBroken;
    if (sent_ < buffered_) return Step::kSendBuffered;
    return complete_ ? Step::kEnd : Step::kAwaitClient;
  }
  // The attempt has all of the kept bytes; how many of them it had before.
  std::size_t TakeBuffered() { return std::exchange(sent_, buffered_); }
  // A piece has come that nobody waits for: whoever asked for it has failed since. It is kept too; no other
  // is asked for before there is an attempt again.
  void Keep(std::size_t bytes, bool last) {
    buffered_ += bytes;
    complete_ |= last;
  }
  // A piece beyond the kept bytes has come and goes to the attempt that waits. True if it is the first.
  bool Pass(bool last) {
    const bool first = !dropped_;
    dropped_ = true;
    buffered_ = sent_ = 0;
    complete_ |= last;
    return first;
  }
  void Break() { broken_ = !complete_; }

  bool dropped() const { return dropped_; }
  bool complete() const { return complete_; }
  bool broken() const { return broken_; }

 private:
  std::size_t buffered_, sent_ = 0;
  bool complete_, dropped_ = false, broken_ = false;
};

}  // namespace kestrelline::bodies

#endif  // KESTRELLINE_BODIES_PASSAGE_H_
