// SPDX-License-Identifier: Apache-2.0
//
// Divides the descriptors of the process between client and backend connections. Works on counts only: no
// I/O, no clock.
//
// Each side has its own share. Half of what the other side neither uses nor is likely to need soon (a quarter
// of its share is reserved) may be borrowed. Borrowed descriptors count against the lender, so that both
// sides together never hold more than the sum of the shares. The lender gets them back as connections end:
// near their limit, client connections are closed after each response.
#ifndef KESTRELLINE_PROXY_DESCRIPTORS_H_
#define KESTRELLINE_PROXY_DESCRIPTORS_H_

#include <cstddef>

namespace kestrelline::proxy {

class DescriptorShares {
 public:
  // `clients` and `backends`: the shares, as numbers of descriptors.
  constexpr DescriptorShares(std::size_t clients, std::size_t backends)
      : clients_(clients), backends_(backends) {}

  constexpr std::size_t clients() const { return clients_; }  // without what may be borrowed

  // The maximum of one side, given the number of open connections of the other side.
  constexpr std::size_t ForClients(std::size_t open_to_backends) const {
    return Limit(clients_, backends_, open_to_backends);
  }
  constexpr std::size_t ForBackends(std::size_t open_of_clients) const {
    return Limit(backends_, clients_, open_of_clients);
  }

 private:
  static constexpr std::size_t Limit(std::size_t own, std::size_t others, std::size_t used_by_others) {
    if (used_by_others > others) {
      const std::size_t lent = used_by_others - others;
      return lent < own ? own - lent : 0;
    }
    const std::size_t spare = others - used_by_others, reserve = others / 4;
    return own + (spare > reserve ? (spare - reserve) / 2 : 0);
  }

  std::size_t clients_, backends_;
};

}  // namespace kestrelline::proxy

#endif  // KESTRELLINE_PROXY_DESCRIPTORS_H_
