-- SPDX-License-Identifier: Apache-2.0
--
-- Sets the class by path, query or form field: a conversion that asks for a certified copy becomes one.
--
--   /convert/certified/...        /convert/...?certified=yes        a form with certified=yes
--
-- Sets `class` to "certify", whose requests must never run twice. A plug-in can only make a request's class more
-- restrictive: certified=no on a certified copy has no effect.
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
