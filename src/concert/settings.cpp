// SPDX-License-Identifier: Apache-2.0
#include "concert/settings.h"

#include <array>
#include <string>

#include "operator/values.h"

namespace kestrelline::concert {
namespace {

using operator_file::Kind;
using operator_file::TableReader;

constexpr std::array kKeys{
    operator_file::Key{"reserve", Kind::kPercentage,
                       "The part of quotas and budgets that is divided for good; the rest goes to those that "
                       "live; 25% without it."},
    operator_file::Key{"lease", Kind::kDuration,
                       "After which what a proxy that is gone had is given to others; 2s without it."},
};

constexpr operator_file::Milliseconds kLeastLease{500}, kMostLease{60000};

}  // namespace

operator_file::Section ConcertSection(Spec* spec) {
  return {{"concert", Kind::kTable, "What proxies divide among those that live: [concert]; needs [peers]."},
          [spec](const TableReader& top, operator_file::Diagnostics* diagnostics) {
            const toml::table* table = top.Table("concert");
            if (!table) return;
            const TableReader reader(*table, "concert", kKeys, diagnostics);
            spec->there = true;
            spec->at = reader.at();
            spec->reserve = reader.Percentage("reserve");
            spec->lease = reader.Duration("lease");
          }};
}

std::optional<Settings> Build(const Spec& spec, const Around& around, operator_file::Diagnostics* d) {
  if (!spec.there) return std::nullopt;
  if (!around.peers) d->Add(spec.at, "concert", "[concert] needs [peers], which is not there or not right");
  if (around.balancers < 3)
    d->Add(spec.at, "concert",
           "the platform's settings name " + std::to_string(around.balancers) +
               " balancers: more than half of two is both, so that nothing could be given when one is gone; "
               "three are needed");
  Settings s;
  if (spec.reserve) s.reserve = spec.reserve->value;
  if (spec.lease) {
    if (spec.lease->value < kLeastLease || spec.lease->value > kMostLease)
      d->Add(spec.lease->at, "range", "500ms to 1m is accepted");
    s.lease = std::chrono::duration_cast<Span>(spec.lease->value);
  }
  if (!d->ok()) return std::nullopt;
  return s;
}

}  // namespace kestrelline::concert
