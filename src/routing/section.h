// SPDX-License-Identifier: Apache-2.0
//
// The keys of routes in the operator's file, and how they are read.
#ifndef KESTRELLINE_ROUTING_SECTION_H_
#define KESTRELLINE_ROUTING_SECTION_H_

#include <span>
#include <string_view>
#include <vector>

#include "operator/document.h"
#include "routing/spec.h"

namespace kestrelline::routing {

// Sections that read into `spec`, which must outlive them.
std::vector<operator_file::Section> Sections(Spec* spec);

// Every table of these sections with its keys, for pages that list them.
struct DescribedTable {
  std::string_view name;
  std::span<const operator_file::Key> keys;
};
std::span<const DescribedTable> DescribedTables();

}  // namespace kestrelline::routing

#endif  // KESTRELLINE_ROUTING_SECTION_H_
