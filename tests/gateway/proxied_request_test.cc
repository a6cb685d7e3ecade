#include "vanilladeck/gateway/proxied_request.h"

#include <catch2/catch.hpp>
#include <ctime>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::HeaderOf;
using testing::ProxyFixture;
using testing::ScriptedServer;
using testing::Whole;
using namespace std::chrono_literals;

ScriptedServer::Script Answer(const std::string& body) {
  return [body](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
    connection->Write(Whole(request, body));
  };
}

/// Processor time of this thread.
std::chrono::nanoseconds ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t Arrivals(const std::vector<ScriptedServer*>& servers) {
  std::size_t n = 0;
  for (const ScriptedServer* it : servers) n += it->requests.size();
  return n;
}

TEST_CASE("a request is passed on whole and its answer comes back unchanged") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("hello"));
  const std::string answer = f.Ask("POST", "/write/1?q=2", "id-1", "body text");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(f.BodyOf(answer) == "hello");
  CHECK(HeaderOf(answer, "Seal") == "s");
  REQUIRE(server.requests.size() == 1);
  const std::string& seen = server.requests[0];
  CHECK(seen.rfind("POST /write/1?q=2 HTTP/1.1\r\n", 0) == 0);
  CHECK(seen.substr(seen.size() - 9) == "body text");
  CHECK(HeaderOf(seen, "Request-Id") == "id-1");
  CHECK(HeaderOf(seen, "Expected-Server") == "i-1");
  // The route allows 1.5 s of the client's 5 s.
  CHECK(std::stoi(HeaderOf(seen, "Deadline-Ms")) <= 1500);
  CHECK(std::stoi(HeaderOf(seen, "Deadline-Ms")) > 1000);
}

// Guards against a second run: after a reset the first server may have run the request.
TEST_CASE("a request that must run once reaches one server when its connection is reset") {
  ProxyFixture f;
  const auto reset = [](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
    connection->Reset();
  };
  std::vector<ScriptedServer*> servers;
  for (const char* id : {"i-1", "i-2", "i-3"}) servers.push_back(&f.AddServer(id, reset));
  const std::string answer = f.Ask("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "502");
  CHECK(Arrivals(servers) == 1);
}

TEST_CASE("an idempotent request is sent to another server after a reset") {
  ProxyFixture f;
  bool first = true;
  const auto script = [&first](const ScriptedServer::ConnectionPtr& connection,
                               const std::string& request) {
    if (first) {
      first = false;
      connection->Reset();
    } else {
      connection->Write(Whole(request, "second"));
    }
  };
  auto& one = f.AddServer("i-1", script);
  auto& two = f.AddServer("i-2", script);
  const std::string answer = f.Ask("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(one.requests.size() == 1);
  CHECK(two.requests.size() == 1);
}

TEST_CASE("a request that a server states not to have run goes to another server") {
  ProxyFixture f;
  bool first = true;
  const auto script = [&first](const ScriptedServer::ConnectionPtr& connection,
                               const std::string& request) {
    connection->Write(first ? Whole(request, "", "503 Busy", "Not-Run: 1\r\n")
                            : Whole(request, "done"));
    first = false;
  };
  auto& one = f.AddServer("i-1", script);
  auto& two = f.AddServer("i-2", script);
  const std::string answer = f.Ask("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(one.requests.size() + two.requests.size() == 2);
}

// Guards against the client repeating what has run: 503 promises that it has not.
TEST_CASE("503 is never sent for a request that may have run") {
  ProxyFixture f;
  int n = 0;
  const auto script = [&n](const ScriptedServer::ConnectionPtr& connection,
                           const std::string& request) {
    // The first server may have run it, the others refuse.
    if (n++ == 0) {
      connection->Close();
    } else {
      connection->Write(Whole(request, "", "503 Busy", "Not-Run: 1\r\n"));
    }
  };
  for (const char* id : {"i-1", "i-2", "i-3"}) (void)f.AddServer(id, script);
  CHECK(f.StatusOf(f.Ask("GET", "/read/1", "id-1")) == "502");
}

TEST_CASE("without a usable server a request is refused at once with a time to return") {
  ProxyFixture f;
  const std::string answer = f.Ask("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "503");
  CHECK(std::stod(HeaderOf(answer, "Retry-After")) > 0);
}

TEST_CASE("without a policy every request is refused, none is unknown") {
  ProxyFixture f;
  f.context.routes = nullptr;
  CHECK(f.StatusOf(f.Ask("GET", "/read/1", "id-1")) == "503");
}

TEST_CASE("a path without a route is not found") {
  ProxyFixture f;
  (void)f.AddServer("i-1", Answer("x"));
  CHECK(f.StatusOf(f.Ask("GET", "/none/1", "id-1")) == "404");
}

// Guards against another request's answer on a kept connection.
TEST_CASE("a late answer to an earlier request is dropped and the own one awaited") {
  ProxyFixture f;
  const auto script = [](const ScriptedServer::ConnectionPtr& connection,
                         const std::string& request) {
    std::string other = request;
    other.replace(other.find("id-1"), 4, "id-0");
    connection->Write(Whole(other, "not yours") + Whole(request, "yours"));
  };
  auto& server = f.AddServer("i-1", script);
  const std::string answer = f.Ask("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(f.BodyOf(answer) == "yours");
  // A connection with a stray answer carries no further request.
  CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }));
}

TEST_CASE("bytes after an answer end the connection, also when they come late") {
  for (const bool late : {false, true}) {
    ProxyFixture f;
    const auto script = [&](const ScriptedServer::ConnectionPtr& connection,
                            const std::string& request) {
      connection->Write(Whole(request, "ok") + (late ? "" : "HTTP/1.1 200 OK\r\n"));
    };
    auto& server = f.AddServer("i-1", script);
    CHECK(f.BodyOf(f.Ask("POST", "/write/1", "id-1", "x")) == "ok");
    if (late) server.connections[0]->Write("junk");
    CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }));
  }
}

