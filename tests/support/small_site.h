// SPDX-License-Identifier: Apache-2.0
//
// A stand-in site to start from: one proxy, three classes without spread, converters of one core, each in a
// cell of its own.
#ifndef KESTRELLINE_TESTS_SUPPORT_SMALL_SITE_H_
#define KESTRELLINE_TESTS_SUPPORT_SMALL_SITE_H_

#include <string>
#include <utility>

#include "standin/site.h"

namespace kestrelline::testing {

inline load::Microseconds Ms(std::int64_t ms) { return load::Microseconds(ms * 1000); }

inline standin::SiteSpec SmallSite(int converters = 2) {
  standin::SiteSpec site;
  site.proxies = 1;
  site.zones = {"a"};
  for (const auto& [name, effect] : {std::pair{"look", load::Effect::kSafe},
                                     {"change", load::Effect::kKeyed},
                                     {"book", load::Effect::kUnsafe}}) {
    standin::SiteClass c;
    c.name = name, c.effect = effect, c.work_s = 0.001, c.spread = 0, c.deadline = Ms(60000);
    c.answer_bytes = 1000;
    site.classes.push_back(c);
  }
  for (int i = 0; i < converters; ++i) {
    standin::ConverterSpec c;
    c.id = (i < 10 ? "s-0" : "s-") + std::to_string(i), c.zone = "a", c.kind = "m", c.cell = i, c.cores = 1;
    site.converters.push_back(c);
  }
  return site;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_SMALL_SITE_H_
