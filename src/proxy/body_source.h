// SPDX-License-Identifier: Apache-2.0
//
// A message body that is pulled piece by piece. A slow consumer slows down its own producer only.
#ifndef KESTRELLINE_PROXY_BODY_SOURCE_H_
#define KESTRELLINE_PROXY_BODY_SOURCE_H_

#include <functional>
#include <string>

namespace kestrelline::proxy {

class BodySource {
 public:
  struct Piece {
    std::string bytes;
    bool last = false;    // the body ends with this piece
    bool broken = false;  // the body was cut off; `bytes` is empty
  };
  using OnPiece = std::function<void(Piece)>;

  virtual ~BodySource() = default;
  // Requests the next piece; only one request may be outstanding. `on_piece` is called once, possibly from
  // within this call, unless Drop is called first.
  virtual void Next(OnPiece on_piece) = 0;
  // Abandons the rest of the body.
  virtual void Drop() = 0;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_BODY_SOURCE_H_
