// SPDX-License-Identifier: Apache-2.0
//
// Pages of HTML that need nothing else: their head, and text that is no markup.
#ifndef KESTRELLINE_CHARTS_PAGE_H_
#define KESTRELLINE_CHARTS_PAGE_H_

#include <string>

namespace kestrelline::charts {

std::string Escaped(const std::string& text);

// Up to and with the heading. `title` may hold anything.
std::string PageHead(const std::string& title);

}  // namespace kestrelline::charts

#endif  // KESTRELLINE_CHARTS_PAGE_H_
