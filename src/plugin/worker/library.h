// SPDX-License-Identifier: Apache-2.0
//
// The Lua API of scripts: `request`, `state`, `kestrel`, and the safe part of Lua's standard library.
#ifndef KESTRELLINE_PLUGIN_WORKER_LIBRARY_H_
#define KESTRELLINE_PLUGIN_WORKER_LIBRARY_H_

#include <cstddef>

#include "plugin/api.h"

struct lua_State;

namespace kestrelline::plugin::library {

inline constexpr int kMaxStateKeys = 1024;
inline constexpr std::size_t kMaxStateBytes = 256;  // of a key or a text value in the state

// Data shared with the API functions. Must outlive the Lua state.
struct Context {
  const RequestView* request = nullptr;  // null between calls
  std::size_t max_output = 0;            // bytes
  int state_keys = 0;
  struct {
    Tags tags;
    const char* error = nullptr;  // why the returned tags are invalid
  } output;
};

// Opens the API in a new Lua state. Like the functions below, it may raise Lua errors.
void Open(lua_State* lua, Context* context);
void PushRequest(lua_State* lua);
void PushState(lua_State* lua);
// Removes all state, so that values stored while warming up do not affect requests.
void ClearState(lua_State* lua, Context* context);
// Reads the tags that the call returned from the top of the stack.
void ReadTags(lua_State* lua, Context* context);

}  // namespace kestrelline::plugin::library

#endif  // KESTRELLINE_PLUGIN_WORKER_LIBRARY_H_
