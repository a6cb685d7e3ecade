#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gateway/proxy_fixture.h"
#include "gateway/slow_reader.h"

namespace vanilladeck::gateway {
namespace {

using testing::FullResponse;
using testing::kLargeBody;
using testing::LargeResponseFixture;
using testing::ProxyFixture;
using testing::ScriptedServer;
using testing::SlowReader;
using namespace std::chrono_literals;

/// An instance with one server that answers at once.
struct StopFixture : ProxyFixture {
  StopFixture() {
    (void)AddServer("i-1", [](const auto& connection, const std::string& request) {
      connection->Write(FullResponse(request, "done"));
    });
  }

  void CloseIdle(core::Duration min_idle) {
    group().closing = true;
    const std::vector<ClientSession*> sessions(group().sessions.begin(), group().sessions.end());
    for (ClientSession* it : sessions) it->CloseIfIdle(min_idle);
  }
};

// Guards against requests that are lost in a planned stop under load: they have arrived but are not
// read yet, so that their connection counts as idle.
TEST_CASE("a request that waits to be read is answered although idle connections are closed") {
  StopFixture f;
  auto client = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.group().sessions.size() == 1; }));
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  f.CloseIdle(0ms);
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(client->input) || client->closed; }));
  CHECK(f.StatusOf(client->input) == "200");
  CHECK(testing::HeaderOf(client->input, "Connection") == "close");
}

// Guards against requests that are read and then dropped: a connection that is closed while idle
// must not read any more, so that its client gets a reset and knows that the request has not run.
TEST_CASE("a request that crosses the close of an idle connection is not read") {
  StopFixture f;
  auto client = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.group().sessions.size() == 1; }));
  f.CloseIdle(0ms);
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  CHECK(f.RunUntil([&] { return client->closed && f.group().sessions.empty(); }, 500ms));
}

// Guards against connections that are closed as idle before the first request of their client can
// have arrived.
TEST_CASE("a connection that was just accepted is not closed as idle") {
  StopFixture f;
  auto client = f.Connect();
  REQUIRE(f.RunUntil([&] { return f.group().sessions.size() == 1; }));
  f.CloseIdle(500ms);
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(client->input) || client->closed; }));
  CHECK(f.StatusOf(client->input) == "200");
}

// Guards against connections that wait to be accepted and are reset with the listening socket.
TEST_CASE("connections that wait to be accepted are served when the listener closes") {
  StopFixture f;
  std::vector<std::shared_ptr<ProxyFixture::Client>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(f.Connect());
    f.Send(*clients.back(), f.RequestText("POST", "/write/1", "id-" + std::to_string(i), "x"));
  }
  f.group().closing = true;
  f.listener().Close();
  for (const auto& it : clients) {
    CHECK(f.RunUntil([&] { return f.HasAnswer(it->input); }, 2s));
  }
}

/// An instance whose servers do not answer, some time into a stop with a grace period of 6 s.
struct LateStopFixture : ProxyFixture {
  ScriptedServer& AddSilentServer(const std::string& id) {
    return AddServer(id, [](const auto&, const std::string&) {});
  }
  void BeginStop(core::Duration ago) {
    group().closing = true;
    context.stop.emplace(core::RuntimeClock::now() - ago, 6s);
  }
  void AnswerAll() {
    for (const auto& it : listener().Sessions()) it->AnswerAll();
  }
};

// Guards against requests that a stopping instance takes although its exit cuts them off: their
// clients learn nothing of what the server has run.
TEST_CASE("a request that may outlast a stopping instance is refused as not run") {
  LateStopFixture f;
  const ScriptedServer& server = f.AddSilentServer("i-1");
  const std::string kind = GENERATE("/write/1", "/read/1");
  CAPTURE(kind);
  f.BeginStop(4500ms);
  const auto began = core::RuntimeClock::now();
  const std::string answer = f.Fetch("POST", kind, "id-1", "x");
  CHECK(f.StatusOf(answer) == "503");
  CHECK(testing::HeaderOf(answer, "Connection") == "close");
  CHECK(core::RuntimeClock::now() - began < 500ms);
  CHECK(server.requests.empty());
}

// Guards against a stopping instance that refuses what it can still answer.
TEST_CASE("a request whose deadline lies before the exit is served during a stop") {
  StopFixture f;
  f.group().closing = true;
  f.context.stop.emplace(core::RuntimeClock::now() - 3500ms, 6s);
  CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "200");
}

