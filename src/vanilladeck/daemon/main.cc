#include <docopt/docopt.h>
#include <glog/logging.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/daemon/control.h"
#include "vanilladeck/daemon/serving.h"
#include "vanilladeck/daemon/settings.h"

namespace {

constexpr char kUsage[] = R"(vanilladeckd, the daemon of an entry instance.

Usage:
  vanilladeckd --settings FILE [--check]
  vanilladeckd --help

Options:
  --settings FILE  Settings of this instance (TOML), see docs/OPERATIONS.md.
  --check          Check the settings, print every error and exit.
  --help           Show this text.

SIGTERM and SIGINT start a graceful shutdown; a second one ends the process at once.

Exit status: 0 after a graceful shutdown or a successful check, 1 for wrong settings or a listener
that can't be opened, 2 for a wrong command line.
)";

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

using vanilladeck::daemon::Control;
using vanilladeck::daemon::Serving;
using vanilladeck::daemon::Settings;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int Run(const Settings& settings) {
  // Blocked before any thread starts, so that only sigwait() below receives them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const vanilladeck::core::InstanceId self{settings.listen.peers.ToString(),
                                           vanilladeck::core::NewIncarnation()};
  auto control = Control::Create(settings, self);
  if (!control.has_value()) {
    std::cerr << "vanilladeckd: startup failed: " << control.error().part << " on "
              << control.error().address << ": " << control.error().reason << '\n';
    return kExitFailed;
  }
  auto serving = Serving::Create(settings, self, control.value()->mailbox());
  if (!serving.has_value()) {
    std::cerr << "vanilladeckd: startup failed: callers on " << serving.error().address << ": "
              << serving.error().detail << '\n';
    return kExitFailed;
  }
  Serving& server = *serving.value();
  server.Start();
  control.value()->Start(server.caller_address(),
                         [&server](auto message) { return server.Post(std::move(message)); });
  int received = 0;
  sigwait(&signals, &received);
  control.value()->Drain();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  server.Join();
  control.value()->Join();
  return 0;
}

int RunMain(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, false);
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << "vanilladeckd: " << error.what() << '\n' << kUsage;
    return kExitUsage;
  }
  if (arguments.at("--help").asBool()) {
    std::cout << kUsage;
    return 0;
  }
  auto settings = Settings::Load(arguments.at("--settings").asString());
  if (!settings.has_value()) {
    for (const auto& error : settings.error()) std::cerr << error.ToString() << '\n';
    return kExitFailed;
  }
  if (arguments.at("--check").asBool()) return 0;
  return Run(settings.value());
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunMain(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "vanilladeckd: %s\n", error.what());
  } catch (...) {
    std::fputs("vanilladeckd: unknown exception\n", stderr);
  }
  return kExitFailed;
}
