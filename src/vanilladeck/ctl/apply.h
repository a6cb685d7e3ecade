#pragma once

#include "vanilladeck/ctl/commands.h"

namespace vanilladeck::ctl {

/// Publishes a change through the first listener that settles it.
///
/// Every attempt carries the same mark, so that an attempt whose answer was lost is recognised.
/// After a lost answer only an acceptance or a conflict is definite: a refusal speaks for its own
/// attempt, and the outcome stays unknown.
[[nodiscard]] ExitCode RunApply(const ApplyCommand& command, const Options& options,
                                const Transport& transport, Output output);

/// Takes the "# base_version = N" line, which `show` writes, off the start of a text.
[[nodiscard]] std::optional<std::uint64_t> TakeBaseVersion(std::string& text);

[[nodiscard]] std::string BaseVersionLine(std::uint64_t version);

}  // namespace vanilladeck::ctl