// Guards against a second attempt that the exit cuts off, after a server that has refused the
// first one.
TEST_CASE("a refused request is not sent to another server if it may outlast the instance") {
  LateStopFixture f;
  const auto refuse = [&f](const auto& connection, const std::string& request) {
    f.BeginStop(4500ms);
    connection->Write(
        testing::FullResponse(request, "", "503 Service Unavailable", "Not-Run: 1\r\n"));
  };
  const ScriptedServer& first = f.AddServer("i-1", refuse);
  const ScriptedServer& second = f.AddServer("i-2", refuse);
  CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "503");
  CHECK(first.requests.size() + second.requests.size() == 1);
}

// Guards against a request that is sent after the stop has begun since its server was chosen
// before.
TEST_CASE("a request that waits for its connection when a stop begins is not sent") {
  LateStopFixture f;
  const ScriptedServer& server = f.AddSilentServer("i-1");
  f.after_start = [&f] { f.BeginStop(4500ms); };
  CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "503");
  CHECK(server.requests.empty());
}

// Guards against connections that end without a response at the exit: of requests at which a server
// works, and of those that have arrived in part.
TEST_CASE("before the exit every request gets a response") {
  LateStopFixture f;
  (void)f.AddSilentServer("i-1");
  auto running = f.Connect();
  f.Send(*running, f.RequestText("POST", "/write/1", "id-1", "x"));
  auto head = f.Connect();
  f.Send(*head, "POST /write/1 HTTP/1.1\r\nHost: a.ex");
  auto body = f.Connect();
  f.Send(*body,
         "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-2\r\n"
         "Content-Length: 5\r\n\r\nab");
  f.RunFor(100ms);
  f.BeginStop(5500ms);
  f.AnswerAll();
  for (const auto& it : {running, head, body}) {
    CHECK(f.RunUntil([&] { return f.HasAnswer(it->input); }, 500ms));
    CHECK(testing::HeaderOf(it->input, "Connection") == "close");
  }
  CHECK(f.StatusOf(running->input) == "504");
  CHECK(f.StatusOf(head->input) == "503");
  CHECK(f.StatusOf(body->input) == "503");
}

// Guards against responses that are cut off while their client reads them: the rest was handed to
// the system, and a request that arrives on the closed connection resets it.
TEST_CASE("a connection is not closed as idle while its response is being delivered") {
  LargeResponseFixture f;
  SlowReader client(f);
  client.Send(f.RequestText("GET", "/read/large", "id-1"));
  REQUIRE(f.RunUntilHandedOver());
  f.group().closing = true;
  for (const auto& it : f.listener().Sessions()) it->CloseIfIdle(0ms);
  client.Send(f.RequestText("GET", "/read/small", "id-2"));
  f.RunFor(50ms);
  client.ReadUntil(kLargeBody + 1000);
  CHECK(client.closed);
  CHECK(client.input.size() > kLargeBody);
  // The request that was sent ahead is answered as well.
  CHECK(client.input.rfind("small") == client.input.size() - 5);
}

// Guards against the same at the end of a connection that its response closes.
TEST_CASE("a connection that its response closes stays until that is delivered") {
  LargeResponseFixture f;
  SlowReader client(f);
  client.Send(f.RequestText("GET", "/read/large", "id-1", "", "Connection: close\r\n"));
  // Longer than a client is given that has received everything.
  f.RunFor(1300ms);
  client.Send("more");
  f.RunFor(50ms);
  client.ReadUntil(kLargeBody + 1000);
  CHECK(client.input.size() > kLargeBody);
}

// Guards against the same when the connection has been idle for too long.
TEST_CASE("a connection whose response is being delivered does not run into the idle timeout") {
  LargeResponseFixture f;
  f.group().limits.idle_timeout = 200ms;
  SlowReader client(f);
  client.Send(f.RequestText("GET", "/read/large", "id-1"));
  f.RunFor(500ms);
  client.Send(f.RequestText("GET", "/read/small", "id-2"));
  f.RunFor(50ms);
  client.ReadUntil(kLargeBody + 200);
  CHECK(client.input.find("small") != std::string::npos);
}

}  // namespace
}  // namespace vanilladeck::gateway
