// SPDX-License-Identifier: Apache-2.0
#ifndef KESTRELLINE_TESTS_REPLICA_MESSAGE_FUZZ_H_
#define KESTRELLINE_TESTS_REPLICA_MESSAGE_FUZZ_H_

#include <cstddef>
#include <cstdint>

// What a peer that holds the key can send at worst, to a node that knows it and to a store of its own; ends
// the process if a bound does not hold. 1 if it could be read.
int ReplicaReads(const std::uint8_t* data, std::size_t size);

#endif  // KESTRELLINE_TESTS_REPLICA_MESSAGE_FUZZ_H_
