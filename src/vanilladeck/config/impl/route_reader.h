#pragma once

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/config/impl/table_reader.h"

namespace vanilladeck::config::impl {

/// Ranks of routes and customers; 0 is the most urgent.
inline constexpr Bounds kPriority{0, 15, false};

/// Reads `[[route]]` and `[limits]` and checks references to regions and services.
void ReadRoutes(TableReader& root, Deployment& out, ErrorSink& sink);

/// Reads the optional key `allowed_regions` of a table and checks that the regions are defined.
[[nodiscard]] std::vector<std::string> ReadAllowedRegions(TableReader& reader,
                                                          const Deployment& deployment,
                                                          ErrorSink& sink);

}  // namespace vanilladeck::config::impl
