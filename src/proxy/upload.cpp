// SPDX-License-Identifier: Apache-2.0
#include "upload.h"

namespace kestrelline::proxy {

using Step = kestrelline::bodies::UploadProgress::Step;

bool Upload::Begin() {
  on_piece_ = nullptr;
  return progress_.Begin();
}

void Upload::Next(OnPiece on_piece) {
  switch (progress_.Next()) {
    case Step::kSendBuffered:
      return on_piece({buffered_.substr(progress_.TakeBuffered()), progress_.complete(), false});
    case Step::kAwaitClient:
      on_piece_ = std::move(on_piece);
      if (!std::exchange(read_requested_, true) && on_read_) on_read_();
      return;
    case Step::kEnd:
      return on_piece({{}, true, false});
    case Step::kBroken:
      return on_piece({{}, false, true});
  }
}

void Upload::Add(std::string piece, bool last, Steady::time_point at) {
  read_requested_ = false;
  if (last) due_ = at + deadline_;
  const auto waiting = std::exchange(on_piece_, nullptr);
  bool first = false;
  if (!waiting) {
    progress_.AppendBuffered(piece.size(), last);
    buffered_ += piece;
  } else if ((first = progress_.PassOn(last))) {
    buffered_ = {};
  }
  if ((first || last) && on_progress_) on_progress_();
  if (waiting) waiting({std::move(piece), last, false});
}

void Upload::Break() {
  progress_.Break();
  on_read_ = nullptr;
  if (const auto waiting = std::exchange(on_piece_, nullptr)) waiting({{}, false, true});
}

}  // namespace kestrelline::proxy
