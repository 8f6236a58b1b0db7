// SPDX-License-Identifier: Apache-2.0
#include "plugin/worker/library.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <lua.hpp>
#include <string_view>

#include "hashing/fnv.h"

namespace kestrelline::plugin::library {
namespace {

// The addresses of these serve as keys of the Lua registry.
char kContextKey, kRequestKey, kStateKey, kStateTableKey;

Context& ContextOf(lua_State* lua) {
  lua_rawgetp(lua, LUA_REGISTRYINDEX, &kContextKey);
  auto* context = static_cast<Context*>(lua_touserdata(lua, -1));
  lua_pop(lua, 1);
  return *context;
}

const RequestView& RequestOf(lua_State* lua) {
  const RequestView* request = ContextOf(lua).request;
  if (!request) luaL_error(lua, "a request is read during its call only");
  return *request;
}

void Push(lua_State* lua, std::string_view text) { lua_pushlstring(lua, text.data(), text.size()); }

std::string_view TextAt(lua_State* lua, int index) {
  std::size_t size = 0;
  const char* text = luaL_checklstring(lua, index, &size);
  return {text, size};
}

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
}

int HexOf(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  c = Lower(c);
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

// Decodes one application/x-www-form-urlencoded value.
void PushDecoded(lua_State* lua, std::string_view text) {
  luaL_Buffer buffer;
  luaL_buffinit(lua, &buffer);
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexOf(text[i + 1]) >= 0 && HexOf(text[i + 2]) >= 0) {
      luaL_addchar(&buffer, static_cast<char>(HexOf(text[i + 1]) * 16 + HexOf(text[i + 2])));
      i += 2;
    } else {
      luaL_addchar(&buffer, text[i] == '+' ? ' ' : text[i]);
    }
  }
  luaL_pushresult(&buffer);
}

// Pushes the first field of that name in "a=1&b=2", or nil. Names are compared without decoding.
int PushField(lua_State* lua, std::string_view fields, std::string_view name) {
  while (!fields.empty()) {
    const std::string_view field = fields.substr(0, fields.find('&'));
    const std::size_t equals = field.find('=');
    if (field.substr(0, equals) == name) {
      PushDecoded(lua, equals == field.npos ? std::string_view() : field.substr(equals + 1));
      return 1;
    }
    fields.remove_prefix(std::min(fields.size(), field.size() + 1));
  }
  lua_pushnil(lua);
  return 1;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// ---- request -------------------------------------------------------------------------------------------
// request:header(name): the first value and the number of headers of that name.
int RequestHeader(lua_State* lua) {
  const RequestView& request = RequestOf(lua);
  const std::string_view name = TextAt(lua, 2);
  int count = 0;
  for (const auto& [known, value] : request.headers) {
    if (!SameName(known, name)) continue;
    if (count++ == 0) Push(lua, value);
  }
  if (count == 0) lua_pushnil(lua);
  lua_pushinteger(lua, count);
  return 2;
}

int RequestCookie(lua_State* lua) {
  const RequestView& request = RequestOf(lua);
  const std::string_view name = TextAt(lua, 2);
  for (const auto& [known, value] : request.headers) {
    if (!SameName(known, "cookie")) continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      std::string_view pair = rest.substr(0, rest.find(';'));
      rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
      while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
      const std::size_t equals = pair.find('=');
      if (equals == pair.npos || pair.substr(0, equals) != name) continue;
      Push(lua, pair.substr(equals + 1));
      return 1;
    }
  }
  lua_pushnil(lua);
  return 1;
}

int RequestQuery(lua_State* lua) {
  const std::string_view target = RequestOf(lua).target;
  const std::size_t mark = target.find('?');
  return PushField(lua, mark == target.npos ? std::string_view() : target.substr(mark + 1), TextAt(lua, 2));
}

int RequestForm(lua_State* lua) { return PushField(lua, RequestOf(lua).form, TextAt(lua, 2)); }

// request:segment(n): the nth path segment, from 1; nil past the end.
int RequestSegment(lua_State* lua) {
  std::string_view path = PathOf(RequestOf(lua).target);
  lua_Integer number = luaL_checkinteger(lua, 2);
  if (!path.empty() && path.front() == '/') path.remove_prefix(1);
  for (; number > 1 && !path.empty(); --number)
    path.remove_prefix(std::min(path.size(), path.substr(0, path.find('/')).size() + 1));
  const std::string_view segment = path.substr(0, path.find('/'));
  if (number != 1 || segment.empty()) {
    lua_pushnil(lua);
  } else {
    Push(lua, segment);
  }
  return 1;
}

