-- SPDX-License-Identifier: Apache-2.0
--
-- Class from path and form field: a conversion that is asked for as a certified copy is one.
--
--   /convert/certified/...        /convert/...?certified=yes        a form with certified=yes
--
-- Sets `class` to "certify", which must never run twice. It can only make a request's effect narrower: whoever
-- writes certified=no on a certified copy changes nothing.
local yes = { yes = true, on = true, ["1"] = true, ["true"] = true }

return {
  api = 1,
  tag = function(request)
    if request.class == "certify" then
      return nil
    end
    local asked = request:query("certified") or request:form("certified")
    if request:segment(2) == "certified" or (asked and yes[asked:lower()]) then
      return { class = "certify" }
    end
  end,
}
