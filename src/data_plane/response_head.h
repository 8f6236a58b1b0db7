// SPDX-License-Identifier: Apache-2.0
//
// Checks the head of a response from a backend before anything of it is used. No I/O.
#ifndef KESTRELLINE_DATA_PLANE_RESPONSE_HEAD_H_
#define KESTRELLINE_DATA_PLANE_RESPONSE_HEAD_H_

#include "http/asio.h"

namespace kestrelline::data_plane {

// What a request asks for.
enum class ExpectedResponse {
  kAny,      // nothing of it reaches a client
  kPrefill,  // the handle of a KV cache
  kWhole,    // a body that is forwarded as a whole
  kEvents,   // a stream of events
};

enum class HeadFault {
  kNone,
  kStatus,         // outside of 200 to 599
  kRequestId,      // more than one Request-Id
  kContradiction,  // a success that says it has not run, or a status that means it without saying so
  kStamp,          // a success for a client without exactly one Server-Stamp
  kEncoding,       // an encoded body, which no client asks for
  kVersions,       // a Versions field that is no whole number, or more than one
  kContentType,    // a stream of another type than text/event-stream
};
// The name used in logs.
const char* Name(HeadFault fault);

HeadFault CheckHead(const http::bhttp::response<http::bhttp::buffer_body>& head, ExpectedResponse expected);

}  // namespace kestrelline::data_plane

#endif  // KESTRELLINE_DATA_PLANE_RESPONSE_HEAD_H_
