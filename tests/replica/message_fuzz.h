// SPDX-License-Identifier: Apache-2.0
#ifndef KESTRELLINE_TESTS_REPLICA_MESSAGE_FUZZ_H_
#define KESTRELLINE_TESTS_REPLICA_MESSAGE_FUZZ_H_

#include <cstddef>
#include <cstdint>

// Passes bytes to a replica node as if a member that has the fleet's key had sent them. Ends the process if a
// limit is exceeded. Returns 1 if the bytes are a message, 0 otherwise.
int DecodesAsReplicaMessage(const std::uint8_t* data, std::size_t size);

#endif  // KESTRELLINE_TESTS_REPLICA_MESSAGE_FUZZ_H_
