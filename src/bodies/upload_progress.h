// SPDX-License-Identifier: Apache-2.0
//
// Progress of a streamed request body from a client to a backend, and whether another attempt is possible. No
// I/O, no clock.
//
// The first bytes are buffered. Until a later piece is passed on, a failed attempt can be repeated from the
// first byte. The first piece that is passed on without being buffered binds the request to its attempt: the
// buffer is dropped.
#ifndef KESTRELLINE_BODIES_UPLOAD_PROGRESS_H_
#define KESTRELLINE_BODIES_UPLOAD_PROGRESS_H_

#include <cstddef>
#include <utility>

namespace kestrelline::bodies {

class UploadProgress {
 public:
  static constexpr std::size_t kMaxBuffered = 64 * 1024;

  // What an attempt gets when it asks for the next piece.
  enum class Step {
    kSendBuffered,  // the buffered bytes that it has not sent yet
    kAwaitClient,   // the next piece from the client
    kEnd,           // nothing: the body is complete
    kBroken,        // nothing: the body was cut off
  };

  // `buffered`: bytes already read; `complete`: they are the whole body.
  explicit UploadProgress(std::size_t buffered, bool complete = false)
      : buffered_(buffered), complete_(complete) {}

  // Starts another attempt from the first byte. False if that is not possible.
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
  // The attempt takes all buffered bytes. Returns how many of them it had before.
  std::size_t TakeBuffered() { return std::exchange(sent_, buffered_); }
  // A piece was read after the attempt that requested it had failed. It is buffered as well; the next one is
  // read only when another attempt asks for it.
  void AppendBuffered(std::size_t bytes, bool last) {
    buffered_ += bytes;
    complete_ |= last;
  }
  // A piece beyond the buffered bytes goes to the waiting attempt. True if it is the first such piece.
  bool PassOn(bool last) {
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

#endif  // KESTRELLINE_BODIES_UPLOAD_PROGRESS_H_
