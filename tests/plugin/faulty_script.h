// SPDX-License-Identifier: Apache-2.0
//
// A script that misbehaves as requested by the header X-Fault.
#ifndef KESTRELLINE_TESTS_PLUGIN_FAULTY_SCRIPT_H_
#define KESTRELLINE_TESTS_PLUGIN_FAULTY_SCRIPT_H_

#include <string>

namespace kestrelline::testing {

// `choose`: Lua code that returns the kind of fault for a request `r`, or nil. Faults outside the script,
// such as a crash or an invalid reply, are carried out by the test worker (faulty_worker.cpp).
inline std::string FaultyScript(const std::string& choose = "return r:header('X-Fault')") {
  return R"(
local function recurse(n) return 1 + recurse(n) end
local ways = {
  loop = function() while true do end end,
  backtrack = function() return string.find(string.rep("a", 200), string.rep(".-", 20) .. "b") end,
  throw = function() error("as asked") end,
  recurse = function() return recurse(1) end,
  memory = function() local t = {} for i = 1, 1e9 do t[i] = string.rep("x", 1000) .. i end end,
  widen = function() return { class = "look" } end,
  unknown = function() return { class = "nothing" } end,
  chatter = function() return { key = string.rep("k", 5000) } end,
  number = function() return 7 end,
}
local function choose(r) )" +
         choose + R"( end
return { api = 1, tag = function(r)
  local how = choose(r)
  if how and ways[how] then
    local tags = ways[how]()
    if tags then return tags end
  elseif how then
    fault(how)
  end
  return { key = "tagged" }
end }
)";
}

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_PLUGIN_FAULTY_SCRIPT_H_
