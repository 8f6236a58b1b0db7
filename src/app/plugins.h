// SPDX-License-Identifier: Apache-2.0
//
// Plug-ins of an operator's file, brought up: a file counts as accepted only once all of them have loaded.
#ifndef KESTRELLINE_APP_PLUGINS_H_
#define KESTRELLINE_APP_PLUGINS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/operator_config.h"
#include "operator/diagnostics.h"
#include "plugin/host.h"

namespace kestrelline::app {

// Beside the program that runs.
std::string DefaultPluginWorker();

// Adds what did not load to `diagnostics`.
void Report(const std::vector<plugin::Host::Problem>& problems, operator_file::Diagnostics* diagnostics);

// Loads the plug-ins of a file and ends them again. True if all load.
bool TryPlugins(const OperatorConfig& config, const std::string& worker,
                operator_file::Diagnostics* diagnostics);

// Runs `io` until they are loaded, before there is anything to serve. Null, and why, if one is not.
std::shared_ptr<plugin::Tagger> LoadAndWait(boost::asio::io_context& io, plugin::Host& host,
                                            const OperatorConfig& config,
                                            operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_PLUGINS_H_
