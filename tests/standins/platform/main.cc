#include <docopt/docopt.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "standins/platform/platform.h"

namespace {

constexpr char kUsage[] = R"(Stand-in for the platform: its key-value store and its instance list.

Usage:
  standin_platform --listen=ADDR --control=ADDR [--token=TOKEN] [--list-lag-ms=N]

Options:
  --listen=ADDR     IP:port of the Consul HTTP API.
  --control=ADDR    IP:port of the control listener for faults and statistics.
  --token=TOKEN     Token that requests must carry [default: ].
  --list-lag-ms=N   Staleness of the served instance list [default: 0].
)";

}  // namespace

int main(int argc, char** argv) try {
  using vanilladeck::standins::ParseEndpoint;
  auto args = docopt::docopt(kUsage, {argv + 1, argv + argc});
  boost::asio::io_context context;
  vanilladeck::standins::Platform platform(
      context,
      {ParseEndpoint(args["--listen"].asString()), ParseEndpoint(args["--control"].asString()),
       args["--token"].asString(), std::chrono::milliseconds(args["--list-lag-ms"].asLong())});
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, auto) { context.stop(); });
  std::cout << "ready " << platform.address() << std::endl;
  context.run();
} catch (const std::exception& error) {
  std::cerr << "standin_platform: " << error.what() << "\n";
  return 1;
}
