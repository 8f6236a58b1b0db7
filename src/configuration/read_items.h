// SPDX-License-Identifier: Apache-2.0
//
// Reads configuration items from JSON and validates complete configurations. Internal to this library.
#ifndef KESTRELLINE_CONFIGURATION_READ_ITEMS_H_
#define KESTRELLINE_CONFIGURATION_READ_ITEMS_H_

#include <jansson.h>

#include <stdexcept>
#include <string>

#include "configuration/configuration.h"

namespace kestrelline::configuration {

// Describes why a configuration or a patch is invalid. Never propagates out of this library.
struct ValidationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `where` is the location of the item in the document, for error messages. Both throw ValidationError.
Route ReadRoute(const json_t* item, const std::string& where);
Service ReadService(const json_t* item, const std::string& where);
// Checks constraints across items: routes refer to known services, and no two routes share a host and a path
// prefix. Throws ValidationError.
void CheckConsistency(const Configuration& configuration);

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_READ_ITEMS_H_