// Guards against a cut answer that looks complete.
TEST_CASE("a cut or spoiled answer becomes a failure, never a success") {
  const std::vector<std::function<std::string(const std::string&)>> spoils{
      [](const std::string& r) { return Whole(r, "0123456789").substr(0, 60); },
      [](const std::string& r) {
        return Whole(r, "0123456789").substr(0, Whole(r, "0123456789").size() - 3);
      },
      [](const std::string&) { return std::string("garbage\r\n\r\n"); },
      [](const std::string& r) { return Whole(r, "x", "200 OK", "Content-Encoding: gzip\r\n"); },
      [](const std::string& r) {
        std::string text = Whole(r, "x");
        return text.erase(text.find("Seal: s\r\n"), 9);
      },
  };
  for (const auto& spoil : spoils) {
    ProxyFixture f;
    const auto script = [&](const ScriptedServer::ConnectionPtr& connection,
                            const std::string& request) {
      connection->Write(spoil(request));
      connection->Close();
    };
    (void)f.AddServer("i-1", script);
    const std::string answer = f.Ask("POST", "/write/1", "id-1", "x");
    CHECK(f.StatusOf(answer) == "502");
  }
}

TEST_CASE("an answer without length is whole at the close and not after a reset") {
  for (const bool reset : {false, true}) {
    ProxyFixture f;
    const auto script = [&](const ScriptedServer::ConnectionPtr& connection,
                            const std::string& request) {
      connection->Write("HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(request, "Request-Id") +
                        "\r\nSeal: s\r\n\r\nwhole body");
      if (reset) {
        connection->Reset();
      } else {
        connection->Close();
      }
    };
    (void)f.AddServer("i-1", script);
    const std::string answer = f.Ask("POST", "/write/1", "id-1", "x");
    CHECK(f.StatusOf(answer) == (reset ? "502" : "200"));
    if (!reset) CHECK(f.BodyOf(answer) == "whole body");
  }
}

