// SPDX-License-Identifier: Apache-2.0
//
// Charts, as data, and the script that has gnuplot draw them. No I/O: see gnuplot.h for the drawing.
#ifndef KESTRELLINE_CHARTS_CHART_H_
#define KESTRELLINE_CHARTS_CHART_H_

#include <string>
#include <utility>
#include <vector>

namespace kestrelline::charts {

struct Point {
  double x = 0, y = 0;
  double low = 0, high = 0;  // of y, where the chart shows intervals
};
struct Series {
  std::string name;
  std::vector<Point> points;
};
// What explains a peak: a fault, from `from` to `to` on the x axis.
struct Span {
  double from = 0, to = 0;
  std::string label;
};

struct Chart {
  enum class Kind {
    kLines,      // series over x; a point that is no finite number interrupts its line
    kIntervals,  // points with intervals, one row each, named by x_names; a line at 0
    kHeat        // of the first series: z is `high`, at whole x and y
  };
  Kind kind = Kind::kLines;
  std::string title, x_label, y_label;
  bool log_y = false;
  std::vector<Series> series;
  std::vector<Span> spans;
  std::vector<std::pair<double, std::string>> x_names, y_names;  // in place of numbers
};

enum class Format { kSvg, kPng };

// Names may hold anything: they are written as text, without control characters, and cut to 60.
// The picture goes to standard output.
std::string Script(const Chart& chart, Format format);

}  // namespace kestrelline::charts

#endif  // KESTRELLINE_CHARTS_CHART_H_
