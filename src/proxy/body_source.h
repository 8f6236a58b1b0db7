// SPDX-License-Identifier: Apache-2.0
//
// A body that comes in pieces, each asked for: who takes them slowly slows their sender and nobody else.
#ifndef KESTRELLINE_PROXY_BODY_SOURCE_H_
#define KESTRELLINE_PROXY_BODY_SOURCE_H_

#include <functional>
#include <string>

namespace kestrelline::proxy {

class BodySource {
 public:
  struct Piece {
    std::string bytes;
    bool last = false;    // none follows
    bool broken = false;  // the rest will never come
  };
  using OnPiece = std::function<void(Piece)>;

  virtual ~BodySource() = default;
  // Asks for the next piece, one at a time; `on_piece` is called once, perhaps within this call, unless Drop
  // is called first.
  virtual void Next(OnPiece on_piece) = 0;
  // Nobody asks for the rest any more.
  virtual void Drop() = 0;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_BODY_SOURCE_H_
