# SPDX-License-Identifier: Apache-2.0

# kestrelline_option(NAME FORMER_NAME HELP): an option that is off by default and can also be set by its former name. A value
# given by the former name is taken over and its cache entry removed, so that the last value given by either name holds.
macro(kestrelline_option name former_name help)
  if(DEFINED CACHE{${former_name}})
    # In a folder that was configured before the option got its present name, an entry of the former name may be
    # left over from then; a value of the present name can only come from this command line.
    if(DEFINED CACHE{KESTRELLINE_OPTIONS_RENAMED} OR NOT DEFINED CACHE{${name}})
      set(${name} "${${former_name}}" CACHE BOOL "${help}" FORCE)
    endif()
    unset(${former_name} CACHE)
  elseif(DEFINED ${former_name} AND NOT DEFINED ${name})
    set(${name} "${${former_name}}")  # a variable of a project that contains this one
  endif()
  option(${name} "${help}" OFF)
endmacro()