constexpr luaL_Reg kRequestMethods[] = {{"header", RequestHeader},   {"cookie", RequestCookie},
                                        {"query", RequestQuery},     {"form", RequestForm},
                                        {"segment", RequestSegment}, {nullptr, nullptr}};

int RequestIndex(lua_State* lua) {
  const std::string_view name = TextAt(lua, 2);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  if (!lua_isnil(lua, -1)) return 1;
  const RequestView& request = RequestOf(lua);
  if (name == "method") {
    Push(lua, request.method);
  } else if (name == "path") {
    Push(lua, PathOf(request.target));
  } else if (name == "target") {
    Push(lua, request.target);
  } else if (name == "class") {
    Push(lua, request.request_class);
  } else if (name == "tenant") {
    request.tenant.empty() ? lua_pushnil(lua) : Push(lua, request.tenant);
  } else if (name == "deadline_ms") {
    lua_pushnumber(lua, request.deadline_ms);
  } else if (name == "now_ms") {
    lua_pushnumber(lua, request.now_ms);
  } else if (name == "cut") {
    lua_pushboolean(lua, request.cut);
  } else {
    return luaL_error(lua, "a request has no '%s'", lua_tostring(lua, 2));
  }
  return 1;
}

int ReadOnly(lua_State* lua) { return luaL_error(lua, "this is read only"); }

// ---- state: bounded, lost when the worker exits --------------------------------------------------------
void CheckKey(lua_State* lua) {
  luaL_argcheck(lua, TextAt(lua, 2).size() <= kMaxStateBytes, 2, "too long for a key");
}

int StateGet(lua_State* lua) {
  CheckKey(lua);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  return 1;
}

// Sets the key at stack index 2 to the value on top. Pushes false and changes nothing if the state is full.
int Store(lua_State* lua) {
  Context& context = ContextOf(lua);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  const bool had_value = !lua_isnil(lua, -1), has_value = !lua_isnil(lua, -2);
  lua_pop(lua, 1);
  if (!had_value && has_value && context.state_keys >= kMaxStateKeys) {
    lua_pushboolean(lua, false);
    return 1;
  }
  lua_pushvalue(lua, 2);
  lua_pushvalue(lua, -2);
  lua_rawset(lua, lua_upvalueindex(1));
  context.state_keys += static_cast<int>(has_value) - static_cast<int>(had_value);
  lua_pushboolean(lua, true);
  return 1;
}

int StateSet(lua_State* lua) {
  CheckKey(lua);
  const int type = lua_type(lua, 3);
  if (type == LUA_TSTRING)
    luaL_argcheck(lua, TextAt(lua, 3).size() <= kMaxStateBytes, 3, "too long for the state");
  luaL_argcheck(lua, type == LUA_TSTRING || type == LUA_TNUMBER || type == LUA_TBOOLEAN || type == LUA_TNIL,
                3, "a text, a number, true, false or nil");
  lua_settop(lua, 3);
  return Store(lua);
}

// state:add(key, n): adds to a counter and returns its new value; nil if the state is full.
int StateAdd(lua_State* lua) {
  CheckKey(lua);
  const lua_Number increment = luaL_optnumber(lua, 3, 1);
  lua_settop(lua, 2);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  const lua_Number sum = (lua_isnumber(lua, -1) ? lua_tonumber(lua, -1) : 0) + increment;
  lua_settop(lua, 2);
  lua_pushnumber(lua, sum);
  Store(lua);
  if (!lua_toboolean(lua, -1)) {
    lua_pushnil(lua);
  } else {
    lua_pushnumber(lua, sum);
  }
  return 1;
}

constexpr luaL_Reg kStateMethods[] = {
    {"get", StateGet}, {"set", StateSet}, {"add", StateAdd}, {nullptr, nullptr}};

// ---- kestrel: pure helpers, of bounded cost --------------------------------------------------------------
int Hash(lua_State* lua) {
  lua_pushinteger(lua, static_cast<lua_Integer>(hashing::Fnv1a(TextAt(lua, 1))));
  return 1;
}

