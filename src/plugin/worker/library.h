// SPDX-License-Identifier: Apache-2.0
//
// What a script finds: `request`, `state`, `kestrel`, and the harmless part of Lua's own library.
#ifndef KESTRELLINE_PLUGIN_WORKER_LIBRARY_H_
#define KESTRELLINE_PLUGIN_WORKER_LIBRARY_H_

#include <cstddef>

#include "plugin/api.h"

struct lua_State;

namespace kestrelline::plugin::library {

inline constexpr int kMostStateKeys = 1024;
inline constexpr std::size_t kMostStateBytes = 256;  // of a key or a text in the state

// Shared with the script's functions; the owner outlives the state.
struct Context {
  const RequestView* request = nullptr;  // null between calls
  std::size_t most_output = 0;
  int state_keys = 0;
  struct {
    Tags tags;
    const char* complaint = nullptr;  // what is wrong with them
  } output;
};

// Raises errors of Lua.
void Open(lua_State* lua, Context* context);
void PushRequest(lua_State* lua);
void PushState(lua_State* lua);
// Empties it: what a script counted while it was warmed is no request's.
void ClearState(lua_State* lua, Context* context);
// Reads what the call returned, from the top of the stack.
void TakeTags(lua_State* lua, Context* context);

}  // namespace kestrelline::plugin::library

#endif  // KESTRELLINE_PLUGIN_WORKER_LIBRARY_H_
