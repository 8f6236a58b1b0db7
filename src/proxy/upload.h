// SPDX-License-Identifier: Apache-2.0
//
// The body of one request that is passed on as it comes: between the session that reads it and the attempts
// that write it. See bodies/passage.h for what it means to repeats.
#ifndef KESTRELLINE_PROXY_UPLOAD_H_
#define KESTRELLINE_PROXY_UPLOAD_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "bodies/budget.h"
#include "bodies/passage.h"
#include "body_source.h"
#include "clock.h"

namespace kestrelline::proxy {

class Upload : public BodySource {
 public:
  // `first`: what has come so far, which is kept. `deadline`: of the answer, from the last byte on.
  // `whole`: that was all, as of `now`.
  Upload(std::string first, bool complete, Steady::time_point now, Steady::duration deadline,
         std::unique_ptr<kestrelline::bodies::Budget::Share> share)
      : buffered_(std::move(first)),
        deadline_(deadline),
        budget_share_(std::move(share)),
        passage_(buffered_.size(), complete),
        due_(now + deadline) {}

  // The session's side. `want`: more is to be read, which ends in Add or Break.
  void SetReadCallback(std::function<void()> on_read) { on_read_ = std::move(on_read); }
  std::size_t NextPieceSize() { return budget_share_->Renew(); }
  void Add(std::string piece, bool last, Steady::time_point at);
  void Break();
  bool complete() const { return passage_.complete(); }

  // The proxy's: `news` is called when the request is bound to its attempt, and when its last byte has come.
  void SetProgressCallback(std::function<void()> on_progress) { on_progress_ = std::move(on_progress); }
  bool body_dropped() const { return passage_.dropped(); }
  Steady::time_point due() const { return due_; }  // once it is whole
  Steady::duration deadline() const { return deadline_; }

  // The attempt's. False if there can be none any more.
  bool Begin();
  void Next(OnPiece on_piece) override;
  void Drop() override { on_piece_ = nullptr; }

 private:
  std::string buffered_;
  Steady::duration deadline_;
  std::unique_ptr<kestrelline::bodies::Budget::Share> budget_share_;
  kestrelline::bodies::Passage passage_;
  Steady::time_point due_{};
  std::function<void()> on_read_, on_progress_;
  OnPiece on_piece_;
  bool read_requested_ = false;  // more is being read
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_UPLOAD_H_
