// SPDX-License-Identifier: Apache-2.0
#include "configuration/patch.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "configuration/read_items.h"

namespace kestrelline::configuration {
namespace {

using Names = std::set<std::string, std::less<>>;

// The location of a list item in error messages: "list[index]".
std::string LocationOf(const std::string& list, std::size_t index) {
  std::string text = list;
  text += '[';
  text += std::to_string(index);
  text += ']';
  return text;
}

// Returns the name of a list item. `where` is the location of the list, for error messages.
std::string NameOf(const json_t* item, const std::string& where, std::size_t index) {
  const json_t* name = json_object_get(item, "name");
  if (json_is_string(name)) return json_string_value(name);
  throw ValidationError(LocationOf(where, index) + " has no name");
}

// Calls `visit(key, location, list)` for each list in `section`, which may be absent.
template <typename Visit>
void ForEachList(const json_t* root, const char* section, Visit visit) {
  json_t* lists = json_object_get(root, section);
  if (lists == nullptr || json_is_null(lists)) return;
  if (!json_is_object(lists)) throw ValidationError(std::string(section) + " is not an object");
  const char* key = nullptr;
  json_t* list = nullptr;
  json_object_foreach(lists, key, list) {
    const std::string where = std::string(section) + "." + key;
    if (!json_is_array(list)) throw ValidationError(where + " is not a list");
    visit(key, where, list);
  }
}

Names NamesToRemove(const json_t* list, const std::string& where) {
  Names names;
  std::size_t index = 0;
  const json_t* name = nullptr;
  json_array_foreach(list, index, name) {
    if (!json_is_string(name)) throw ValidationError(LocationOf(where, index) + " is not a name");
    names.insert(json_string_value(name));
  }
  return names;
}

Names NamesOfItems(const json_t* list, const std::string& where) {
  Names names;
  std::size_t index = 0;
  const json_t* item = nullptr;
  json_array_foreach(list, index, item) {
    const std::string name = NameOf(item, where, index);
    if (names.insert(name).second) continue;
    throw ValidationError(std::string(where).append(" names an item twice: ").append(name));
  }
  return names;
}

void CheckStructure(const json_t* root) {
  if (!json_is_object(root)) throw ValidationError("the patch is not an object");
  const char* key = nullptr;
  const json_t* value = nullptr;
  json_object_foreach(const_cast<json_t*>(root), key, value) {
    const std::string_view name = key;
    if (name != "version" && name != "upsert" && name != "remove") {
      throw ValidationError("unknown key in the patch: " + std::string(name));
    }
  }
  const json_t* version = json_object_get(root, "version");
  if (!json_is_integer(version) || json_integer_value(version) < 1) {
    throw ValidationError("version is not a positive integer");
  }
  ForEachList(root, "remove",
              [](const char*, const std::string& where, json_t* list) { NamesToRemove(list, where); });
  ForEachList(root, "upsert",
              [](const char*, const std::string& where, json_t* list) { NamesOfItems(list, where); });
}

// Returns the list under `key`, adding an empty one if there is none.
json_t* ListOf(json_t* configuration, const char* key) {
  json_t* list = json_object_get(configuration, key);
  if (list == nullptr) {
    json_object_set_new(configuration, key, json_array());
    list = json_object_get(configuration, key);
  }
  if (!json_is_array(list))
    throw ValidationError(std::string("the configuration's ") + key + " are not a list");
  return list;
}

bool IsNamed(const json_t* item, const Names& names) {
  const json_t* name = json_object_get(item, "name");
  return json_is_string(name) && names.contains(json_string_value(name));
}

void Remove(json_t* list, const Names& names) {
  for (std::size_t index = json_array_size(list); index-- > 0;) {
    if (IsNamed(json_array_get(list, index), names)) json_array_remove(list, index);
  }
}

// Replaced items keep their position; new items are appended.
void Upsert(json_t* list, json_t* items, const std::string& where) {
  std::map<std::string, std::size_t, std::less<>> indices;
  for (std::size_t index = 0; index < json_array_size(list); ++index) {
    const json_t* name = json_object_get(json_array_get(list, index), "name");
    if (json_is_string(name)) indices.emplace(json_string_value(name), index);
  }
  for (std::size_t index = 0; index < json_array_size(items); ++index) {
    json_t* item = json_array_get(items, index);
    const auto existing = indices.find(NameOf(item, where, index));
    if (existing == indices.end()) {
      json_array_append(list, item);
    } else {
      json_array_set(list, existing->second, item);
    }
  }
}

std::string Dump(const json_t* value) {
  struct Free {
    void operator()(char* text) const { std::free(text); }
  };
  const std::unique_ptr<char, Free> text(json_dumps(value, JSON_COMPACT));
  return text ? text.get() : std::string();
}

// Replaces items with the same name and appends the others.
template <typename Item>
void UpsertTyped(std::vector<Item>& items, std::vector<Item> changed) {
  std::map<std::string, std::size_t, std::less<>> indices;
  for (std::size_t index = 0; index < items.size(); ++index) indices.emplace(items[index].name, index);
  for (Item& item : changed) {
    const auto existing = indices.find(item.name);
    if (existing == indices.end()) {
      items.push_back(std::move(item));
    } else {
      items[existing->second] = std::move(item);
    }
  }
}

template <typename Item, typename Read>
void ApplyTyped(const json_t* patch, const char* key, std::vector<Item>& items, Read read) {
  ForEachList(patch, "remove", [&](std::string_view list_key, const std::string& where, json_t* list) {
    if (list_key != key) return;
    const Names names = NamesToRemove(list, where);
    std::erase_if(items, [&names](const Item& item) { return names.contains(item.name); });
  });
  ForEachList(patch, "upsert", [&](std::string_view list_key, const std::string& where, json_t* list) {
    if (list_key != key) return;
    std::vector<Item> changed;
    for (std::size_t index = 0; index < json_array_size(list); ++index) {
      changed.push_back(read(json_array_get(list, index), LocationOf(where, index)));
    }
    UpsertTyped(items, std::move(changed));
  });
}

// Indexes items by name. Returns nullopt if an item has no name or the name is not unique.
std::optional<std::map<std::string, json_t*>> ItemsByName(const json_t* list) {
  std::map<std::string, json_t*> items;
  std::size_t index = 0;
  json_t* item = nullptr;
  json_array_foreach(list, index, item) {
    const json_t* name = json_object_get(item, "name");
    if (!json_is_string(name) || !items.emplace(json_string_value(name), item).second) return std::nullopt;
  }
  return items;
}

// Adds the changes that turn list `from` into list `to` to `upsert` and `remove`. Returns false if items
// cannot be told apart by name.
bool DiffList(const char* key, const json_t* from, const json_t* to, json_t* upsert, json_t* remove) {
  const auto before = ItemsByName(from);
  const auto after = ItemsByName(to);
  if (!before || !after) return false;
  json_t* changed = json_array();
  json_t* removed = json_array();
  for (const auto& [name, item] : *after) {
    const auto old = before->find(name);
    if (old == before->end() || !json_equal(old->second, item)) json_array_append(changed, item);
  }
  for (const auto& [name, item] : *before) {
    if (!after->contains(name)) json_array_append_new(removed, json_string(name.c_str()));
  }
  json_object_set_new(upsert, key, changed);
  json_object_set_new(remove, key, removed);
  return true;
}

constexpr const char* kRoutes = "routes";
constexpr const char* kServices = "services";

// Whether the documents are equal apart from the version and the lists of named items.
bool RestIsEqual(json_t* from, json_t* to) {
  const json::Owned first(json_copy(from));
  const json::Owned second(json_copy(to));
  for (json_t* root : {first.get(), second.get()}) {
    for (const char* key : {"version", kRoutes, kServices}) json_object_del(root, key);
  }
  return json_equal(first.get(), second.get()) != 0;
}

}  // namespace

Patch::Result Patch::Parse(std::string_view text) {
  json_error_t error;
  json::Owned root = json::Load(text, error, JSON_REJECT_DUPLICATES);
  if (!root) return {std::nullopt, "line " + std::to_string(error.line) + ": " + error.text};
  try {
    CheckStructure(root.get());
  } catch (const ValidationError& invalid) {
    return {std::nullopt, invalid.what()};
  }
  const auto version = static_cast<std::uint64_t>(json_integer_value(json_object_get(root.get(), "version")));
  return {Patch(std::move(root), version), ""};
}

PatchedText Patch::ApplyTo(std::string_view configuration) const {
  const json::Owned next = json::Load(configuration);
  if (!next) return {"", "there is no configuration to patch"};
  try {
    ForEachList(root_.get(), "remove", [&](const char* key, const std::string& where, json_t* list) {
      Remove(ListOf(next.get(), key), NamesToRemove(list, where));
    });
    ForEachList(root_.get(), "upsert", [&](const char* key, const std::string& where, json_t* list) {
      Upsert(ListOf(next.get(), key), list, where);
    });
  } catch (const ValidationError& invalid) {
    return {"", invalid.what()};
  }
  json_object_set_new(next.get(), "version", json_integer(static_cast<json_int_t>(version_)));
  std::string text = Dump(next.get());
  const ParseResult parsed = configuration::Parse(text);
  if (!parsed.configuration) return {"", parsed.error};
  return {std::move(text), ""};
}

ParseResult Patch::ApplyTo(const Configuration& configuration) const {
  auto next = std::make_shared<Configuration>(configuration);
  next->version = version_;
  try {
    ApplyTyped(root_.get(), kServices, next->services, ReadService);
    ApplyTyped(root_.get(), kRoutes, next->routes, ReadRoute);
    CheckConsistency(*next);
  } catch (const ValidationError& invalid) {
    return {nullptr, invalid.what()};
  }
  return {std::move(next), ""};
}

std::optional<std::string> PatchBetween(std::string_view from, std::string_view to) {
  const json::Owned before = json::Load(from);
  const json::Owned after = json::Load(to);
  if (!before || !after || !RestIsEqual(before.get(), after.get())) return std::nullopt;
  const json::Owned patch(json_object());
  json_object_set(patch.get(), "version", json_object_get(after.get(), "version"));
  json_t* upsert = json_object();
  json_object_set_new(patch.get(), "upsert", upsert);
  json_t* remove = json_object();
  json_object_set_new(patch.get(), "remove", remove);
  for (const char* key : {kServices, kRoutes}) {
    const json_t* old = json_object_get(before.get(), key);
    if (!DiffList(key, old, json_object_get(after.get(), key), upsert, remove)) return std::nullopt;
  }
  return Dump(patch.get());
}

}  // namespace kestrelline::configuration
