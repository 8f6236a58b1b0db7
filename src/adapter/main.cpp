// SPDX-License-Identifier: Apache-2.0
//
// Entry point of the adapter: serves the simulator's wire protocol on standard input and output.
#include <exception>
#include <iostream>

#include "codec.h"
#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  kestrelline::adapter::Host host(std::cerr);
  try {
    while (const auto batch = kestrelline::adapter::ReadBatch(std::cin)) {
      std::cout << host.Answer(*batch) << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "brackenspoke_adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
