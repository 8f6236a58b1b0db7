// SPDX-License-Identifier: Apache-2.0
#include "peers/settings.h"

#include <algorithm>
#include <array>
#include <filesystem>

#include "operator/values.h"

namespace kestrelline::peers {
namespace {

using operator_file::Diagnostics;
using operator_file::FormatDuration;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Milliseconds;
using operator_file::Position;
using operator_file::Section;
using operator_file::TableReader;

constexpr std::array kKeys{
    operator_file::Key{"listen", Kind::kText, "The UDP address of this proxy among its peers.", true},
    operator_file::Key{"advertise", Kind::kText, "Where the others write to; listen without it."},
    operator_file::Key{"seeds", Kind::kTexts, "Addresses of some of the fleet; this proxy's own may be one.",
                       true},
    operator_file::Key{"key_file", Kind::kText, "The file of the one key, or of two while they change.",
                       true},
    operator_file::Key{"detect_within", Kind::kDuration,
                       "By when a crash is known to a fleet of 16; 3s without it."},
    operator_file::Key{"probe_every", Kind::kDuration, "From one probe to the next; 200ms without it."},
    operator_file::Key{"forget_after", Kind::kDuration, "How long one that failed is missed; 1h without it."},
    operator_file::Key{"wire", Kind::kInteger, "The newest form of datagrams; 2 without it."},
};

constexpr Milliseconds kMinProbeInterval{50}, kMaxProbeInterval{5000}, kMinForgetAfter{10000};
constexpr Milliseconds kDefaultDetectWithin{3000};
constexpr std::size_t kDetectionFleetSize = 16;  // the fleet size for which detect_within is promised

Span InSpan(Milliseconds ms) { return std::chrono::duration_cast<Span>(ms); }

std::optional<Address> ReadAddress(const Spec::Text& text, Diagnostics* d, bool own) {
  if (!text) return std::nullopt;
  const auto address = ParseAddress(text->value);
  if (!address) {
    d->Add(text->at, "peers-address",
           "'" + text->value + "' is no IPv4 address with a port; names are not looked up: " +
               "\"127.0.0.1:7001\" is accepted");
  } else if (own && address->ip == 0) {
    d->Add(text->at, "peers-address",
           "others cannot write to 0.0.0.0; the address of one interface is accepted");
    return std::nullopt;
  }
  return address;
}

}  // namespace

Section PeersSection(Spec* spec) {
  return {{"peers", Kind::kTable, "Proxies that know each other: [peers]."},
          [spec](const TableReader& top, Diagnostics* diagnostics) {
            const toml::table* table = top.Table("peers");
            if (!table) return;
            const TableReader reader(*table, "peers", kKeys, diagnostics);
            spec->present = true;
            spec->at = reader.at();
            spec->listen = reader.Text("listen");
            spec->advertise = reader.Text("advertise");
            spec->seeds = reader.Texts("seeds");
            spec->key_file = reader.Text("key_file");
            spec->detect_within = reader.Duration("detect_within");
            spec->probe_every = reader.Duration("probe_every");
            spec->forget_after = reader.Duration("forget_after");
            spec->wire = reader.Integer("wire", wire::kOldestFormat, wire::kNewestFormat);
          }};
}

std::optional<Settings> Build(const Spec& spec, const BuildContext& context, Diagnostics* d) {
  if (!spec.present) return std::nullopt;
  if (context.allowed == false) {
    d->Add(spec.at, "peers-off",
           "the platform's settings say that proxies have no peers; without [peers] it starts");
    return std::nullopt;
  }
  Settings s;
  const bool named = !context.name.empty() && context.name.size() <= kMaxNameBytes &&
                     std::all_of(context.name.begin(), context.name.end(), IsPlain);
  if (!named)
    d->Add(spec.at, "peers-name", "this proxy's name has to be 1 to 64 printable characters without blanks");
  const auto listen = ReadAddress(spec.listen, d, !spec.advertise.has_value());
  const auto advertise = spec.advertise ? ReadAddress(spec.advertise, d, true) : listen;
  if (listen) s.listen = *listen;
  if (advertise) s.advertise = *advertise;
  if (spec.seeds) {
    if (spec.seeds->value.empty() || spec.seeds->value.size() > kMaxSeeds)
      d->Add(spec.seeds->at, "peers-seeds", "1 to 64 seeds are accepted");
    for (const auto& seed : spec.seeds->value)
      if (const auto address = ReadAddress(Spec::Text(seed), d, false)) s.seeds.push_back(*address);
  }
  if (spec.key_file) {
    s.key_file = (std::filesystem::path(context.folder) / spec.key_file->value).string();
    std::string why;
    if (auto keys = ReadKeys(s.key_file, &why)) {
      s.keys = std::move(*keys);
    } else {
      d->Add(spec.key_file->at, "peers-key", spec.key_file->value + ": " + why);
    }
  }
  if (spec.wire) s.wire = static_cast<std::uint8_t>(spec.wire->value);
  if (spec.forget_after) {
    if (spec.forget_after->value < kMinForgetAfter)
      d->Add(spec.forget_after->at, "range", "10s or more is accepted");
    s.times.failed_retention = InSpan(spec.forget_after->value);
    s.times.left_retention = std::min(s.times.left_retention, s.times.failed_retention);
  }
  if (spec.probe_every) {
    const Milliseconds every = spec.probe_every->value;
    if (every < kMinProbeInterval || every > kMaxProbeInterval)
      d->Add(spec.probe_every->at, "range", "a probe every 50ms to 5s is accepted");
    const Times defaults;
    s.times.period = InSpan(every);
    // The other times keep their proportion to the probe interval.
    const double scale = every / Milliseconds(200);
    const auto scaled = [&](Span span) {
      return std::chrono::duration_cast<Span>(std::chrono::duration<double>(span) * scale);
    };
    s.times.min_suspicion = scaled(defaults.min_suspicion);
    s.times.digest_interval = scaled(defaults.digest_interval);
    s.times.digest_retry_interval = scaled(defaults.digest_retry_interval);
    s.times.recent_contact = std::max(defaults.recent_contact, scaled(defaults.recent_contact));
  }
  const Milliseconds promised = spec.detect_within ? spec.detect_within->value : kDefaultDetectWithin;
  const Milliseconds needed = s.times.DetectionTime(kDetectionFleetSize);
  if (needed > promised) {
    d->Add(spec.detect_within ? spec.detect_within->at
           : spec.probe_every ? spec.probe_every->at
                              : spec.at,
           "peers-times",
           "with a probe every " + FormatDuration(std::chrono::duration_cast<Milliseconds>(s.times.period)) +
               " a crash is known within " + FormatDuration(needed) + ", not within " +
               FormatDuration(promised));
  }
  if (spec.forget_after && spec.forget_after->value < 2 * promised)
    d->Add(
        spec.forget_after->at, "peers-times",
        "who has failed would be forgotten before all know of it; at least twice detect_within is accepted");
  if (!d->ok()) return std::nullopt;
  return s;
}

}  // namespace kestrelline::peers