// Guards against servers that work for nobody.
TEST_CASE("a client that leaves ends the work at the server within half a second") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", [](const auto&, const std::string&) {});
  auto client = f.Connect();
  f.Send(*client, f.RequestText("GET", "/read/1", "id-1"));
  REQUIRE(f.RunUntil([&] { return server.requests.size() == 1; }));
  client->socket.close();
  CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }, 500ms));
}

TEST_CASE("a request has its final answer when its route's time is over") {
  ProxyFixture f;
  (void)f.AddServer("i-1", [](const auto&, const std::string&) {});
  const auto began = core::RuntimeClock::now();
  const std::string answer = f.Ask("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "504");
  CHECK(core::RuntimeClock::now() - began < 2s);
  CHECK(core::RuntimeClock::now() - began > 1400ms);
}

// Guards against a run at another service's server after an address was given away.
TEST_CASE("a misdirected request is sent to another server and the first one is not used again") {
  ProxyFixture f;
  const auto misdirect = [](const ScriptedServer::ConnectionPtr& connection,
                            const std::string& request) {
    connection->Write(Whole(request, "", "421 Misdirected Request", "Server-Id: i-9\r\n"));
  };
  auto& wrong = f.AddServer("i-1", misdirect);
  auto& right = f.AddServer("i-2", Answer("ok"));
  for (int i = 0; i < 20; ++i) {
    CHECK(f.StatusOf(f.Ask("POST", "/write/1", "id-" + std::to_string(i), "x")) == "200");
  }
  CHECK(wrong.requests.size() <= 1);
  CHECK(right.requests.size() == 20);
}

TEST_CASE("repeats stop when the budget is used up") {
  ProxyFixture f;
  f.context.limits.retry_allowance = 4;
  f.context.limits.retry_ratio = 0;
  const auto reset = [](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
    connection->Reset();
  };
  std::vector<ScriptedServer*> servers;
  for (const char* id : {"i-1", "i-2", "i-3"}) servers.push_back(&f.AddServer(id, reset));
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) (void)f.Ask("GET", "/read/1", "id-" + std::to_string(i));
  CHECK(Arrivals(servers) <= kRequests + 4);
}

TEST_CASE("a server that takes no connection costs no attempt") {
  ProxyFixture f;
  auto& down = f.AddServer("i-1", Answer("x"));
  down.StopListening();
  (void)f.AddServer("i-2", Answer("ok"));
  for (int i = 0; i < 10; ++i) {
    CHECK(f.StatusOf(f.Ask("POST", "/write/1", "id-" + std::to_string(i), "x")) == "200");
  }
}

TEST_CASE("requests that follow each other on a connection are answered in order") {
  ProxyFixture f;
  (void)f.AddServer(
      "i-1", [](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        connection->Write(Whole(request, HeaderOf(request, "Request-Id")));
      });
  auto client = f.Connect();
  f.Send(*client, f.RequestText("GET", "/read/1", "id-a") +
                      f.RequestText("GET", "/read/2", "id-b") +
                      f.RequestText("GET", "/read/3", "id-c"));
  REQUIRE(f.RunUntil([&] {
    return client->input.find("id-c\r\n") != std::string::npos &&
           client->input.substr(client->input.size() - 4) == "id-c";
  }));
  CHECK(client->input.find("\r\n\r\nid-a") < client->input.find("\r\n\r\nid-b"));
  CHECK(client->input.find("\r\n\r\nid-b") < client->input.find("\r\n\r\nid-c"));
}

// Guards against smuggled requests.
TEST_CASE("a body never becomes a request of its own") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("ok"));
  const std::string inner = f.RequestText("POST", "/write/2", "id-smuggled", "x");
  auto client = f.Connect();
  f.Send(*client,
         "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-1\r\n"
         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
             inner);
  (void)f.RunUntil([&] { return client->closed; }, 500ms);
  for (const std::string& it : server.requests) {
    CHECK(HeaderOf(it, "Request-Id") != "id-smuggled");
  }
}

