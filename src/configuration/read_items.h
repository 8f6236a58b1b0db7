// SPDX-License-Identifier: Apache-2.0
//
// Items of a configuration read from JSON, and the checks of a whole one. For this library's own files.
#ifndef KESTRELLINE_CONFIGURATION_READ_ITEMS_H_
#define KESTRELLINE_CONFIGURATION_READ_ITEMS_H_

#include <jansson.h>

#include <stdexcept>
#include <string>

#include "configuration/configuration.h"

namespace kestrelline::configuration {

// What is wrong with a configuration or a patch; never leaves this library.
struct Invalid : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `where` is the item's place, for messages.
Route ReadRoute(const json_t* item, const std::string& where);
Service ReadService(const json_t* item, const std::string& where);
// What holds between items: services are known, no two routes stand at the same place.
void CheckWhole(const Configuration& configuration);

}  // namespace kestrelline::configuration

#endif  // KESTRELLINE_CONFIGURATION_READ_ITEMS_H_
