#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include "vanilladeck/ctl/exit_code.h"
#include "vanilladeck/ctl/operator_client.h"
#include "vanilladeck/ctl/options.h"

namespace vanilladeck::ctl {

/// Performs one exchange with a listener: address, method, target, body. `CallOperators` in the
/// program.
using Transport = std::function<core::Result<HttpAnswer, CallError>(
    const std::string&, const std::string&, const std::string&, const std::string&)>;

struct Output {
  std::ostream& out;     ///< Results.
  std::ostream& errors;  ///< Messages about failures.
};

/// Runs one command and returns the program's exit code.
[[nodiscard]] ExitCode Run(const Options& options, const Transport& transport, Output output);

/// `Run` with the command line's arguments and the real transport.
[[nodiscard]] ExitCode Main(const std::vector<std::string>& arguments, Output output);

}  // namespace vanilladeck::ctl
