// SPDX-License-Identifier: Apache-2.0
//
// kestrelline-plugin-worker: started by the proxy only, which passes it a socket.
#include <sys/socket.h>

#include <cstdio>

#include "plugin/wire.h"
#include "plugin/worker/run.h"

int main() {
  int type = 0;
  socklen_t size = sizeof type;
  if (getsockopt(kestrelline::plugin::wire::kWorkerSocket, SOL_SOCKET, SO_TYPE, &type, &size) != 0 ||
      type != SOCK_SEQPACKET) {
    std::fprintf(stderr, "kestrelline-plugin-worker: can only be started by kestrelline\n");
    return 2;
  }
  return kestrelline::plugin::RunWorker(kestrelline::plugin::wire::kWorkerSocket);
}
