// SPDX-License-Identifier: Apache-2.0
//
// Random walks of the SPIN models. SOURCE_PATH is set by the build.
#ifndef KESTRELLINE_TESTS_SUPPORT_SPIN_WALK_H_
#define KESTRELLINE_TESTS_SUPPORT_SPIN_WALK_H_

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <vector>

#include "support/temporary.h"

namespace kestrelline::testing {

// The lines that a walk prints.
inline std::vector<std::string> Walk(const std::string& model, const std::string& more, int seed) {
  static const TemporaryFolder folder;  // spin writes beside itself
  const std::string command = "cd " + folder.path() + " && spin -T -u400 -n" + std::to_string(seed) + " " +
                              more + " " + SOURCE_PATH + "/models/" + model + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  if (!pipe) throw std::runtime_error("spin cannot be started");
  std::vector<std::string> lines;
  char text[256];
  while (std::fgets(text, sizeof text, pipe)) {
    std::string line(text);
    line.erase(line.find_last_not_of(" \r\n") + 1);
    line.erase(0, std::min(line.find_first_not_of(' '), line.size()));
    lines.push_back(line);
  }
  if (pclose(pipe) != 0)
    throw std::runtime_error("spin (package spin): " + (lines.empty() ? "failed" : lines.back()));
  return lines;
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_SPIN_WALK_H_
