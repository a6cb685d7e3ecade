#pragma once

#include <optional>
#include <string>

#include "vanilladeck/ctl/commands.h"

namespace vanilladeck::ctl {

/// Sends a read-only request to the listeners in turn until one responds.
[[nodiscard]] core::Result<HttpResponse, ExitCode> QueryOperators(
    const Options& options, const Transport& transport, const std::string& method,
    const std::string& target, const std::string& body, Output output);

/// Content of a file, or of standard input for "-"; errors are written to `output`.
[[nodiscard]] std::optional<std::string> ReadInput(const std::string& file, Output output);

}  // namespace vanilladeck::ctl
