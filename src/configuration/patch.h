// SPDX-License-Identifier: Apache-2.0
//
// An incremental change to the configuration: named items to add or replace, and names of items to remove.
// Applying it to the text of a configuration yields the text of the next one, which is validated as a whole.
// Performs no I/O.
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

// Either the text of the next configuration or a message that tells the operator what is wrong.
struct PatchedText {
  std::string text;
  std::string error;
};

class Patch {
 public:
  struct Result;
  // Parses a patch and validates its structure. ApplyTo validates the resulting configuration.
  static Result Parse(std::string_view text);

  std::uint64_t version() const { return version_; }
  // Removals are applied before additions, so an item named in both is replaced. Removing a name that does
  // not exist has no effect.
  PatchedText ApplyTo(std::string_view configuration) const;
  // The same for a parsed configuration, without producing its text.
  ParseResult ApplyTo(const Configuration& configuration) const;

 private:
  Patch(json::Owned root, std::uint64_t version) : root_(std::move(root)), version_(version) {}

  json::Owned root_;
  std::uint64_t version_;
};

// Either a patch or a message that says why the text was rejected.
struct Patch::Result {
  std::optional<Patch> patch;
  std::string error;
};

// Returns the text of the patch that turns `from` into `to`, ignoring the order of items. Returns nullopt if
// anything but the version and the named items differs, or if names are missing or not unique.
std::optional<std::string> PatchBetween(std::string_view from, std::string_view to);

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_PATCH_H_
