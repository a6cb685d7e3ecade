#pragma once

namespace vanilladeck::ctl {

/// Exit codes of vanilladeckctl; scripts rely on them.
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      ///< The text or request is invalid, or the change was refused.
  kUsage = 2,        ///< Invalid command line.
  kConflict = 3,     ///< Another change was accepted first.
  kUnreachable = 4,  ///< No operators' listener, or none with access to the store; nothing applied.
  kUnknown = 5,      ///< The change may or may not have been accepted.
};

}  // namespace vanilladeck::ctl
