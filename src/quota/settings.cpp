// SPDX-License-Identifier: Apache-2.0
#include "quota/settings.h"

#include <array>
#include <string>

#include "operator/values.h"

namespace kestrelline::quota {
namespace {

using operator_file::Kind;
using operator_file::TableReader;

constexpr std::array kKeys{
    operator_file::Key{
        "reserve", Kind::kPercentage,
        "The part of quotas and budgets that is divided statically; the rest is granted to live "
        "proxies; default 25%."},
    operator_file::Key{"lease", Kind::kDuration,
                       "The time after which the share of a failed proxy is granted to others; default 2s."},
};

constexpr operator_file::Milliseconds kMinLease{500}, kMaxLease{60000};

}  // namespace

operator_file::Section QuotaSection(Spec* spec) {
  return {{"concert", Kind::kTable, "Division of quotas among the live proxies: [concert]; needs [peers]."},
          [spec](const TableReader& top, operator_file::Diagnostics* diagnostics) {
            const toml::table* table = top.Table("concert");
            if (!table) return;
            const TableReader reader(*table, "concert", kKeys, diagnostics);
            spec->present = true;
            spec->at = reader.at();
            spec->reserve = reader.Percentage("reserve");
            spec->lease = reader.Duration("lease");
          }};
}

std::optional<Settings> Build(const Spec& spec, const BuildContext& context,
                              operator_file::Diagnostics* diagnostics) {
  if (!spec.present) return std::nullopt;
  if (!context.peers)
    diagnostics->Add(spec.at, "concert", "[concert] needs [peers], which is missing or invalid");
  if (context.balancers < 3)
    diagnostics->Add(
        spec.at, "concert",
        "the platform's settings name " + std::to_string(context.balancers) +
            " balancers: a majority of two is both, so that nothing could be granted when one is gone; "
            "three are needed");
  Settings settings;
  if (spec.reserve) settings.reserve = spec.reserve->value;
  if (spec.lease) {
    if (spec.lease->value < kMinLease || spec.lease->value > kMaxLease)
      diagnostics->Add(spec.lease->at, "range", "500ms to 1m is accepted");
    settings.lease = std::chrono::duration_cast<Span>(spec.lease->value);
  }
  if (!diagnostics->ok()) return std::nullopt;
  return settings;
}

}  // namespace kestrelline::quota
