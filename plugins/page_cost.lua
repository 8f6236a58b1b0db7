-- SPDX-License-Identifier: Apache-2.0
--
-- Cost hint from the page count: X-Pages, or ?pages=, as "12" or as a range "3-14".
--
-- Sets `cost_ms`, the work on a standard core, by which the proxy tells large requests from small ones. A
-- request that says nothing has no hint; one that says too much is taken for the largest.
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
