#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::FullResponse;
using testing::HeaderOf;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

/// Writes `text` on the connection after `delay`.
void WriteLater(boost::asio::io_context& io, const ScriptedServer::ConnectionPtr& connection,
                const std::string& text, core::Duration delay) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait(
      [timer, connection, text](boost::system::error_code) { connection->Write(text); });
}

// Guards against a caller that gets the response to another request: a server sends a second copy
// while the connection is idle, is being handed out, or carries the next request.
TEST_CASE("a second copy of a response does not reach the next request") {
  const core::Duration delay = GENERATE(0ms, 1ms, 20ms, 400ms);
  const core::Duration pause = GENERATE(0ms, 1ms, 60ms);
  CAPTURE(delay, pause);
  ProxyFixture f;
  auto& server = f.AddServer("i-1", [&](const auto& connection, const std::string& request) {
    const std::string id = HeaderOf(request, "Request-Id");
    const std::string text = FullResponse(request, "body of " + id);
    WriteLater(f.io, connection, text, id == "id-1" ? 0ms : 500ms);
    if (id == "id-1") WriteLater(f.io, connection, text, delay);
  });
  CHECK(f.BodyOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "body of id-1");
  f.RunFor(pause);
  const std::string answer = f.Fetch("POST", "/write/1", "id-2", "x");
  CHECK(f.BodyOf(answer) == "body of id-2");
  CHECK(HeaderOf(answer, "Request-Id") == "id-2");
  CHECK(server.requests.size() == 2);
}

// Guards against a running request that is said not to have run, and sent again: a refusal that
// does not name its request arrives a second time, on a connection that carries the next request.
TEST_CASE("a second copy of a refusal without an id does not refuse the next request") {
  const core::Duration delay = GENERATE(0ms, 1ms, 20ms, 400ms);
  const std::string status = GENERATE("503 Service Unavailable", "421 Misdirected Request");
  // The refusal may be the first response of its connection, or follow one with an id.
  const bool on_used_connection = GENERATE(false, true);
  CAPTURE(delay, status, on_used_connection);
  ProxyFixture f;
  const std::string refusal = "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  int runs = 0;
  auto& server = f.AddServer("i-1", [&](const auto& connection, const std::string& request) {
    const std::string id = HeaderOf(request, "Request-Id");
    if (id == "id-1" && !on_used_connection) {
      connection->Write(refusal);
      WriteLater(f.io, connection, refusal, delay);
      return;
    }
    if (id == "id-2") {
      ++runs;
      if (on_used_connection) WriteLater(f.io, connection, refusal, delay);
    }
    WriteLater(f.io, connection, FullResponse(request, "body of " + id),
               id == "id-2" ? 500ms : 0ms);
  });
  const std::string first = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(first) == (on_used_connection ? "200" : "503"));
  // A misdirected server is not used again until it reports.
  auto report = ProxyFixture::Report("i-1", server.Address());
  report.sequence = 2;
  f.Apply(report);
  f.context.servers.Find("i-1")->ejected_until = core::TimePoint{};
  const std::string second = f.Fetch("POST", "/write/1", "id-2", "x");
  CHECK(f.StatusOf(second) == "200");
  CHECK(f.BodyOf(second) == "body of id-2");
  CHECK(runs == 1);
}

}  // namespace
}  // namespace vanilladeck::gateway
