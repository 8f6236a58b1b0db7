-- SPDX-License-Identifier: Apache-2.0
--
-- Reads the job number from one of several headers. Offices use different names and formats:
--
--   X-Office-Job: RF-2026/004711        X-Dossier: 2026.4711        X-Auftrag: 4711 / 2026
--
-- Sets `key` to "job:YEAR-NUMBER", so that the requests of one job are sent to the same converter, and `route` to
-- "job", so that a route can set limits for them. Other requests are left unchanged.
local headers = { "X-Office-Job", "X-Dossier", "X-Auftrag" }

local function number_of(text)
  text = kestrel.trim(text)
  local _, year, number = kestrel.match(text, "*-*/*")
  if not year then
    year, number = kestrel.match(text, "*.*")
  end
  if not year then
    number, year = kestrel.match(text, "* / *")
  end
  year = year and kestrel.number(year, 1990, 2100)
  number = number and kestrel.number(number, 1, 99999999)
  if year and number and year % 1 == 0 and number % 1 == 0 then
    return string.format("job:%d-%d", year, number)
  end
end

return {
  api = 1,
  tag = function(request, state)
    for _, name in ipairs(headers) do
      local value, count = request:header(name)
      if count == 1 then -- a repeated header is ambiguous
        local job = number_of(value)
        if job then
          return { key = job, route = "job" }
        end
        state:add("unreadable")
      end
    end
  end,
}
