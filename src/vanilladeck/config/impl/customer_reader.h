#pragma once

#include "vanilladeck/config/deployment.h"
#include "vanilladeck/config/impl/table_reader.h"

namespace vanilladeck::config::impl {

/// Reads `[[customer]]` and checks names, keys and references to regions. No error contains a key.
void ReadCustomers(TableReader& root, Deployment& out, ErrorSink& sink);

}  // namespace vanilladeck::config::impl
