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

constexpr milliseconds kStartLimit{5000};
constexpr std::uint16_t kMetricsPort = 9464;  // deploy/system.toml

tcp::endpoint Local(std::uint16_t port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

/// A gateway without a store, in a folder of its own.
class GatewayProcess {
 public:
  GatewayProcess() : folder_(std::filesystem::temp_directory_path() / Name()) {
    std::filesystem::create_directory(folder_);
    for (std::uint16_t& it : ports_) {
      const tcp::acceptor probe(io_, Local(0));
      it = probe.local_endpoint().port();
    }
    setenv("VANILLADECK_SETTINGS", Settings().c_str(), 1);
  }
  ~GatewayProcess() {
    program_.reset();
    std::filesystem::remove_all(folder_);
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void WriteSettings(const std::string& more = "") const {
    std::ofstream out(Settings());
    out << "node=edge-1\nzone=east-a\nregion=east\nzones.east-a=east\n"
        << "listen.front=127.0.0.1:" << ports_[0] << "\nlisten.ready=127.0.0.1:" << ports_[1]
        << "\nlisten.directory=127.0.0.1:" << ports_[2]
        << "\nlisten.control=127.0.0.1:" << ports_[3]
        << "\nprovider.address=127.0.0.1:" << ports_[4] << '\n'
        << more;
  }
  void Start() {
    program_.emplace(
        std::vector<std::string>{std::string(VANILLADECK_BINARY_DIR) + "/vanilladeck-gateway"},
        folder_ / "out");
  }
  Child& program() { return *program_; }
  [[nodiscard]] std::uint16_t clients_port() const { return ports_[0]; }

  /// True once the listener of clients takes connections.
  bool Serves() {
    return Within(kStartLimit, [this] {
      tcp::socket socket(io_);
      boost::system::error_code ec;
      socket.connect(Local(ports_[0]), ec);
      return !ec;
    });
  }

 private:
  static std::string Name() {
    static int n = 0;
    return "vanilladeck-start-" + std::to_string(getpid()) + "-" + std::to_string(n++);
  }
  [[nodiscard]] std::string Settings() const { return folder_ / "settings.conf"; }

  boost::asio::io_context io_;
  std::filesystem::path folder_;
  std::array<std::uint16_t, 5> ports_{};
  std::optional<Child> program_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a fleet that does not start because something else holds the metrics port.
TEST_CASE("a gateway serves without its metrics port", "[process]") {
  boost::asio::io_context io;
  boost::system::error_code in_use_already;
  tcp::acceptor occupied(io);
  occupied.open(tcp::v4());
  occupied.bind(Local(kMetricsPort), in_use_already);
  if (!in_use_already) occupied.listen();
  GatewayProcess gateway;
  gateway.WriteSettings();
  gateway.Start();
  CHECK(gateway.Serves());
  CHECK(Within(kStartLimit, [&] { return Contains(gateway.program().Output(), "\"metrics\""); }));
  CHECK(Contains(gateway.program().Output(), "listener-failed"));
  CHECK_FALSE(gateway.program().Wait(milliseconds(0)));
}

// Guards against a process that ends because its predecessor still holds the port.
TEST_CASE("a gateway waits for a port that is in use at its start", "[process]") {
  GatewayProcess gateway;
  gateway.WriteSettings();
  boost::asio::io_context io;
  tcp::acceptor occupied(io, Local(gateway.clients_port()));
  gateway.Start();
  CHECK(
      Within(kStartLimit, [&] { return Contains(gateway.program().Output(), "listener-failed"); }));
  CHECK_FALSE(gateway.program().Wait(milliseconds(500)));
  occupied.close();
  CHECK(gateway.Serves());
}

// Guards against a reload that ends a process which is still starting, and against a start that
// takes the settings file for granted.
TEST_CASE("SIGHUP and settings that come late do not end a starting gateway", "[process]") {
  GatewayProcess gateway;
  gateway.Start();
  // Time for the system to load the program, whose first action is to take over the signal.
  std::this_thread::sleep_for(milliseconds(300));
  gateway.program().Signal(SIGHUP);
  CHECK_FALSE(gateway.program().Wait(milliseconds(200)));
  gateway.WriteSettings();
  CHECK(gateway.Serves());
}

// Guards against a daemon that runs on although nothing tells it what to do.
TEST_CASE("a gateway without usable settings ends and names the key", "[process]") {
  GatewayProcess gateway;
  gateway.WriteSettings("listen.front=nowhere\n");
  gateway.Start();
  constexpr int kExitSettings = 2;
  CHECK(gateway.program().Wait(kStartLimit) == kExitSettings);
  CHECK(Contains(gateway.program().Errors(), "listen.front is not IP:port"));
}
