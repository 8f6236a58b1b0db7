// SPDX-License-Identifier: Apache-2.0
//
// Has gnuplot draw charts: Debian's gnuplot-nox, found by PATH.
#ifndef KESTRELLINE_CHARTS_GNUPLOT_H_
#define KESTRELLINE_CHARTS_GNUPLOT_H_

#include <optional>
#include <string>
#include <vector>

#include "charts/chart.h"

namespace kestrelline::charts {

// Writes NAME.svg and NAME.png into `folder`, and gives the SVG as Svg does. Nothing if gnuplot is not there
// or failed: why is in `why`.
std::optional<std::string> Draw(const Chart& chart, const std::string& folder, const std::string& name,
                                std::string* why);

// To be put into a page: without the XML declaration. Nothing as above.
std::optional<std::string> Svg(const Chart& chart, std::string* why);

}  // namespace kestrelline::charts

#endif  // KESTRELLINE_CHARTS_GNUPLOT_H_
