#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <sstream>

#include "platform/seeded_gateway.h"

namespace vanilladeck::platform {
namespace {

using gateway::testing::HeaderOf;
using testing::ScriptedServer;
using testing::SeededGateway;
using testing::ServerItem;
using testing::StateResponse;
using testing::tcp;
using namespace std::chrono_literals;

std::string TextOf(std::FILE* file) {
  std::string text;
  std::array<char, 4096> buf{};
  std::rewind(file);
  while (const std::size_t n = std::fread(buf.data(), 1, buf.size(), file)) {
    text.append(buf.data(), n);
  }
  return text;
}

/// The line of the event, without the members before its fields; empty if there is none.
nlohmann::json EventOf(const std::string& lines, const std::string& event) {
  std::istringstream in(lines);
  for (std::string line; std::getline(in, line);) {
    if (line.find('"' + event + '"') != std::string::npos) return nlohmann::json::parse(line);
  }
  return nullptr;
}

// Guards against a request that reaches the server to which an address was given on a connection
// that was kept to the former one.
TEST_CASE("connections to a server are closed when its address belongs to another one") {
  using FilePtr = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;
  const FilePtr log(std::tmpfile(), std::fclose);
  const std::string address = http::EndpointText(testing::FreeEndpoint());
  const auto former = ServerItem("i-1", address, 1700000000000, "east-a", 31);
  const auto newer = ServerItem("i-2", address, 1700000009000, "west-a", 32);
  SeededGateway f(StateResponse({former}), fileno(log.get()));
  ScriptedServer server(
      f.io,
      [](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        connection->Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + HeaderOf(request, "X-Attempt-Id") +
                          "\r\nX-Response-Seal: s\r\nContent-Length: 1\r\n\r\nx");
      },
      *http::ParseEndpoint(address));
  REQUIRE(f.ReadyWithin(8s));
  tcp::socket client(f.io);
  client.connect(f.settings.clients);
  boost::asio::write(client, boost::asio::buffer(std::string(
                                 "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
                                 "X-Deadline-Ms: 2000\r\n\r\n")));
  REQUIRE(f.RunUntil([&] { return client.available() > 0; }, 3s));
  REQUIRE(server.connections.size() == 1);
  REQUIRE_FALSE(server.connections[0]->closed_by_peer);
  f.answer = StateResponse({former, newer});
  // Idle connections expire only after 4.5 s.
  CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }, 3s));
  f.events.Flush();
  const auto event = EventOf(TextOf(log.get()), "address-shared");
  REQUIRE(event.is_object());
  CHECK(event.value("server", "") == "i-2");
  CHECK(event.value("region", "") == "west");
  CHECK(event.value("superseded", "") == "i-1");
  CHECK(event.value("superseded_region", "") == "east");
  CHECK(event.value("address", "") == address);
}

}  // namespace
}  // namespace vanilladeck::platform
