// SPDX-License-Identifier: Apache-2.0
//
// A change of named items of the configuration: items to add or to replace, and names to remove. Applied to
// the text of a configuration it gives the text of the next one, checked as a whole. No I/O.
#ifndef KESTRELLINE_CONFIGURATION_PATCH_H_
#define KESTRELLINE_CONFIGURATION_PATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "configuration/configuration.h"
#include "json/owned.h"

namespace kestrelline::configuration {

// Either the next configuration or what is wrong, for the operator to read.
struct PatchedText {
  std::string text;
  std::string error;
};

class Patch {
 public:
  struct Result;
  // Reads and checks the form of a patch; what it makes of a configuration is checked by ApplyTo.
  static Result Parse(std::string_view text);

  std::uint64_t version() const { return version_; }
  // Removes first, then adds: an item that is named in both is replaced. A name to remove that is not there
  // changes nothing.
  PatchedText ApplyTo(std::string_view configuration) const;
  // The same of a configuration that is read already; its text is not made.
  ParseResult ApplyTo(const Configuration& configuration) const;

 private:
  Patch(json::Owned root, std::uint64_t version) : root_(std::move(root)), version_(version) {}

  json::Owned root_;
  std::uint64_t version_;
};

// Either a patch or what is wrong with the text.
struct Patch::Result {
  std::optional<Patch> patch;
  std::string error;
};

// The patch that makes `to` of `from`, but for the order of items. Nothing where more than named items
// differs or their names don't tell them apart.
std::optional<std::string> PatchBetween(std::string_view from, std::string_view to);

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_PATCH_H_
