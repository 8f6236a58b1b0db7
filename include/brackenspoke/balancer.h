// SPDX-License-Identifier: Apache-2.0
//
// Deprecated: include "kestrelline/balancer.h" and use namespace kestrelline. Forwards to that header and
// keeps the namespace under its former name, so that programs written for the library's old name still
// compile.
#ifndef BRACKENSPOKE_BALANCER_H_
#define BRACKENSPOKE_BALANCER_H_

#include "kestrelline/balancer.h"

namespace brackenspoke = kestrelline;

#endif  // BRACKENSPOKE_BALANCER_H_
