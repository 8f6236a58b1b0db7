// SPDX-License-Identifier: Apache-2.0
//
// Two views made equal: digests by bucket, and only what differs travels. No I/O, no clock.
#ifndef KESTRELLINE_PEERS_EXCHANGE_H_
#define KESTRELLINE_PEERS_EXCHANGE_H_

#include <bitset>
#include <cstdint>
#include <vector>

#include "peers/message.h"
#include "peers/view.h"

namespace kestrelline::peers::exchange {

using Buckets = std::bitset<kBuckets>;

// Those in which a digest differs from the view's own; all of them for no digest.
Buckets Differing(const View& view, const std::vector<std::uint32_t>& digest);

// The statements of `buckets`, into copies of `base`, `most` datagrams at most: what has no place comes with
// another exchange, since `start` moves. `ends_whole`: those that have failed are stated with all there is,
// for one who has never heard of them.
std::vector<Message> Tell(const View& view, const Buckets& buckets, const Message& base, std::size_t start,
                          std::size_t most, bool ends_whole);

// What the view, having merged `told`, knows better or beyond it.
std::vector<Message> Answer(const View& view, const Message& told, const Message& base, std::size_t most);

}  // namespace kestrelline::peers::exchange

#endif  // KESTRELLINE_PEERS_EXCHANGE_H_
