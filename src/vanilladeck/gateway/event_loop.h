#pragma once

#include <boost/asio/io_context.hpp>

#include "vanilladeck/telemetry/event_stream.h"

namespace vanilladeck::gateway {

/// Runs the event loop until it is stopped.
///
/// A handler that throws ends only its own connection or call. Rethrows when handlers fail so often
/// that the process should be restarted.
void RunEventLoop(boost::asio::io_context& context, telemetry::EventStream& events);

}  // namespace vanilladeck::gateway
