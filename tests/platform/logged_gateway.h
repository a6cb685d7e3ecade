#pragma once

#include <unistd.h>

#include <cstdio>
#include <string>

#include "platform/instance_fixture.h"

namespace vanilladeck::platform::testing {

/// Entry of the server of `ServerText` with another state.
inline std::string Server(const std::string& state, int sequence) {
  auto server = nlohmann::json::parse(ServerText());
  server["status"]["state"] = state;
  server["status"]["seq"] = sequence;
  return server.dump();
}

/// A gateway whose log can be searched.
struct LoggedGateway {
  LoggedGateway(boost::asio::io_context& io, const gateway::GatewaySettings& settings)
      : log(std::tmpfile()),
        events(fileno(log), settings.instance),
        codec({"east-a"}),
        instance(io, settings, codec, events) {}
  ~LoggedGateway() { (void)std::fclose(log); }
  LoggedGateway(const LoggedGateway&) = delete;
  LoggedGateway& operator=(const LoggedGateway&) = delete;

  [[nodiscard]] std::string Events() const {
    std::string text(1U << 20U, '\0');
    const ssize_t n = pread(fileno(log), text.data(), text.size(), 0);
    text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return text;
  }
  [[nodiscard]] bool Logged(const std::string& text) const {
    return Events().find(text) != std::string::npos;
  }
  [[nodiscard]] bool HasPolicy(std::uint64_t version) const {
    return Logged("\"version\":" + std::to_string(version) + ",\"revision\"");
  }
  [[nodiscard]] bool KnowsDraining() const { return Logged("\"event\":\"server-draining\""); }

  std::FILE* log;
  telemetry::EventStream events;
  Codec codec;
  gateway::Gateway instance;
};

}  // namespace vanilladeck::platform::testing
