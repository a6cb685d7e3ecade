#pragma once

#include "vanilladeck/ctl/commands.h"

namespace vanilladeck::ctl {

/// Publishes a change, trying the listeners in turn until one gives a definite result.
///
/// Every attempt carries the same mark, so that a retry of an accepted change is recognised. After
/// a lost response only an acceptance or a conflict is definite: a refusal applies to its own
/// attempt only, and the outcome of the change stays unknown.
[[nodiscard]] ExitCode RunApply(const ApplyCommand& command, const Options& options,
                                const Transport& transport, Output output);

/// Removes the line "# base_version = N", which `show` writes, from the start of a text and returns
/// N.
[[nodiscard]] std::optional<std::uint64_t> TakeBaseVersion(std::string& text);

[[nodiscard]] std::string BaseVersionLine(std::uint64_t version);

}  // namespace vanilladeck::ctl
