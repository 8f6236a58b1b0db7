// SPDX-License-Identifier: Apache-2.0
//
// A proxy on loopback sockets with backends and a discovery that do as the test says.
#ifndef KESTRELLINE_TESTS_SUPPORT_LOOPBACK_H_
#define KESTRELLINE_TESTS_SUPPORT_LOOPBACK_H_

#include "support/backend.h"
#include "support/client.h"
#include "support/discovery.h"
#include "support/running_proxy.h"
#include "support/site.h"
#include "support/sockets.h"

#endif  // KESTRELLINE_TESTS_SUPPORT_LOOPBACK_H_
