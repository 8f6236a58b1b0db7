// SPDX-License-Identifier: Apache-2.0
//
// What clients, proxies and servers of a simulation say to each other. A message is one of these records,
// held by both ends; delays between them are the simulation's.
#ifndef KESTRELLINE_SIM_WIRE_H_
#define KESTRELLINE_SIM_WIRE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "kestrelline/balancer.h"
#include "load/ledger.h"
#include "sim/kernel.h"
#include "standin/converter_model.h"

namespace kestrelline::sim {

// One try of a client's request, at one proxy.
struct Try {
  std::string id;                   // its Req-Id: new with each try
  std::uint64_t key_of_effect = 0;  // the Idempotency-Key: one for all tries of a request
  std::uint32_t request_class = 0, tenant = 0, object = 0;
  std::uint32_t node = 0;
  bool again = false;      // a client's retry
  double work_s = 0;       // what it costs a core of speed 1
  Microseconds due{0};     // its client gives up then
  std::uint64_t call = 0;  // of its client
  bool over = false;       // its client waits no more
  Microseconds left{-1};   // its answer leaves the proxy then; below 0: there is none
};

// One attempt of a proxy at a server.
struct Attempt {
  std::shared_ptr<const Try> of;
  std::uint32_t node = 0, host = 0;
  std::uint64_t node_life = 0, host_life = 0;
  kestrelline::RequestId request = 0;
  kestrelline::ServerId server = 0;
  int number = 0;
  Microseconds sent{0};
  bool waited_for = true;                // by the proxy: it has neither an answer nor given it up
  bool written = false;                  // its last byte may have come to the server
  bool began = false, finished = false;  // at the server, as the ledger was told
  bool kept = false;                     // on a connection that had served before
  Microseconds hold{0};                  // its last byte is written so much later than the others
  bool broke = false;                    // its connection broke before any of its answer came
  standin::JobId job = 0;
};
using AttemptPtr = std::shared_ptr<Attempt>;

struct Answer {
  load::Answer kind = load::Answer::kFailed;
  Microseconds retry_after{0};  // 0: no advice
  std::string made_for;         // served: the Req-Id that its body was made for
};

}  // namespace kestrelline::sim

#endif  // KESTRELLINE_SIM_WIRE_H_
