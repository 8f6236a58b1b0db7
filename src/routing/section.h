// SPDX-License-Identifier: Apache-2.0
//
// Reads the sections of the operator's file that configure routes and limits.
#ifndef KESTRELLINE_ROUTING_SECTION_H_
#define KESTRELLINE_ROUTING_SECTION_H_

#include <span>
#include <string_view>
#include <vector>

#include "operator/document.h"
#include "routing/spec.h"

namespace kestrelline::routing {

// Returns sections that read into `spec`, which must outlive them.
std::vector<operator_file::Section> Sections(Spec* spec);

// Every table of these sections with its keys, for generated documentation and tests of it.
struct DescribedTable {
  std::string_view name;
  std::span<const operator_file::Key> keys;
};
std::span<const DescribedTable> DescribedTables();

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_SECTION_H_
