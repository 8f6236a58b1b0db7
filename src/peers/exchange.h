// SPDX-License-Identifier: Apache-2.0
//
// Anti-entropy between two membership views: digests are compared bucket by bucket, and only the entries of
// buckets that differ are sent. No I/O, no clock.
#ifndef KESTRELLINE_PEERS_EXCHANGE_H_
#define KESTRELLINE_PEERS_EXCHANGE_H_

#include <bitset>
#include <cstdint>
#include <vector>

#include "peers/message.h"
#include "peers/view.h"

namespace kestrelline::peers::exchange {

using Buckets = std::bitset<kBuckets>;

// The buckets whose digest differs from the view's own; all buckets if `digest` is empty.
Buckets DifferingBuckets(const View& view, const std::vector<std::uint32_t>& digest);

// Copies of `base` that carry the view's statements about `buckets`, beginning with bucket `start`. At most
// `max_datagrams`; what doesn't fit follows in a later exchange, since callers vary `start`.
// `include_failed_details`: failed members are sent with address and zone, for a receiver that has never
// heard of them.
std::vector<Message> BuildEntries(const View& view, const Buckets& buckets, const Message& base,
                                  std::size_t start, std::size_t max_datagrams, bool include_failed_details);

// The entries that are newer in `view` than in `received`, or that `received` lacks. `view` must have merged
// `received` already.
std::vector<Message> BuildReply(const View& view, const Message& received, const Message& base,
                                std::size_t max_datagrams);

}  // namespace kestrelline::peers::exchange

#endif  // KESTRELLINE_PEERS_EXCHANGE_H_
