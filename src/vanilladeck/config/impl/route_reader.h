#pragma once

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/config/impl/table_reader.h"

namespace vanilladeck::config::impl {

/// Reads `[[route]]` and `[limits]` and checks references to regions and services.
void ReadRoutes(TableReader& root, Deployment& out, ErrorSink& sink);

}  // namespace vanilladeck::config::impl