int Split(lua_State* lua) {
  std::string_view text = TextAt(lua, 1);
  const std::string_view separator = TextAt(lua, 2);
  const lua_Integer max_parts = luaL_optinteger(lua, 3, 1000);
  luaL_argcheck(lua, !separator.empty(), 2, "a separator has at least one byte");
  lua_newtable(lua);
  for (lua_Integer i = 1;; ++i) {
    const std::size_t end = i >= max_parts ? text.npos : text.find(separator);
    Push(lua, text.substr(0, end));
    lua_rawseti(lua, -2, i);
    if (end == text.npos) return 1;
    text.remove_prefix(end + separator.size());
  }
}

// kestrel.match(text, "JOB-*/*"): the shortest text for each star, or nil if the text does not match. Only
// the last star is backtracked to, so that the number of steps is at most text length x pattern length.
int Match(lua_State* lua) {
  constexpr int kMaxStars = 8;
  const std::string_view text = TextAt(lua, 1), pattern = TextAt(lua, 2);
  struct {
    std::size_t from, to;
  } stars[kMaxStars];
  int star_count = 0;
  std::size_t text_at = 0, pattern_at = 0, last_star = pattern.npos;
  for (;;) {
    if (pattern_at < pattern.size() && pattern[pattern_at] == '*') {
      if (star_count == kMaxStars) return luaL_error(lua, "a pattern has at most %d stars", kMaxStars);
      last_star = pattern_at++;
      stars[star_count++] = {text_at, text_at};
    } else if (pattern_at == pattern.size() && text_at == text.size()) {
      break;
    } else if (pattern_at < pattern.size() && text_at < text.size() && pattern[pattern_at] == text[text_at]) {
      ++pattern_at, ++text_at;
    } else if (last_star != pattern.npos && stars[star_count - 1].to < text.size()) {
      text_at = ++stars[star_count - 1].to;
      pattern_at = last_star + 1;
    } else {
      lua_pushnil(lua);
      return 1;
    }
  }
  for (int i = 0; i < star_count; ++i) Push(lua, text.substr(stars[i].from, stars[i].to - stars[i].from));
  if (star_count == 0) lua_pushboolean(lua, true);
  return std::max(star_count, 1);
}

// kestrel.number(text, min, max): the number, or nil unless the text is a decimal number in that range.
int Number(lua_State* lua) {
  const lua_Number min = luaL_optnumber(lua, 2, -HUGE_VAL), max = luaL_optnumber(lua, 3, HUGE_VAL);
  lua_settop(lua, 1);
  const std::string_view text = lua_type(lua, 1) == LUA_TSTRING ? TextAt(lua, 1) : std::string_view();
  const bool decimal = !text.empty() && text.find_first_not_of("0123456789.-") == text.npos;
  const lua_Number value = decimal ? lua_tonumber(lua, 1) : 0;
  if (!decimal || !lua_isnumber(lua, 1) || !(value >= min && value <= max)) {
    lua_pushnil(lua);
  } else {
    lua_pushnumber(lua, value);
  }
  return 1;
}

int Trim(lua_State* lua) {
  std::string_view text = TextAt(lua, 1);
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  Push(lua, text);
  return 1;
}

constexpr luaL_Reg kHelpers[] = {{"hash", Hash},     {"split", Split}, {"match", Match},
                                 {"number", Number}, {"trim", Trim},   {nullptr, nullptr}};

// ---- Lua's standard library ----------------------------------------------------------------------------
// Removed are protected calls (they would catch the out-of-fuel error), metatables (finalizers run without
// the fuel hook), loading code from text or files, coroutines (each has its own hook) and random numbers.
constexpr const char* kRemoved[] = {"collectgarbage", "dofile",       "getmetatable", "load",
                                    "loadfile",       "pcall",        "print",        "rawequal",
                                    "rawset",         "setmetatable", "warn",         "xpcall"};

void OpenLibrary(lua_State* lua, const char* name, lua_CFunction open) {
  luaL_requiref(lua, name, open, 1);
  lua_pop(lua, 1);
}

void Remove(lua_State* lua, const char* table, std::initializer_list<const char*> names) {
  lua_getglobal(lua, table);
  for (const char* name : names) {
    lua_pushnil(lua);
    lua_setfield(lua, -2, name);
  }
  lua_pop(lua, 1);
}

// Stores a read-only userdata with the methods on top of the stack in the registry.
void Register(lua_State* lua, void* key, lua_CFunction index) {
  lua_newuserdatauv(lua, 0, 0);
  lua_newtable(lua);
  lua_pushvalue(lua, -3);  // the methods
  if (index) {
    lua_pushcclosure(lua, index, 1);
  }
  lua_setfield(lua, -2, "__index");
  lua_pushcfunction(lua, ReadOnly);
  lua_setfield(lua, -2, "__newindex");
  lua_setmetatable(lua, -2);
  lua_rawsetp(lua, LUA_REGISTRYINDEX, key);
  lua_pop(lua, 1);
}

