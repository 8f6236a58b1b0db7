// SPDX-License-Identifier: Apache-2.0
#include "data_plane/configuration_follower.h"

#include "configuration/patch.h"

namespace kestrelline::data_plane {

configuration::ConfigurationPtr ConfigurationFollower::Apply(const wire::Publication& publication,
                                                             bool fresh) {
  error_.clear();
  bool has_contents = false;
  if (!publication.configuration.empty()) missing_base_ = false;
  if (gate_.IsNewer(publication.version)) {
    if (!publication.configuration.empty()) {
      has_contents = ApplyWhole(publication);
    } else if (!publication.configuration_patches.empty()) {
      has_contents = ApplyPatches(publication);
    }
  }
  return gate_.Offer(publication.version, has_contents, fresh) ? newest_ : nullptr;
}

bool ConfigurationFollower::ApplyWhole(const wire::Publication& publication) {
  configuration::ParseResult parsed = configuration::Parse(publication.configuration);
  error_ = parsed.error;
  if (!parsed.configuration) return false;
  newest_ = std::move(parsed.configuration);
  text_ = std::make_shared<const std::string>(publication.configuration);
  patches_since_text_.clear();
  history_.Clear();
  return true;
}

bool ConfigurationFollower::ApplyPatches(const wire::Publication& publication) {
  if (!newest_ || publication.configuration_base != newest_->version) {
    missing_base_ = true;
    return false;
  }
  configuration::ConfigurationPtr next = newest_;
  for (const std::string& text : publication.configuration_patches) {
    const configuration::Patch::Result parsed = configuration::Patch::Parse(text);
    configuration::ParseResult patched;
    if (parsed.patch) patched = parsed.patch->ApplyTo(*next);
    if (!patched.configuration) {
      error_ = parsed.error + patched.error;
      missing_base_ = true;
      return false;
    }
    next = std::move(patched.configuration);
  }
  if (next->version != publication.version) {
    error_ = "patches lead to version " + std::to_string(next->version);
    missing_base_ = true;
    return false;
  }
  std::uint64_t from = newest_->version;
  for (const std::string& text : publication.configuration_patches) {
    const std::uint64_t to = configuration::Patch::Parse(text).patch->version();
    history_.Add(from, to, text);
    patches_since_text_.push_back(text);
    from = to;
  }
  newest_ = std::move(next);
  return true;
}

std::shared_ptr<const std::string> ConfigurationFollower::Text() {
  for (const std::string& text : std::exchange(patches_since_text_, {})) {
    const configuration::Patch::Result parsed = configuration::Patch::Parse(text);
    text_ = std::make_shared<const std::string>(parsed.patch->ApplyTo(*text_).text);
  }
  return text_;
}

}  // namespace kestrelline::data_plane
