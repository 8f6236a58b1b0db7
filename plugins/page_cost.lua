-- SPDX-License-Identifier: Apache-2.0
--
-- Sets a cost hint from the page count in X-Pages or ?pages=, given as "12" or as a range "3-14".
--
-- Sets `cost_ms`, the time on a standard core, by which the proxy distinguishes large requests from small ones. A
-- request without a page count gets no hint; larger counts than the maximum are treated as the maximum.
local setup_ms, page_ms, most_pages = 15, 4, 3000

local function pages_of(text)
  local from, to = kestrel.match(text, "*-*")
  if from then
    from, to = kestrel.number(from, 1), kestrel.number(to, 1)
    return from and to and to >= from and to - from + 1 or nil
  end
  return kestrel.number(text, 1)
end

return {
  api = 1,
  tag = function(request)
    local text = request:header("X-Pages") or request:query("pages")
    local pages = text and pages_of(kestrel.trim(text))
    if pages then
      return { cost_ms = setup_ms + page_ms * math.min(pages, most_pages) }
    end
  end,
}