// ---- tags ----------------------------------------------------------------------------------------------
// Reads a text of the returned table, and deducts its size from `left`.
bool ReadText(lua_State* lua, std::size_t* left, std::optional<std::string>* result) {
  if (lua_type(lua, -1) != LUA_TSTRING) return false;
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, -1, &size);
  if (size == 0 || size > kMaxTagBytes || size > *left) return false;
  *left -= size;
  *result = std::string(text, size);
  return true;
}

}  // namespace

void Open(lua_State* lua, Context* context) {
  lua_pushlightuserdata(lua, context);
  lua_rawsetp(lua, LUA_REGISTRYINDEX, &kContextKey);
  OpenLibrary(lua, "_G", luaopen_base);
  OpenLibrary(lua, "string", luaopen_string);
  OpenLibrary(lua, "table", luaopen_table);
  OpenLibrary(lua, "math", luaopen_math);
  OpenLibrary(lua, "utf8", luaopen_utf8);
  for (const char* name : kRemoved) {
    lua_pushnil(lua);
    lua_setglobal(lua, name);
  }
  Remove(lua, "string", {"dump"});
  Remove(lua, "math", {"random", "randomseed"});

  luaL_newlib(lua, kHelpers);
  lua_setglobal(lua, "kestrel");
  luaL_newlib(lua, kRequestMethods);
  Register(lua, &kRequestKey, RequestIndex);
  luaL_newlibtable(lua, kStateMethods);
  lua_newtable(lua);  // the stored values, accessible to the methods only
  lua_pushvalue(lua, -1);
  lua_rawsetp(lua, LUA_REGISTRYINDEX, &kStateTableKey);
  luaL_setfuncs(lua, kStateMethods, 1);
  Register(lua, &kStateKey, nullptr);
}

void PushRequest(lua_State* lua) { lua_rawgetp(lua, LUA_REGISTRYINDEX, &kRequestKey); }
void PushState(lua_State* lua) { lua_rawgetp(lua, LUA_REGISTRYINDEX, &kStateKey); }

void ClearState(lua_State* lua, Context* context) {
  lua_rawgetp(lua, LUA_REGISTRYINDEX, &kStateTableKey);
  lua_pushnil(lua);
  while (lua_next(lua, -2) != 0) {
    lua_pop(lua, 1);
    lua_pushvalue(lua, -1);
    lua_pushnil(lua);
    lua_rawset(lua, -4);
  }
  lua_pop(lua, 1);
  context->state_keys = 0;
}

void ReadTags(lua_State* lua, Context* context) {
  auto& output = context->output;
  if (lua_isnil(lua, -1)) return;
  if (!lua_istable(lua, -1)) {
    output.error = "tag must return a table or nil";
    return;
  }
  std::size_t left = context->max_output;
  int keys = 0;
  lua_pushnil(lua);
  while (lua_next(lua, -2) != 0) {
    if (++keys > 5) {
      output.error = "more tags than are defined";
      return;
    }
    const std::string_view key = lua_type(lua, -2) == LUA_TSTRING ? lua_tostring(lua, -2) : "";
    bool valid = true;
    if (key == "class") {
      valid = ReadText(lua, &left, &output.tags.request_class);
    } else if (key == "tenant") {
      valid = ReadText(lua, &left, &output.tags.tenant);
    } else if (key == "key") {
      valid = ReadText(lua, &left, &output.tags.key);
    } else if (key == "route") {
      valid = ReadText(lua, &left, &output.tags.route);
    } else if (key == "cost_ms") {
      const lua_Number cost = lua_type(lua, -1) == LUA_TNUMBER ? lua_tonumber(lua, -1) : -1;
      valid = cost >= 0 && cost <= kMaxCostMs && left >= sizeof cost;
      if (valid) {
        left -= sizeof cost;
        output.tags.cost_ms = cost;
      }
    } else {
      output.error = "an unknown tag; there are class, tenant, key, route and cost_ms";
      return;
    }
    if (!valid) {
      output.error = "a tag of the wrong type, too long, or beyond the output";
      return;
    }
    lua_pop(lua, 1);
  }
}

}  // namespace kestrelline::plugin::library
