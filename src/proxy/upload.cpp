// SPDX-License-Identifier: Apache-2.0
#include "upload.h"

namespace kestrelline::proxy {

using Step = kestrelline::bodies::Passage::Step;

bool Upload::Begin() {
  waiting_ = nullptr;
  return passage_.Begin();
}

void Upload::Next(OnPiece on_piece) {
  switch (passage_.Next()) {
    case Step::kKept:
      return on_piece({kept_.substr(passage_.GiveKept()), passage_.whole(), false});
    case Step::kAwait:
      waiting_ = std::move(on_piece);
      if (!std::exchange(wanting_, true) && want_) want_();
      return;
    case Step::kNothing:
      return on_piece({{}, true, false});
    case Step::kBroken:
      return on_piece({{}, false, true});
  }
}

void Upload::Add(std::string piece, bool last, Steady::time_point at) {
  wanting_ = false;
  if (last) due_ = at + deadline_;
  const auto waiting = std::exchange(waiting_, nullptr);
  bool first = false;
  if (!waiting) {
    passage_.Keep(piece.size(), last);
    kept_ += piece;
  } else if ((first = passage_.Pass(last))) {
    kept_ = {};
  }
  if ((first || last) && news_) news_();
  if (waiting) waiting({std::move(piece), last, false});
}

void Upload::Break() {
  passage_.Break();
  want_ = nullptr;
  if (const auto waiting = std::exchange(waiting_, nullptr)) waiting({{}, false, true});
}

}  // namespace kestrelline::proxy
