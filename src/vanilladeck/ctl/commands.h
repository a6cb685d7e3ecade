#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include "vanilladeck/ctl/exit_code.h"
#include "vanilladeck/ctl/operator_client.h"
#include "vanilladeck/ctl/options.h"

namespace vanilladeck::ctl {

/// Sends one HTTP request to a listener; the arguments are address, method, target and body. The
/// program uses `SendOperatorRequest`.
using Transport = std::function<core::Result<HttpResponse, CallError>(
    const std::string&, const std::string&, const std::string&, const std::string&)>;

struct Output {
  std::ostream& out;     ///< Results.
  std::ostream& errors;  ///< Error messages.
};

/// Runs one command and returns the program's exit code.
[[nodiscard]] ExitCode Run(const Options& options, const Transport& transport, Output output);

/// Parses the command line and calls `Run` with a transport over HTTP.
[[nodiscard]] ExitCode Main(const std::vector<std::string>& arguments, Output output);

}  // namespace vanilladeck::ctl
