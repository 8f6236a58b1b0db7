// SPDX-License-Identifier: Apache-2.0
//
// Measures lookups in and loading of a route table with 10, 1,000 and 10,000 routes. Counters: allocations
// per lookup, and the peak heap use of a load. Results: docs/design/routes.md.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdlib>
#include <new>
#include <string>
#include <vector>

#include "support/routing_site.h"

namespace {

std::size_t allocations = 0, held = 0, peak_held = 0;

}  // namespace

// Replaced to count allocations. Not inlined, because the compiler would otherwise warn of a mismatch between
// new and free.
[[gnu::noinline]] void* operator new(std::size_t size) {
  void* place = std::malloc(size);
  if (place == nullptr) throw std::bad_alloc();
  ++allocations;
  held += malloc_usable_size(place);
  if (held > peak_held) peak_held = held;
  return place;
}
[[gnu::noinline]] void operator delete(void* place) noexcept {
  if (place != nullptr) held -= malloc_usable_size(place);
  std::free(place);
}
[[gnu::noinline]] void operator delete(void* place, std::size_t) noexcept {
  if (place != nullptr) held -= malloc_usable_size(place);
  std::free(place);
}

namespace {

using kestrelline::testing::LoadedRoutes;
using kestrelline::testing::TestRequest;

// A file with one route per customer: half by path, a quarter by path and tenant, a quarter by class and
// header; each with limits.
std::string RouteFile(int routes) {
  std::string text =
      "version = 1\n[budget.repeats]\nshare = \"20%\"\n[defaults]\nretry_budgets = \"repeats\"\nmax_attempts "
      "= 2\n";
  for (int i = 0; i < routes; ++i) {
    const std::string number = std::to_string(i);
    text += "[[route]]\nname = \"customer-" + number + "\"\n";
    if (i % 4 == 0) {
      text += "match = { class = \"convert\", header = { X-Office = \"" + number + "\" } }\n";
    } else if (i % 2 == 0) {
      text += "match = { path_prefix = \"/preview/" + number + "\", tenant = \"acme\" }\n";
    } else {
      text += "match.path_prefix = \"/certify/" + number + "/copies\"\n";
    }
    text += "attempt_timeout = \"400ms\"\nmax_in_flight = " + std::to_string(1 + i % 50) + "\n";
  }
  return text;
}

void BM_Find(benchmark::State& state) {
  const int routes = static_cast<int>(state.range(0));
  const LoadedRoutes built(RouteFile(routes));
  if (!built.routes) return state.SkipWithError(built.Said().c_str());
  std::vector<TestRequest> requests;
  for (int i = 0; i < 1024; ++i) {
    const std::string number = std::to_string(static_cast<int>(i * 7919L % routes));
    requests.push_back(
        i % 4 == 0   ? TestRequest(1, "/convert/doc-81723.pdf", 0, {{"x-office", number}})
        : i % 4 == 1 ? TestRequest(0, "/preview/" + number + "/page/7?size=large", 0, {{"x-office", "none"}})
        : i % 4 == 2 ? TestRequest(2, "/certify/" + number + "/copies/3", 1)
                     : TestRequest(2, "/certify/unknown/copies", 1));
  }
  const std::size_t before = allocations;
  std::size_t i = 0;
  for (auto _ : state) benchmark::DoNotOptimize(built.routes->Find(requests[i++ & 1023]));
  state.counters["allocations"] = static_cast<double>(allocations - before);
  state.counters["combinations"] = static_cast<double>(built.routes->combinations());
}
BENCHMARK(BM_Find)->Arg(10)->Arg(1000)->Arg(10000);

void BM_Load(benchmark::State& state) {
  const std::string text = RouteFile(static_cast<int>(state.range(0)));
  const std::size_t before = held;
  peak_held = held;
  std::size_t kept = 0;
  for (auto _ : state) {
    LoadedRoutes built(text);
    if (!built.routes) return state.SkipWithError(built.Said().c_str());
    built.spec = {};
    kept = held - before;
  }
  state.counters["file_MB"] = static_cast<double>(text.size()) / 1e6;
  state.counters["most_MB"] = static_cast<double>(peak_held - before) / 1e6;
  state.counters["kept_MB"] = static_cast<double>(kept) / 1e6;
}
BENCHMARK(BM_Load)->Arg(10)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