TEST_CASE("a closing instance answers what it has read and closes idle connections") {
  ProxyFixture f;
  ScriptedServer::ConnectionPtr held;
  std::string held_request;
  (void)f.AddServer(
      "i-1", [&](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        held = connection;
        held_request = request;
      });
  auto idle = f.Connect();
  auto busy = f.Connect();
  f.Send(*busy, f.RequestText("POST", "/write/1", "id-1", "x"));
  REQUIRE(f.RunUntil([&] { return held != nullptr; }));
  f.group().closing = true;
  const std::vector<ClientSession*> sessions(f.group().sessions.begin(), f.group().sessions.end());
  for (ClientSession* it : sessions) it->CloseIfIdle();
  CHECK(f.RunUntil([&] { return idle->closed; }));
  held->Write(Whole(held_request, "finished"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(busy->input); }));
  CHECK(f.StatusOf(busy->input) == "200");
  CHECK(HeaderOf(busy->input, "Connection") == "close");
  CHECK(f.RunUntil([&] { return busy->closed; }));
}

// Guards against half-sent heads that hold descriptors for ever.
TEST_CASE("a client that does not finish its request loses the connection") {
  ProxyFixture f;
  f.group().limits.header_timeout = 200ms;
  auto client = f.Connect();
  f.Send(*client, "GET /read/1 HTTP/1.1\r\nHost: a");
  CHECK(f.RunUntil([&] { return client->closed; }, 1s));
}

TEST_CASE("heads and bodies beyond the limits are refused with their own status") {
  ProxyFixture f;
  f.group().limits.header_bytes = 1024;
  f.group().limits.body_bytes = 2048;
  auto head = f.Connect();
  f.Send(*head,
         f.RequestText("GET", "/read/1", "id-1", "", "X: " + std::string(4096, 'x') + "\r\n"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(head->input); }));
  CHECK(f.StatusOf(head->input) == "431");
  auto body = f.Connect();
  f.Send(*body, f.RequestText("POST", "/write/1", "id-1", std::string(4096, 'x')));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(body->input); }));
  CHECK(f.StatusOf(body->input) == "413");
}

// Guards against a thread that compares each field of a head with each name in a long list.
TEST_CASE("a Connection field that names thousands of fields does not hold up the thread") {
  ProxyFixture f;
  std::string more = "Connection: x";
  while (more.size() < 50'000) more += ",x";
  more += "\r\n";
  for (int i = 0; i < 200; ++i) more += "f" + std::to_string(i) + ": v\r\n";
  f.AddServer("i-1",
              [more](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
                connection->Write(Whole(request, "hello", "200 OK", more));
              });
  const auto began = ThreadTime();
  const std::string answer = f.Ask("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(HeaderOf(answer, "f199") == "v");
  // Ticks are due each 100 ms.
  CHECK(ThreadTime() - began < 100ms);
}

TEST_CASE("fields that the Connection field names are not passed on") {
  ProxyFixture f;
  f.AddServer("i-1", [](const ScriptedServer::ConnectionPtr& connection,
                        const std::string& request) {
    connection->Write(Whole(request, "x", "200 OK",
                            "Connection: Close\r\nConnection: X-Hop\r\nx-hop: 1\r\nKept: 2\r\n"));
  });
  const std::string answer = f.Ask("GET", "/read/1", "id-1");
  CHECK(HeaderOf(answer, "x-hop").empty());
  CHECK(HeaderOf(answer, "Kept") == "2");
}

// Guards against a request that is refused because its time does not fit into a duration.
TEST_CASE("a client that waits without end gets the route's time") {
  ProxyFixture f;
  f.AddServer("i-1", Answer("hello"));
  const auto client = f.Connect();
  f.Send(*client,
         "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-1\r\n"
         "Deadline-Ms: 9223372036854775807\r\n\r\n");
  REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }));
  CHECK(f.StatusOf(client->input) == "200");
}

}  // namespace
}  // namespace vanilladeck::gateway
