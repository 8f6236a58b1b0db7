// SPDX-License-Identifier: Apache-2.0
#include "discovery/page.h"

#include "json/owned.h"

namespace kestrelline::discovery {
namespace {

// Empty if the value is missing or not a string.
std::string Text(const json_t* object, const char* key) {
  const json_t* value = json_object_get(object, key);
  return json_is_string(value) ? std::string(json_string_value(value), json_string_length(value))
                               : std::string();
}

// 0 if the value is missing, not a number or negative.
std::uint32_t Number(const json_t* object, const char* key) {
  const json_t* value = json_object_get(object, key);
  return json_is_number(value) && json_number_value(value) > 0
             ? static_cast<std::uint32_t>(json_number_value(value))
             : 0;
}

wire::Instance ParseInstance(const json_t* entry) {
  wire::Instance instance;
  instance.id = Text(entry, "id");
  instance.service = Text(entry, "cluster");
  instance.address = Text(entry, "address");
  instance.zone = Text(entry, "zone");
  instance.slots = Number(entry, "slots");
  instance.draining = Text(entry, "state") != "ready";
  instance.prefill = Text(entry, "stage") == "prefill";
  instance.decode = Text(entry, "stage") == "decode";
  instance.warmup_left_ms = Number(entry, "warmup_left_ms");
  const json_t* models = json_object_get(entry, "models");
  for (std::size_t i = 0; i < json_array_size(models); ++i) {
    instance.models.push_back(Text(json_array_get(models, i), "name"));
  }
  return instance;
}

}  // namespace

std::optional<Page> ParsePage(std::string_view text) {
  const json::Owned root = json::Load(text);
  const json_t* list = root ? json_object_get(root.get(), "instances") : nullptr;
  if (!json_is_array(list)) return std::nullopt;
  Page page;
  for (std::size_t i = 0; i < json_array_size(list); ++i) {
    wire::Instance instance = ParseInstance(json_array_get(list, i));
    if (instance.id.empty() || instance.service.empty() || instance.address.empty()) continue;
    page.instances.push_back(std::move(instance));
  }
  page.next_token = Text(root.get(), "next_page_token");
  return page;
}

}  // namespace kestrelline::discovery
