// SPDX-License-Identifier: Apache-2.0
//
// Loads the plug-ins of an operator's file. The file is accepted only if all of them load.
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

// Path of kestrelline-plugin-worker in the directory of the running program.
std::string DefaultPluginWorker();

// Adds each plug-in that failed to load to `diagnostics`.
void Report(const std::vector<plugin::Host::Problem>& problems, operator_file::Diagnostics* diagnostics);

// Loads the plug-ins of a file in workers that end with this call. True if all of them load.
bool TryPlugins(const OperatorConfig& config, const std::string& worker,
                operator_file::Diagnostics* diagnostics);

// Runs `io` until the plug-ins are loaded; for use at startup, before anything is served on `io`. Returns
// null and adds the errors to `diagnostics` if one of them fails to load.
std::shared_ptr<plugin::Tagger> LoadAndWait(boost::asio::io_context& io, plugin::Host& host,
                                            const OperatorConfig& config,
                                            operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_PLUGINS_H_
