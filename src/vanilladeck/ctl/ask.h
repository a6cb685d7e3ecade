#pragma once

#include <optional>
#include <string>

#include "vanilladeck/ctl/commands.h"

namespace vanilladeck::ctl {

/// Sends a request that changes nothing to the listeners in turn until one answers.
[[nodiscard]] core::Result<HttpAnswer, ExitCode> Ask(const Options& options,
                                                     const Transport& transport,
                                                     const std::string& method,
                                                     const std::string& target,
                                                     const std::string& body, Output output);

/// Content of a file, "-" for standard input; failures are reported.
[[nodiscard]] std::optional<std::string> ReadText(const std::string& file, Output output);

}  // namespace vanilladeck::ctl
