// SPDX-License-Identifier: Apache-2.0
//
// The charts of an experiment, and one page of HTML with all of it. No I/O.
#ifndef KESTRELLINE_LAB_REPORT_H_
#define KESTRELLINE_LAB_REPORT_H_

#include <string>
#include <utility>
#include <vector>

#include "charts/chart.h"
#include "lab/analysis.h"

namespace kestrelline::lab {

// By the name of their file. `faults`: of the base's site, marked where time is an axis.
std::vector<std::pair<std::string, charts::Chart>> Charts(const Experiment& experiment,
                                                          const std::vector<Record>& records,
                                                          const Analysis& analysis,
                                                          const std::vector<standin::Fault>& faults);

// `drawn`: a chart's name and its SVG, or why it could not be drawn.
std::string Page(const Experiment& experiment, const Analysis& analysis, const std::string& experiment_text,
                 const std::vector<std::pair<std::string, std::string>>& drawn);

}  // namespace kestrelline::lab

#endif  // KESTRELLINE_LAB_REPORT_H_
