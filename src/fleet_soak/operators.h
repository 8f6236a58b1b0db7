// SPDX-License-Identifier: Apache-2.0
//
// Operators of a soak run: changes of the configuration one after the other, races, what must be refused.
// Whoever gets no answer sends the same order to another member.
#ifndef KESTRELLINE_FLEET_SOAK_OPERATORS_H_
#define KESTRELLINE_FLEET_SOAK_OPERATORS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

#include "fleet_soak/fleet.h"
#include "fleet_soak/ledger.h"
#include "fleet_soak/site.h"

namespace kestrelline::fleet_soak {

class Operators {
 public:
  Operators(Fleet& fleet, const Site& site, Ledger& ledger, std::uint64_t seed);

  // Takes changes, races, invalid ones and repetitions; they are done in this order.
  void Queue(Trouble trouble) { queue_.push_back(trouble); }
  http::Awaitable<void> Run();
  bool idle() const { return queue_.empty() && !busy_; }
  std::uint64_t newest() const { return newest_; }
  // What is in force, as the leader says; nothing if none says so in time.
  http::Awaitable<std::optional<std::string>> Read();
  static std::uint64_t VersionOf(const std::string& text);

 private:
  http::Awaitable<void> Do(Trouble trouble);
  http::Awaitable<void> Race();
  http::Awaitable<void> SendInvalid();
  http::Awaitable<void> Repeat();
  Order Next();
  // The status that decides it: 200, 4xx; 0 if none came in time.
  http::Awaitable<int> Decide(std::string text, std::uint64_t builds_on);
  http::Awaitable<int> Send(Order order);
  http::Awaitable<std::optional<Response>> AskAnyMember(
      http::bhttp::request<http::bhttp::string_body> request);
  http::Awaitable<void> Refresh();
  void NoteBroken(const std::string& what) { ledger_.Note({fleet_.Now(), "CONFIG", "", "", what}); }

  Fleet& fleet_;
  const Site& site_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::deque<Trouble> queue_;
  bool busy_ = false;
  std::uint64_t newest_ = 0;  // as far as is known
  int salt_ = 0;
};

}  // namespace kestrelline::fleet_soak

#endif  // KESTRELLINE_FLEET_SOAK_OPERATORS_H_
