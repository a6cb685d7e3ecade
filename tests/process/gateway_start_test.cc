#include <signal.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

#include "process/child.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;

namespace {

constexpr milliseconds kStartTimeout{5000};
constexpr std::uint16_t kMetricsPort = 9464;  // deploy/system.toml

tcp::endpoint LoopbackEndpoint(std::uint16_t port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

/// A gateway process without a store, with its files in a temporary directory.
class GatewayProcess {
 public:
  GatewayProcess() : directory_(std::filesystem::temp_directory_path() / UniqueName()) {
    std::filesystem::create_directory(directory_);
    for (std::uint16_t& port : ports_) {
      const tcp::acceptor probe(io_, LoopbackEndpoint(0));
      port = probe.local_endpoint().port();
    }
    setenv("VANILLADECK_SETTINGS", SettingsPath().c_str(), 1);
  }
  ~GatewayProcess() {
    process_.reset();
    std::filesystem::remove_all(directory_);
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void WriteSettings(const std::string& extra_settings = "") const {
    std::ofstream out(SettingsPath());
    out << "node=edge-1\nzone=east-a\nregion=east\nzones.east-a=east\n"
        << "listen.front=127.0.0.1:" << ports_[0] << "\nlisten.ready=127.0.0.1:" << ports_[1]
        << "\nlisten.directory=127.0.0.1:" << ports_[2]
        << "\nlisten.control=127.0.0.1:" << ports_[3]
        << "\nprovider.address=127.0.0.1:" << ports_[4] << '\n'
        << extra_settings;
  }
  void Start() {
    process_.emplace(
        std::vector<std::string>{std::string(VANILLADECK_BINARY_DIR) + "/vanilladeck-gateway"},
        directory_ / "out");
  }
  Child& process() { return *process_; }
  [[nodiscard]] std::uint16_t client_port() const { return ports_[0]; }

  /// Waits until the client listener accepts connections; false after `kStartTimeout`.
  bool WaitUntilServing() {
    return WaitUntil(kStartTimeout, [this] {
      tcp::socket socket(io_);
      boost::system::error_code ec;
      socket.connect(LoopbackEndpoint(ports_[0]), ec);
      return !ec;
    });
  }

 private:
  static std::string UniqueName() {
    static int n = 0;
    return "vanilladeck-start-" + std::to_string(getpid()) + "-" + std::to_string(n++);
  }
  [[nodiscard]] std::string SettingsPath() const { return directory_ / "settings.conf"; }

  boost::asio::io_context io_;
  std::filesystem::path directory_;
  std::array<std::uint16_t, 5> ports_{};
  std::optional<Child> process_;
};

bool Contains(const std::string& text, const std::string& substring) {
  return text.find(substring) != std::string::npos;
}

}  // namespace

// Guards against gateways that fail to start because the metrics port is in use.
TEST_CASE("a gateway serves clients when its metrics port is in use", "[process]") {
  boost::asio::io_context io;
  boost::system::error_code bind_error;
  tcp::acceptor occupied(io);
  occupied.open(tcp::v4());
  occupied.bind(LoopbackEndpoint(kMetricsPort), bind_error);
  if (!bind_error) occupied.listen();
  GatewayProcess gateway;
  gateway.WriteSettings();
  gateway.Start();
  CHECK(gateway.WaitUntilServing());
  CHECK(WaitUntil(kStartTimeout,
                  [&] { return Contains(gateway.process().Stdout(), "\"metrics\""); }));
  CHECK(Contains(gateway.process().Stdout(), "listener-failed"));
  CHECK_FALSE(gateway.process().Wait(milliseconds(0)));
}

// Guards against a gateway that exits because its predecessor still holds the port.
TEST_CASE("a gateway retries a client port that is in use at startup", "[process]") {
  GatewayProcess gateway;
  gateway.WriteSettings();
  boost::asio::io_context io;
  tcp::acceptor occupied(io, LoopbackEndpoint(gateway.client_port()));
  gateway.Start();
  CHECK(WaitUntil(kStartTimeout,
                  [&] { return Contains(gateway.process().Stdout(), "listener-failed"); }));
  CHECK_FALSE(gateway.process().Wait(milliseconds(500)));
  occupied.close();
  CHECK(gateway.WaitUntilServing());
}

// Guards against a reload signal that terminates a gateway during startup, and against a startup
// that fails if the settings file does not exist yet.
TEST_CASE("a gateway survives SIGHUP and a missing settings file during startup", "[process]") {
  GatewayProcess gateway;
  gateway.Start();
  // Gives the program time to load; its first action is to install the signal handler.
  std::this_thread::sleep_for(milliseconds(300));
  gateway.process().Signal(SIGHUP);
  CHECK_FALSE(gateway.process().Wait(milliseconds(200)));
  gateway.WriteSettings();
  CHECK(gateway.WaitUntilServing());
}

// Guards against a gateway that keeps running without valid settings.
TEST_CASE("a gateway with invalid settings exits and reports the key", "[process]") {
  GatewayProcess gateway;
  gateway.WriteSettings("listen.front=nowhere\n");
  gateway.Start();
  constexpr int kExitInvalidSettings = 2;
  CHECK(gateway.process().Wait(kStartTimeout) == kExitInvalidSettings);
  CHECK(Contains(gateway.process().Stderr(), "listen.front is not IP:port"));
}
