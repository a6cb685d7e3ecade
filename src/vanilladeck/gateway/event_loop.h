#pragma once

#include <boost/asio/io_context.hpp>

#include "vanilladeck/telemetry/event_stream.h"

namespace vanilladeck::gateway {

/// Runs the event loop until it is stopped.
///
/// A handler that throws ends its own connection or call only; the others go on. Rethrows when
/// handlers fail so often that a new process is the better remedy.
void RunEventLoop(boost::asio::io_context& context, telemetry::EventStream& events);

}  // namespace vanilladeck::gateway
