// SPDX-License-Identifier: Apache-2.0
#include "data_plane/configuration_follower.h"

#include "configuration/patch.h"

namespace kestrelline::data_plane {

configuration::ConfigurationPtr ConfigurationFollower::Take(const wire::Publication& publication,
                                                            bool fresh) {
  error_.clear();
  bool contents = false;
  if (!publication.configuration.empty()) lacks_base_ = false;
  if (gate_.IsNews(publication.version)) {
    if (!publication.configuration.empty()) {
      contents = TakeWhole(publication);
    } else if (!publication.configuration_patches.empty()) {
      contents = TakePatches(publication);
    }
  }
  return gate_.Offer(publication.version, contents, fresh) ? newest_ : nullptr;
}

bool ConfigurationFollower::TakeWhole(const wire::Publication& publication) {
  configuration::ParseResult parsed = configuration::Parse(publication.configuration);
  error_ = parsed.error;
  if (!parsed.configuration) return false;
  newest_ = std::move(parsed.configuration);
  text_ = std::make_shared<const std::string>(publication.configuration);
  patches_since_text_.clear();
  history_.Clear();
  return true;
}

bool ConfigurationFollower::TakePatches(const wire::Publication& publication) {
  if (!newest_ || publication.configuration_base != newest_->version) {
    lacks_base_ = true;
    return false;
  }
  configuration::ConfigurationPtr next = newest_;
  for (const std::string& text : publication.configuration_patches) {
    const configuration::Patch::Result parsed = configuration::Patch::Parse(text);
    configuration::ParseResult patched;
    if (parsed.patch) patched = parsed.patch->ApplyTo(*next);
    if (!patched.configuration) {
      error_ = parsed.error + patched.error;
      lacks_base_ = true;
      return false;
    }
    next = std::move(patched.configuration);
  }
  if (next->version != publication.version) {
    error_ = "patches lead to version " + std::to_string(next->version);
    lacks_base_ = true;
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
