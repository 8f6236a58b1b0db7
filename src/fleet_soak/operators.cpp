// SPDX-License-Identifier: Apache-2.0
#include "fleet_soak/operators.h"

#include <algorithm>
#include <utility>

namespace kestrelline::fleet_soak {

using namespace http;

namespace {

constexpr Time kMemberTimeout{1000};  // with one member, then another one is asked
constexpr Time kBetweenTries{50};
constexpr Time kDecidedWithin{20000};
constexpr Time kLookForOrders{10};
constexpr int kTaken = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 412;

// Of `http://IP:PORT/path`, the IP.
std::string HostOf(std::string_view location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme)) return "";
  location.remove_prefix(kScheme.size());
  return std::string(location.substr(0, location.find(':')));
}

}  // namespace

Operators::Operators(Fleet& fleet, const Site& site, Ledger& ledger, std::uint64_t seed)
    : fleet_(fleet), site_(site), ledger_(ledger), random_(seed) {}

std::uint64_t Operators::VersionOf(const std::string& text) {
  const std::string field = "\"version\":";
  const std::size_t at = text.find(field);
  return at == std::string::npos ? 0 : std::stoull(text.substr(at + field.size()));
}

Awaitable<void> Operators::Run() {
  while (true) {
    if (queue_.empty()) {
      co_await fleet_.Sleep(kLookForOrders);
      continue;
    }
    busy_ = true;
    const Trouble trouble = queue_.front();
    queue_.pop_front();
    co_await Do(trouble);
    busy_ = false;
  }
}

Awaitable<void> Operators::Do(Trouble trouble) {
  if (trouble == Trouble::kRace) co_return co_await Race();
  if (trouble == Trouble::kInvalid) co_return co_await SendInvalid();
  if (trouble == Trouble::kRepeat) co_return co_await Repeat();
  const int status = co_await Send(Next());
  if (status != kTaken) co_await Refresh();
}

Order Operators::Next() {
  Order order;
  order.version = newest_ + 1 + random_() % 2;
  order.builds_on = newest_;
  order.text = site_.Configuration(order.version, ++salt_);
  return order;
}

Awaitable<int> Operators::Send(Order order) {
  const std::size_t index = ledger_.orders.size();
  ledger_.orders.push_back(order);
  const int status = co_await Decide(order.text, order.builds_on);
  if (status == kTaken) {
    ledger_.orders[index].acknowledged = fleet_.Now();
    newest_ = std::max(newest_, order.version);
  }
  co_return status;
}

// Two at once: at most one may be taken.
Awaitable<void> Operators::Race() {
  const Order one = Next();
  const Order other = Next();
  bool other_done = false;
  const auto send_other = [&]() -> Awaitable<void> {
    co_await Send(other);
    other_done = true;
  };
  asio::co_spawn(fleet_.io(), send_other(), asio::detached);
  co_await Send(one);
  while (!other_done) co_await fleet_.Sleep(kLookForOrders);
  co_await Refresh();
}

Awaitable<void> Operators::SendInvalid() {
  const std::uint64_t kind = random_() % 3;
  std::string text = site_.Configuration(newest_ + 1, ++salt_);
  std::uint64_t builds_on = newest_;
  int expected = kBadRequest;
  if (kind == 0) text.resize(text.size() / 2);
  if (kind == 1) text = site_.Configuration(newest_, salt_);  // not above the current one
  if (kind == 2) {
    builds_on = newest_ + 7;  // no such version
    text = site_.Configuration(builds_on + 1, salt_);
    expected = kConflict;
  }
  const int status = co_await Decide(text, builds_on);
  if (status == kTaken) NoteBroken("an order that should get " + std::to_string(expected) + " got 200");
}

Awaitable<void> Operators::Repeat() {
  const auto last = std::find_if(ledger_.orders.rbegin(), ledger_.orders.rend(),
                                 [](const Order& order) { return order.acknowledged.has_value(); });
  if (last == ledger_.orders.rend()) co_return;
  const Order order = *last;
  const int status = co_await Decide(order.text, order.builds_on);
  if (status == 0 || status == kTaken) co_return;
  NoteBroken("version " + std::to_string(order.version) + ", acknowledged, got " + std::to_string(status) +
             " when sent again");
}

Awaitable<int> Operators::Decide(std::string text, std::uint64_t builds_on) {
  bhttp::request<bhttp::string_body> request(bhttp::verb::put, "/-/config", 11);
  request.set(bhttp::field::if_match, std::to_string(builds_on));
  request.body() = std::move(text);
  const auto answer = co_await AskAnyMember(request);
  co_return answer ? static_cast<int>(answer->result_int()) : 0;
}

// Until one decides: goes where it is sent, and on to another one where there is no answer, or 503.
Awaitable<std::optional<Response>> Operators::AskAnyMember(bhttp::request<bhttp::string_body> request) {
  const Time until = fleet_.Now() + kDecidedWithin;
  const int members = static_cast<int>(fleet_.cores.size());
  int member = static_cast<int>(random_() % fleet_.cores.size());
  while (fleet_.Now() < until) {
    auto answer = co_await AskOnce(fleet_.io(), site_.ControlRelay(member), request, kMemberTimeout);
    if (answer && answer->result() == bhttp::status::temporary_redirect) {
      const std::string host = HostOf(std::string_view((*answer)[bhttp::field::location]));
      for (int i = 0; i < members; ++i) {
        if (site_.Control(i).ip == host) member = i;
      }
    } else if (answer && answer->result_int() / 100 != 5) {
      co_return answer;
    } else {
      member = (member + 1) % members;
    }
    co_await fleet_.Sleep(kBetweenTries);
  }
  co_return std::nullopt;
}

Awaitable<std::optional<std::string>> Operators::Read() {
  const auto answer = co_await AskAnyMember({bhttp::verb::get, "/-/config", 11});
  if (!answer || answer->result() != bhttp::status::ok) co_return std::nullopt;
  co_return answer->body();
}

Awaitable<void> Operators::Refresh() {
  if (const auto text = co_await Read()) newest_ = VersionOf(*text);
}

}  // namespace kestrelline::fleet_soak
