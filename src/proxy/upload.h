// SPDX-License-Identifier: Apache-2.0
//
// A streamed request body, between the session that reads it and the attempts that send it. For the effect on
// retries see bodies/upload_progress.h.
#ifndef KESTRELLINE_PROXY_UPLOAD_H_
#define KESTRELLINE_PROXY_UPLOAD_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "bodies/budget.h"
#include "bodies/upload_progress.h"
#include "body_source.h"
#include "clock.h"

namespace kestrelline::proxy {

class Upload : public BodySource {
 public:
  // `first`: the part read so far, which is buffered. `complete`: it is the whole body, as of `now`.
  // `deadline`: for the response, from the last byte of the body.
  Upload(std::string first, bool complete, Steady::time_point now, Steady::duration deadline,
         std::unique_ptr<kestrelline::bodies::Budget::Share> share)
      : buffered_(std::move(first)),
        deadline_(deadline),
        budget_share_(std::move(share)),
        progress_(buffered_.size(), complete),
        due_(now + deadline) {}

  // For the session. `on_read` is called when the next piece is needed; the session then calls Add or Break.
  void SetReadCallback(std::function<void()> on_read) { on_read_ = std::move(on_read); }
  std::size_t NextPieceSize() { return budget_share_->ReservePiece(); }
  void Add(std::string piece, bool last, Steady::time_point at);
  void Break();
  bool complete() const { return progress_.complete(); }

  // For the proxy. `on_progress` is called when part of the body is no longer buffered, which rules out a
  // retry, and when the last byte was read.
  void SetProgressCallback(std::function<void()> on_progress) { on_progress_ = std::move(on_progress); }
  bool body_dropped() const { return progress_.dropped(); }
  Steady::time_point due() const { return due_; }  // valid once complete
  Steady::duration deadline() const { return deadline_; }

  // For an attempt: starts over from the first byte. False if that is no longer possible.
  bool Begin();
  void Next(OnPiece on_piece) override;
  void Drop() override { on_piece_ = nullptr; }

 private:
  std::string buffered_;
  Steady::duration deadline_;
  std::unique_ptr<kestrelline::bodies::Budget::Share> budget_share_;
  kestrelline::bodies::UploadProgress progress_;
  Steady::time_point due_{};
  std::function<void()> on_read_, on_progress_;
  OnPiece on_piece_;
  bool read_requested_ = false;  // a piece was requested and has not arrived
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_UPLOAD_H_
