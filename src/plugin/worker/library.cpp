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

// Of the registry: found by the address of these.
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

// application/x-www-form-urlencoded, one value.
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

// The first field of that name in "a=1&b=2", whose name is compared as sent.
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
// request:header(name): its first value, and how often it is there.
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

// request:segment(n): of the path, from 1; nil past its end.
int RequestSegment(lua_State* lua) {
  std::string_view path = PathOf(RequestOf(lua).target);
  lua_Integer n = luaL_checkinteger(lua, 2);
  if (!path.empty() && path.front() == '/') path.remove_prefix(1);
  for (; n > 1 && !path.empty(); --n)
    path.remove_prefix(std::min(path.size(), path.substr(0, path.find('/')).size() + 1));
  const std::string_view segment = path.substr(0, path.find('/'));
  if (n != 1 || segment.empty()) {
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
  const RequestView& r = RequestOf(lua);
  if (name == "method") {
    Push(lua, r.method);
  } else if (name == "path") {
    Push(lua, PathOf(r.target));
  } else if (name == "target") {
    Push(lua, r.target);
  } else if (name == "class") {
    Push(lua, r.request_class);
  } else if (name == "tenant") {
    r.tenant.empty() ? lua_pushnil(lua) : Push(lua, r.tenant);
  } else if (name == "deadline_ms") {
    lua_pushnumber(lua, r.deadline_ms);
  } else if (name == "now_ms") {
    lua_pushnumber(lua, r.now_ms);
  } else if (name == "cut") {
    lua_pushboolean(lua, r.cut);
  } else {
    return luaL_error(lua, "a request has no '%s'", lua_tostring(lua, 2));
  }
  return 1;
}

int ReadOnly(lua_State* lua) { return luaL_error(lua, "this is read only"); }

// ---- state: bounded, gone with the worker --------------------------------------------------------------
void CheckKey(lua_State* lua) {
  luaL_argcheck(lua, TextAt(lua, 2).size() <= kMostStateBytes, 2, "too long for a key");
}

int StateGet(lua_State* lua) {
  CheckKey(lua);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  return 1;
}

// Sets key 2 to the value on top. False, and nothing changes, where the state is full.
int Store(lua_State* lua) {
  Context& context = ContextOf(lua);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  const bool was = !lua_isnil(lua, -1), will = !lua_isnil(lua, -2);
  lua_pop(lua, 1);
  if (!was && will && context.state_keys >= kMostStateKeys) {
    lua_pushboolean(lua, false);
    return 1;
  }
  lua_pushvalue(lua, 2);
  lua_pushvalue(lua, -2);
  lua_rawset(lua, lua_upvalueindex(1));
  context.state_keys += static_cast<int>(will) - static_cast<int>(was);
  lua_pushboolean(lua, true);
  return 1;
}

int StateSet(lua_State* lua) {
  CheckKey(lua);
  const int type = lua_type(lua, 3);
  if (type == LUA_TSTRING)
    luaL_argcheck(lua, TextAt(lua, 3).size() <= kMostStateBytes, 3, "too long for the state");
  luaL_argcheck(lua, type == LUA_TSTRING || type == LUA_TNUMBER || type == LUA_TBOOLEAN || type == LUA_TNIL,
                3, "a text, a number, true, false or nil");
  lua_settop(lua, 3);
  return Store(lua);
}

// state:add(key, n): the counter's new value; nil where the state is full.
int StateAdd(lua_State* lua) {
  CheckKey(lua);
  const lua_Number by = luaL_optnumber(lua, 3, 1);
  lua_settop(lua, 2);
  lua_pushvalue(lua, 2);
  lua_rawget(lua, lua_upvalueindex(1));
  const lua_Number sum = (lua_isnumber(lua, -1) ? lua_tonumber(lua, -1) : 0) + by;
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

// ---- kestrel: pure helpers, each linear in its input -----------------------------------------------------
int Hash(lua_State* lua) {
  lua_pushinteger(lua, static_cast<lua_Integer>(hashing::Fnv1a(TextAt(lua, 1))));
  return 1;
}

int Split(lua_State* lua) {
  std::string_view text = TextAt(lua, 1);
  const std::string_view by = TextAt(lua, 2);
  const lua_Integer most = luaL_optinteger(lua, 3, 1000);
  luaL_argcheck(lua, !by.empty(), 2, "a separator has at least one byte");
  lua_newtable(lua);
  for (lua_Integer i = 1;; ++i) {
    const std::size_t end = i >= most ? text.npos : text.find(by);
    Push(lua, text.substr(0, end));
    lua_rawseti(lua, -2, i);
    if (end == text.npos) return 1;
    text.remove_prefix(end + by.size());
  }
}

// kestrel.match(text, "JOB-*/*"): what each star stands for, as little as can be; nil if it does not match. A
// star that was passed is never gone back to but for the last, so that the steps are at most text x pattern.
int Match(lua_State* lua) {
  constexpr int kMostStars = 8;
  const std::string_view text = TextAt(lua, 1), pattern = TextAt(lua, 2);
  struct {
    std::size_t from, to;
  } stars[kMostStars];
  int n = 0;
  std::size_t t = 0, p = 0, star = pattern.npos;
  for (;;) {
    if (p < pattern.size() && pattern[p] == '*') {
      if (n == kMostStars) return luaL_error(lua, "a pattern has at most %d stars", kMostStars);
      star = p++;
      stars[n++] = {t, t};
    } else if (p == pattern.size() && t == text.size()) {
      break;
    } else if (p < pattern.size() && t < text.size() && pattern[p] == text[t]) {
      ++p, ++t;
    } else if (star != pattern.npos && stars[n - 1].to < text.size()) {
      t = ++stars[n - 1].to;
      p = star + 1;
    } else {
      lua_pushnil(lua);
      return 1;
    }
  }
  for (int i = 0; i < n; ++i) Push(lua, text.substr(stars[i].from, stars[i].to - stars[i].from));
  if (n == 0) lua_pushboolean(lua, true);
  return std::max(n, 1);
}

// kestrel.number(text, least, most): nil unless the text is a number between them.
int Number(lua_State* lua) {
  const lua_Number least = luaL_optnumber(lua, 2, -HUGE_VAL), most = luaL_optnumber(lua, 3, HUGE_VAL);
  lua_settop(lua, 1);
  const std::string_view text = lua_type(lua, 1) == LUA_TSTRING ? TextAt(lua, 1) : std::string_view();
  const bool plain = !text.empty() && text.find_first_not_of("0123456789.-") == text.npos;
  const lua_Number value = plain ? lua_tonumber(lua, 1) : 0;
  if (!plain || !lua_isnumber(lua, 1) || !(value >= least && value <= most)) {
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

// ---- Lua's own -----------------------------------------------------------------------------------------
// Without protected calls (they would catch the end of the fuel), metatables (finalizers run without hooks),
// code from text or files, coroutines (hooks of their own) and chance.
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

// A userdata with methods and fields of its own, that can neither be written to nor looked into.
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
// A text of the returned table.
bool TakeText(lua_State* lua, std::size_t* left, std::optional<std::string>* to) {
  if (lua_type(lua, -1) != LUA_TSTRING) return false;
  std::size_t size = 0;
  const char* text = lua_tolstring(lua, -1, &size);
  if (size == 0 || size > kMostTagBytes || size > *left) return false;
  *left -= size;
  *to = std::string(text, size);
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
  lua_newtable(lua);  // what the state holds: known to its methods only
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

void TakeTags(lua_State* lua, Context* context) {
  auto& out = context->output;
  if (lua_isnil(lua, -1)) return;
  if (!lua_istable(lua, -1)) {
    out.complaint = "tag returned something else than a table or nil";
    return;
  }
  std::size_t left = context->most_output;
  int keys = 0;
  lua_pushnil(lua);
  while (lua_next(lua, -2) != 0) {
    if (++keys > 5) {
      out.complaint = "more tags than there are";
      return;
    }
    const std::string_view key = lua_type(lua, -2) == LUA_TSTRING ? lua_tostring(lua, -2) : "";
    bool good = true;
    if (key == "class") {
      good = TakeText(lua, &left, &out.tags.request_class);
    } else if (key == "tenant") {
      good = TakeText(lua, &left, &out.tags.tenant);
    } else if (key == "key") {
      good = TakeText(lua, &left, &out.tags.key);
    } else if (key == "route") {
      good = TakeText(lua, &left, &out.tags.route);
    } else if (key == "cost_ms") {
      const lua_Number cost = lua_type(lua, -1) == LUA_TNUMBER ? lua_tonumber(lua, -1) : -1;
      good = cost >= 0 && cost <= kMostCostMs && left >= sizeof cost;
      if (good) {
        left -= sizeof cost;
        out.tags.cost_ms = cost;
      }
    } else {
      out.complaint = "an unknown tag; there are class, tenant, key, route and cost_ms";
      return;
    }
    if (!good) {
      out.complaint = "a tag of the wrong type, too long, or beyond the output";
      return;
    }
    lua_pop(lua, 1);
  }
}

}  // namespace kestrelline::plugin::library
