#include <docopt/docopt.h>

#include <iostream>

#include "standins/load/generator.h"

namespace vanilladeck::standins {
namespace {

constexpr char kUsage[] = R"(Load generator: a caller that sends requests of all ranks.

Usage:
  standin_load --entries=ADDRS --service=NAME [options]

Options:
  --entries=ADDRS      Comma-separated IP:port of callers' listeners.
  --service=NAME       Service to call.
  --seconds=N          Time during which requests start [default: 10].
  --urgent=RPS         Requests a second [default: 0].
  --normal=RPS         Requests a second [default: 0].
  --bulk=RPS           Requests a second [default: 0].
  --post-share=X       Share of operations with an idempotency key [default: 0.3].
  --timeout-ms=N       Timeout of a request [default: 2000].
  --max-in-flight=N    Requests beyond this are counted as skipped [default: 500].
  --client-id=NAME     Sent as Client-Id [default: load].
  --seed=N             Seed of arrivals and kinds [default: 1].
  --operations=FILE    Gets one JSON line for each operation [default: ].
)";

LoadSettings ParseSettings(std::map<std::string, docopt::value> args) {
  LoadSettings out;
  std::istringstream entries(args["--entries"].asString());
  for (std::string it; std::getline(entries, it, ',');) out.entries.push_back(ParseEndpoint(it));
  out.service = args["--service"].asString();
  out.client_id = args["--client-id"].asString();
  out.duration = std::chrono::seconds(args["--seconds"].asLong());
  for (core::Rank rank : core::kAllRanks) {
    out.rates[core::Index(rank)] = std::stod(args["--" + std::string(core::Name(rank))].asString());
  }
  out.post_share = std::stod(args["--post-share"].asString());
  out.timeout = milliseconds(args["--timeout-ms"].asLong());
  out.max_in_flight = static_cast<std::size_t>(args["--max-in-flight"].asLong());
  out.seed = static_cast<std::uint64_t>(args["--seed"].asLong());
  out.operations_file = args["--operations"].asString();
  return out;
}

}  // namespace
}  // namespace vanilladeck::standins

int main(int argc, char** argv) try {
  using namespace vanilladeck::standins;  // NOLINT(google-build-using-namespace)
  boost::asio::io_context context;
  Generator generator(context, ParseSettings(docopt::docopt(kUsage, {argv + 1, argv + argc})));
  generator.Start();
  context.run();
  std::cout << generator.Summary().dump() << std::endl;
} catch (const std::exception& error) {
  std::cerr << "standin_load: " << error.what() << "\n";
  return 1;
}
