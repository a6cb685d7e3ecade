#include <fstream>
#include <iostream>
#include <string>

#include "vanilladeck/replay/generator.h"
#include "vanilladeck/replay/report.h"
#include "vanilladeck/replay/simulation.h"
#include "vanilladeck/replay/trace.h"

/// Writes the standard traces to FOLDER, replays each and prints its report and the violated
/// targets.
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: bench_traces FOLDER\n";
    return 1;
  }
  for (const auto& trace : vanilladeck::replay::StandardTraces()) {
    const std::string path = std::string(argv[1]) + "/" + trace.name + ".jsonl";
    std::ofstream out(path);
    vanilladeck::replay::WriteTrace(trace, out);
    if (!out.flush()) {
      std::cerr << "cannot write " << path << '\n';
      return 1;
    }
    const auto report = vanilladeck::replay::Replay(trace, {});
    if (!report) {
      std::cerr << trace.name << ": " << report.error().problem << '\n';
      return 1;
    }
    std::cout << trace.name << ": " << trace.arrivals.size() << " arrivals, goodput "
              << report.value().goodput << ", forwarded " << report.value().forwarded << '\n';
    for (const auto& rank : report.value().ranks) {
      std::cout << "  offered " << rank.offered << " (" << rank.offered_share << ") completed "
                << rank.completed << " rejected " << rank.rejected << " share " << rank.share
                << " p99 ms " << rank.p99.count() / 1'000'000 << " unloaded "
                << rank.unloaded_p99.count() / 1'000'000 << '\n';
    }
    for (const auto& [pair, peak] : report.value().shifts) {
      std::cout << "  shift " << pair.first << " to " << pair.second << ": at most " << peak.rate
                << " per second, " << peak.in_flight << " in flight\n";
    }
    for (const auto& violation : vanilladeck::replay::FindViolations(trace, report.value())) {
      std::cout << "  VIOLATION: " << violation << '\n';
    }
  }
  return 0;
}
