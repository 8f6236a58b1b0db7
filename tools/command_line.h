// SPDX-License-Identifier: Apache-2.0
//
// What the tools do with their options.
#ifndef KESTRELLINE_TOOLS_COMMAND_LINE_H_
#define KESTRELLINE_TOOLS_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

namespace kestrelline::tools {

inline constexpr int kUsage = 2;  // exit status of a tool that was called wrongly

// Takes the options into the variables that are described. The exit status if the tool ends with it: help was
// asked for, or an option is wrong.
inline std::optional<int> TakeOptions(int argument_count, char** argument_values,
                                      const boost::program_options::options_description& described) {
  namespace options = boost::program_options;
  try {
    options::variables_map found;
    options::store(options::parse_command_line(argument_count, argument_values, described), found);
    options::notify(found);
    if (found.count("help") == 0) return std::nullopt;
    std::cout << described;
    return 0;
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return kUsage;
  }
}

}  // namespace kestrelline::tools

#endif  // KESTRELLINE_TOOLS_COMMAND_LINE_H_
