#pragma once

#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/child.h"

namespace vanilladeck::process {

/// A gateway process, with its files in a temporary directory. Without further settings nothing
/// listens at the address of its store.
class GatewayProcess {
 public:
  static constexpr std::uint16_t kMetricsPort = 9464;  // deploy/system.toml

  /// All listeners use `address`, a loopback address.
  explicit GatewayProcess(std::string address = "127.0.0.1")
      : address_(std::move(address)),
        directory_(std::filesystem::temp_directory_path() / UniqueName()) {
    std::filesystem::create_directory(directory_);
    // All are held until the last one is chosen, so that none is chosen twice.
    std::vector<boost::asio::ip::tcp::acceptor> probes;
    for (std::uint16_t& port : ports_) {
      port = probes.emplace_back(io_, Endpoint(0)).local_endpoint().port();
    }
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
        << "listen.front=" << address_ << ':' << ports_[0] << "\nlisten.ready=" << address_ << ':'
        << ports_[1] << "\nlisten.directory=" << address_ << ':' << ports_[2]
        << "\nlisten.control=" << address_ << ':' << ports_[3] << "\nprovider.address=" << address_
        << ':' << ports_[4] << '\n'
        << extra_settings;
  }
  /// Starts the process, or another one after it has ended, with an output file of its own.
  void Start() {
    setenv("VANILLADECK_SETTINGS", SettingsPath().c_str(), 1);
    process_.emplace(
        std::vector<std::string>{std::string(VANILLADECK_BINARY_DIR) + "/vanilladeck-gateway"},
        directory_ / ("out-" + std::to_string(++starts_)));
  }
  Child& process() { return *process_; }
  [[nodiscard]] const std::filesystem::path& directory() const noexcept { return directory_; }

  [[nodiscard]] std::uint16_t client_port() const { return ports_[0]; }
  [[nodiscard]] std::uint16_t readiness_port() const { return ports_[1]; }
  [[nodiscard]] std::uint16_t lookup_port() const { return ports_[2]; }
  [[nodiscard]] std::uint16_t peer_port() const { return ports_[3]; }
  [[nodiscard]] boost::asio::ip::tcp::endpoint Endpoint(std::uint16_t port) const {
    return {boost::asio::ip::make_address(address_), port};
  }

  /// Waits until the client listener accepts connections; false after `timeout`.
  bool WaitUntilServing(milliseconds timeout) {
    return WaitUntil(timeout, [this] {
      boost::asio::ip::tcp::socket socket(io_);
      boost::system::error_code ec;
      socket.connect(Endpoint(client_port()), ec);
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
  std::string address_;
  std::filesystem::path directory_;
  std::array<std::uint16_t, 5> ports_{};
  int starts_ = 0;
  std::optional<Child> process_;
};

}  // namespace vanilladeck::process
