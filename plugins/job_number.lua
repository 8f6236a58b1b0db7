-- SPDX-License-Identifier: Apache-2.0
--
-- Job number from an office's own header. Offices word it as they like:
--
--   X-Office-Job: RF-2026/004711        X-Dossier: 2026.4711        X-Auftrag: 4711 / 2026
--
-- Sets `key` to "job:YEAR-NUMBER", so that the requests of one job find a converter that knows it, and `route`
-- to "job", by which routes may give them limits of their own. What is no job number is left alone.
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
      if count == 1 then -- given twice, it has no one value
        local job = number_of(value)
        if job then
          return { key = job, route = "job" }
        end
        state:add("unreadable")
      end
    end
  end,
}
