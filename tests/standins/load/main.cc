#include <docopt/docopt.h>

#include <iostream>

#include "standins/load/generator.h"

namespace vanilladeck::standins {
namespace {

constexpr char kUsage[] = R"(Load generator: a client that sends requests of all ranks.

Usage:
  standin_load --entries=ADDRS --service=NAME [options]

Options:
  --entries=ADDRS      Comma-separated IP:port of the entry instances.
  --service=NAME       Service to call.
  --seconds=N          Time during which new requests are started [default: 10].
  --urgent=RPS         Urgent requests per second [default: 0].
  --normal=RPS         Normal requests per second [default: 0].
  --bulk=RPS           Bulk requests per second [default: 0].
  --post-share=X       Fraction of requests that are POSTs with an idempotency key [default: 0.3].
  --timeout-ms=N       Timeout of a request in ms [default: 2000].
  --max-in-flight=N    Arrivals beyond this are skipped and counted [default: 500].
  --client-id=NAME     Value of the Client-Id header [default: load].
  --seed=N             Seed of arrival times and request types [default: 1].
  --operations=FILE    File for one JSON line per operation [default: ].
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
  LoadGenerator generator(context, ParseSettings(docopt::docopt(kUsage, {argv + 1, argv + argc})));
  generator.Start();
  context.run();
  std::cout << generator.Summary().dump() << std::endl;
} catch (const std::exception& error) {
  std::cerr << "standin_load: " << error.what() << "\n";
  return 1;
}
