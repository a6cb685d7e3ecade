#include "vanilladeck/gateway/proxied_request.h"

#include <catch2/catch.hpp>
#include <ctime>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::Answer;
using testing::FullResponse;
using testing::HeaderOf;
using testing::OnlyIn;
using testing::ProxyFixture;
using testing::RequestCount;
using testing::ScriptedServer;
using namespace std::chrono_literals;

/// Answers as the server `id`, which was not expected.
ScriptedServer::Script Misdirect(const std::string& id) {
  return [id](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
    connection->Write(
        FullResponse(request, "", "421 Misdirected Request", "Server-Id: " + id + "\r\n"));
  };
}

/// CPU time of this thread.
std::chrono::nanoseconds ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

TEST_CASE("a request is forwarded completely and its response returned unchanged") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("hello"));
  const std::string answer = f.Fetch("POST", "/write/1?q=2", "id-1", "body text");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(f.BodyOf(answer) == "hello");
  CHECK(HeaderOf(answer, "Seal") == "s");
  REQUIRE(server.requests.size() == 1);
  const std::string& seen = server.requests[0];
  CHECK(seen.rfind("POST /write/1?q=2 HTTP/1.1\r\n", 0) == 0);
  CHECK(seen.substr(seen.size() - 9) == "body text");
  CHECK(HeaderOf(seen, "Request-Id") == "id-1");
  CHECK(HeaderOf(seen, "Expected-Server") == "i-1");
  // The route's timeout of 1.5 s is shorter than the client's 5 s.
  CHECK(std::stoi(HeaderOf(seen, "Deadline-Ms")) <= 1500);
  CHECK(std::stoi(HeaderOf(seen, "Deadline-Ms")) > 1000);
}

// Guards against servers whose load report gains an entry and is then not read at all, so that
// requests go to servers that are full.
TEST_CASE("a load report with further entries reaches the choice of server") {
  const std::string further = GENERATE("", ",100", ",250", ",97.5", ",0", ",-5", ",fast", ",",
                                       ",120,7", ",120,x,,;q=1", ",1e400");
  CAPTURE(further);
  ProxyFixture f;
  (void)f.AddServer("i-1", [further](const auto& connection, const std::string& request) {
    connection->Write(FullResponse(request, "x", "200 OK", "Load: 6,3,9" + further + "\r\n"));
  });
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  const auto now = core::RuntimeClock::now();
  // All requests but the one that has just ended are those of other instances.
  CHECK(f.context.servers.Find("i-1")->Load(now) == Approx(8));
  CHECK(f.context.metrics.load_reports_unreadable == 0);
}

// Guards against a report that is dropped without a trace.
TEST_CASE("a load report that cannot be read is counted, and the response returned") {
  const std::string report =
      GENERATE("", "6", "6,3", "6,3,", "six,3,9", "6,-3,9", "6,3,9.5", "6;3;9", "6,3,99999999999",
               "99999999999999999999,0,9", ",,,");
  CAPTURE(report);
  ProxyFixture f;
  (void)f.AddServer("i-1", [report](const auto& connection, const std::string& request) {
    connection->Write(FullResponse(request, "x", "200 OK", "Load: " + report + "\r\n"));
  });
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
  CHECK(f.context.servers.Find("i-1")->Load(core::RuntimeClock::now()) == 0);
  CHECK(f.context.metrics.load_reports_unreadable == 1);
}

// Guards against running a request twice: before a reset the first server may have run it.
TEST_CASE("a non-idempotent request reaches only one server when its connection is reset") {
  ProxyFixture f;
  const auto reset = [](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
    connection->Reset();
  };
  std::vector<ScriptedServer*> servers;
  for (const char* id : {"i-1", "i-2", "i-3"}) servers.push_back(&f.AddServer(id, reset));
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "502");
  CHECK(RequestCount(servers) == 1);
}

TEST_CASE("an idempotent request is retried on another server after a reset") {
  ProxyFixture f;
  bool first = true;
  const auto script = [&first](const ScriptedServer::ConnectionPtr& connection,
                               const std::string& request) {
    if (first) {
      first = false;
      connection->Reset();
    } else {
      connection->Write(FullResponse(request, "second"));
    }
  };
  auto& one = f.AddServer("i-1", script);
  auto& two = f.AddServer("i-2", script);
  const std::string answer = f.Fetch("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(one.requests.size() == 1);
  CHECK(two.requests.size() == 1);
}

TEST_CASE("a request is retried on another server if the first one states that it did not run it") {
  ProxyFixture f;
  bool first = true;
  const auto script = [&first](const ScriptedServer::ConnectionPtr& connection,
                               const std::string& request) {
    connection->Write(first ? FullResponse(request, "", "503 Busy", "Not-Run: 1\r\n")
                            : FullResponse(request, "done"));
    first = false;
  };
  auto& one = f.AddServer("i-1", script);
  auto& two = f.AddServer("i-2", script);
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(one.requests.size() + two.requests.size() == 2);
}

// Guards against a client repeating a request that has run: 503 promises that it has not.
TEST_CASE("503 is never sent for a request that may have run") {
  ProxyFixture f;
  int n = 0;
  const auto script = [&n](const ScriptedServer::ConnectionPtr& connection,
                           const std::string& request) {
    // The first server may have run the request; the others refuse it.
    if (n++ == 0) {
      connection->Close();
    } else {
      connection->Write(FullResponse(request, "", "503 Busy", "Not-Run: 1\r\n"));
    }
  };
  for (const char* id : {"i-1", "i-2", "i-3"}) (void)f.AddServer(id, script);
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "502");
}

// Guards against a client repeating a request that a server has run and then failed with a status
// that promises, if it comes from an instance, that the request has not run.
TEST_CASE("a server's own 408, 429 or 503 does not reach the client as a promise") {
  for (const std::string status : {"408 Request Timeout", "429 Too Many Requests", "503 Down"}) {
    for (const bool idempotent : {false, true}) {
      CAPTURE(status, idempotent);
      ProxyFixture f;
      const auto script = [&status](const ScriptedServer::ConnectionPtr& connection,
                                    const std::string& request) {
        connection->Write(FullResponse(request, "failed", status, "Retry-After: 1\r\n"));
      };
      std::vector<ScriptedServer*> servers;
      for (const char* id : {"i-1", "i-2", "i-3"}) servers.push_back(&f.AddServer(id, script));
      const std::string answer =
          idempotent ? f.Fetch("GET", "/read/1", "id-1") : f.Fetch("POST", "/write/1", "id-1", "x");
      CHECK(f.StatusOf(answer) == "502");
      // A failure under the server's seal must have the status that the server gave.
      CHECK(HeaderOf(answer, "Seal").empty());
      CHECK(HeaderOf(answer, "Retry-After").empty());
      CHECK(RequestCount(servers) == (idempotent ? 3 : 1));
    }
  }
}

TEST_CASE("other failures of a server are returned unchanged") {
  for (const std::string status : {"500 Failed", "504 Timeout", "409 Conflict"}) {
    CAPTURE(status);
    ProxyFixture f;
    (void)f.AddServer("i-1", [&status](const ScriptedServer::ConnectionPtr& connection,
                                       const std::string& request) {
      connection->Write(FullResponse(request, "failed", status));
    });
    const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
    CHECK(f.StatusOf(answer) == status.substr(0, 3));
    CHECK(HeaderOf(answer, "Seal") == "s");
    CHECK(f.BodyOf(answer) == "failed");
  }
}

TEST_CASE("without a usable server a request is refused at once with Retry-After") {
  ProxyFixture f;
  const std::string answer = f.Fetch("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "503");
  CHECK(std::stod(HeaderOf(answer, "Retry-After")) > 0);
}

TEST_CASE("without a policy every request is refused with 503, not 404") {
  ProxyFixture f;
  f.context.routes = nullptr;
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "503");
}

TEST_CASE("a path without a route gets 404") {
  ProxyFixture f;
  (void)f.AddServer("i-1", Answer("x"));
  CHECK(f.StatusOf(f.Fetch("GET", "/none/1", "id-1")) == "404");
}

// Guards against returning the response to another request from a reused connection.
TEST_CASE("a late response to an earlier request is skipped and the expected one returned") {
  ProxyFixture f;
  const auto script = [](const ScriptedServer::ConnectionPtr& connection,
                         const std::string& request) {
    std::string other = request;
    other.replace(other.find("id-1"), 4, "id-0");
    connection->Write(FullResponse(other, "not yours") + FullResponse(request, "yours"));
  };
  auto& server = f.AddServer("i-1", script);
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(f.BodyOf(answer) == "yours");
  // A connection that carried an unexpected response is not reused.
  CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }));
}

TEST_CASE("bytes after a response close the connection, also if they arrive later") {
  for (const bool late : {false, true}) {
    ProxyFixture f;
    const auto script = [&](const ScriptedServer::ConnectionPtr& connection,
                            const std::string& request) {
      connection->Write(FullResponse(request, "ok") + (late ? "" : "HTTP/1.1 200 OK\r\n"));
    };
    auto& server = f.AddServer("i-1", script);
    CHECK(f.BodyOf(f.Fetch("POST", "/write/1", "id-1", "x")) == "ok");
    if (late) server.connections[0]->Write("junk");
    CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }));
  }
}

// Guards against a truncated response that looks complete.
TEST_CASE("a truncated or altered response becomes a failure, never a success") {
  const std::vector<std::function<std::string(const std::string&)>> corruptions{
      [](const std::string& r) { return FullResponse(r, "0123456789").substr(0, 60); },
      [](const std::string& r) {
        return FullResponse(r, "0123456789").substr(0, FullResponse(r, "0123456789").size() - 3);
      },
      [](const std::string&) { return std::string("garbage\r\n\r\n"); },
      [](const std::string& r) {
        return FullResponse(r, "x", "200 OK", "Content-Encoding: gzip\r\n");
      },
      [](const std::string& r) {
        std::string text = FullResponse(r, "x");
        return text.erase(text.find("Seal: s\r\n"), 9);
      },
  };
  for (const auto& corrupt : corruptions) {
    ProxyFixture f;
    const auto script = [&](const ScriptedServer::ConnectionPtr& connection,
                            const std::string& request) {
      connection->Write(corrupt(request));
      connection->Close();
    };
    (void)f.AddServer("i-1", script);
    const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
    CHECK(f.StatusOf(answer) == "502");
  }
}

TEST_CASE("a response without a length is complete on close but not on reset") {
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
    const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
    CHECK(f.StatusOf(answer) == (reset ? "502" : "200"));
    if (!reset) CHECK(f.BodyOf(answer) == "whole body");
  }
}

// Guards against servers that keep working on requests whose client has disconnected.
TEST_CASE("a client disconnect closes the server connection within half a second") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", [](const auto&, const std::string&) {});
  auto client = f.Connect();
  f.Send(*client, f.RequestText("GET", "/read/1", "id-1"));
  REQUIRE(f.RunUntil([&] { return server.requests.size() == 1; }));
  client->socket.close();
  CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }, 500ms));
}

TEST_CASE("a request gets its final response when its route's timeout expires") {
  ProxyFixture f;
  (void)f.AddServer("i-1", [](const auto&, const std::string&) {});
  const auto began = core::RuntimeClock::now();
  const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
  CHECK(f.StatusOf(answer) == "504");
  CHECK(core::RuntimeClock::now() - began < 2s);
  CHECK(core::RuntimeClock::now() - began > 1400ms);
}

// Guards against running a request on another service's server that has taken over an address.
// Guards against requests that reach a server long after their clients were answered: the system
// keeps what it could not deliver, for example in a partition, unless the connection is reset.
TEST_CASE("a request that is given up resets its server connection") {
  ProxyFixture f;
  const auto& server = f.AddServer("i-1", [](const auto&, const std::string&) {});
  auto client = f.Connect();
  f.Send(*client, f.RequestText("POST", "/write/1", "id-1", "x"));
  REQUIRE(f.RunUntil([&] { return server.requests.size() == 1; }));
  SECTION("its time limit has passed") {
    REQUIRE(f.RunUntil([&] { return f.HasAnswer(client->input); }));
  }
  SECTION("its client has left") { client->socket.close(); }
  CHECK(f.RunUntil([&] { return server.connections.front()->closed_by_peer; }));
  CHECK(server.connections.front()->reset_by_peer);
}

TEST_CASE("a misdirected request is sent to another server and the first one is not used again") {
  ProxyFixture f;
  auto& wrong = f.AddServer("i-1", Misdirect("i-9"));
  auto& right = f.AddServer("i-2", Answer("ok"));
  for (int i = 0; i < 20; ++i) {
    CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-" + std::to_string(i), "x")) == "200");
  }
  CHECK(wrong.requests.size() <= 1);
  CHECK(right.requests.size() == 20);
}

// Guards against running a request outside its route's allowed regions.
TEST_CASE("a request is not sent to a server that moves to another region while it connects") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Answer("x"));
  f.ChangePolicy(OnlyIn("east"));
  auto client = f.Connect();
  f.Send(*client, f.RequestText("GET", "/read/1", "id-1"));
  REQUIRE(f.RunUntil([&] { return f.context.servers.Find("i-1")->in_flight == 1; }));
  auto report = f.Report("i-1", server.Address());
  report.failure_domain = "west-a";
  report.sequence = 2;
  f.Apply(report);
  REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }));
  CHECK(f.StatusOf(client->input) == "503");
  CHECK(server.requests.empty());
}

// Guards against a request that reaches a region that its route does not allow: the server that now
// has the address answers 421, but it has received the request.
TEST_CASE("a request does not reach a server of another region that took over an address") {
  ProxyFixture f;
  auto& server = f.AddServer("i-1", Misdirect("i-2"));
  f.ChangePolicy(OnlyIn("east"));
  auto report = f.Report("i-2", server.Address());
  report.born_ms = 2;
  report.failure_domain = "west-a";
  auto client = f.Connect();
  SECTION("reported before the request") { f.Apply(report); }
  f.Send(*client, f.RequestText("GET", "/read/1", "id-1"));
  SECTION("reported while the request connects") {
    REQUIRE(f.RunUntil([&] { return f.context.servers.Find("i-1")->in_flight == 1; }));
    f.Apply(report);
  }
  REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }));
  CHECK(f.StatusOf(client->input) == "503");
  CHECK(server.requests.empty());
}

// Guards against a request that reaches another server: a connection from before a server lost its
// address may lead to the one that got it.
TEST_CASE("a server that returns gets no requests on its former connections") {
  ProxyFixture f;
  ScriptedServer::ConnectionPtr pending;
  std::string pending_request;
  auto& server = f.AddServer(
      "i-1", [&](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        if (HeaderOf(request, "Request-Id") == "held") {
          pending = connection;
          pending_request = request;
        } else {
          connection->Write(FullResponse(request, "x"));
        }
      });
  const auto lose_and_return = [&] {
    f.context.servers.OnMisdirected(*f.context.servers.Find("i-1"));
    auto report = f.Report("i-1", server.Address());
    report.sequence = 2;
    f.Apply(report);
  };
  SECTION("idle") {
    REQUIRE(f.StatusOf(f.Fetch("GET", "/read/1", "id-1")) == "200");
    lose_and_return();
  }
  SECTION("in use") {
    auto client = f.Connect();
    f.Send(*client, f.RequestText("GET", "/read/1", "held"));
    REQUIRE(f.RunUntil([&] { return pending != nullptr; }));
    lose_and_return();
    pending->Write(FullResponse(pending_request, "x"));
    REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }));
    CHECK(f.StatusOf(client->input) == "200");
  }
  CHECK(f.StatusOf(f.Fetch("GET", "/read/1", "id-2")) == "200");
  REQUIRE(server.connections.size() == 2);
}

TEST_CASE("retries stop when the retry budget is exhausted") {
  ProxyFixture f;
  f.context.limits.retry_allowance = 4;
  f.context.limits.retry_ratio = 0;
  const auto reset = [](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
    connection->Reset();
  };
  std::vector<ScriptedServer*> servers;
  for (const char* id : {"i-1", "i-2", "i-3"}) servers.push_back(&f.AddServer(id, reset));
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) (void)f.Fetch("GET", "/read/1", "id-" + std::to_string(i));
  CHECK(RequestCount(servers) <= kRequests + 4);
}

TEST_CASE("a failed connection does not count as an attempt") {
  ProxyFixture f;
  auto& down = f.AddServer("i-1", Answer("x"));
  down.StopListening();
  (void)f.AddServer("i-2", Answer("ok"));
  for (int i = 0; i < 10; ++i) {
    CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "id-" + std::to_string(i), "x")) == "200");
  }
}

TEST_CASE("pipelined requests are answered in order") {
  ProxyFixture f;
  (void)f.AddServer(
      "i-1", [](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        connection->Write(FullResponse(request, HeaderOf(request, "Request-Id")));
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

// Guards against running work that is given up or started again elsewhere, because its server was
// silent for a while and its entry expired.
TEST_CASE("a running request is left to a server whose entry expires") {
  const std::string method = GENERATE("GET", "POST");
  CAPTURE(method);
  ProxyFixture f;
  ScriptedServer::ConnectionPtr held;
  std::string held_request;
  const auto hold = [&](const ScriptedServer::ConnectionPtr& connection,
                        const std::string& request) {
    held = connection;
    held_request = request;
  };
  std::vector<ScriptedServer*> servers{&f.AddServer("i-1", hold), &f.AddServer("i-2", hold)};
  auto client = f.Connect();
  f.Send(*client, f.RequestText(method, method == "GET" ? "/read/1" : "/write/1", "id-1",
                                method == "GET" ? "" : "x"));
  REQUIRE(f.RunUntil([&] { return held != nullptr; }));
  const std::string id = HeaderOf(held_request, "Expected-Server");
  const auto server = f.context.servers.Find(id);
  CHECK(f.context.servers.OnRemoved(id));
  f.context.pool.CloseIdleConnections(*server);
  f.RunFor(300ms);
  CHECK(RequestCount(servers) == 1);
  held->Write(FullResponse(held_request, "finished"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(client->input) || client->closed; }));
  CHECK(f.BodyOf(client->input) == "finished");
  CHECK(RequestCount(servers) == 1);
}

// Guards against request smuggling.
TEST_CASE("a body is never parsed as a separate request") {
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

// Guards against requests that are smuggled in the body of another one, whose end is not known
// since its transfer coding is not supported.
TEST_CASE("a request with a transfer coding other than chunked is rejected with its connection") {
  const std::string coding = GENERATE(
      "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", "",
      "chunked;q=1", "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip",
      "chunked\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 3");
  const std::string kind = GENERATE("POST /write/1", "GET /read/1");
  CAPTURE(coding, kind);
  ProxyFixture f;
  const auto& server = f.AddServer("i-1", Answer("ok"));
  auto client = f.Connect();
  f.Send(*client, kind + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-1\r\nTransfer-Encoding: " +
                      coding + "\r\n\r\n" + f.RequestText("POST", "/write/2", "id-2", "x"));
  CHECK(f.RunUntil([&] { return client->closed; }, 3s));
  CHECK(f.StatusOf(client->input) == "400");
  CHECK(client->input.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(server.requests.empty());
}

TEST_CASE("a closing instance answers received requests and closes idle connections") {
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
  for (ClientSession* it : sessions) it->CloseIfIdle(0ms);
  CHECK(f.RunUntil([&] { return idle->closed; }));
  held->Write(FullResponse(held_request, "finished"));
  REQUIRE(f.RunUntil([&] { return f.HasAnswer(busy->input); }));
  CHECK(f.StatusOf(busy->input) == "200");
  CHECK(HeaderOf(busy->input, "Connection") == "close");
  CHECK(f.RunUntil([&] { return busy->closed; }));
}

// Guards against incomplete requests that hold descriptors indefinitely.
TEST_CASE("a connection with an incomplete request is closed after the header timeout") {
  ProxyFixture f;
  f.group().limits.header_timeout = 200ms;
  auto client = f.Connect();
  f.Send(*client, "GET /read/1 HTTP/1.1\r\nHost: a");
  CHECK(f.RunUntil([&] { return client->closed; }, 1s));
}

TEST_CASE("headers and bodies beyond the limits are rejected with 431 and 413") {
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

// Guards against time quadratic in the header fields and the names in the Connection field.
TEST_CASE("a Connection field that names thousands of fields does not stall the thread") {
  ProxyFixture f;
  std::string extra_headers = "Connection: x";
  while (extra_headers.size() < 50'000) extra_headers += ",x";
  extra_headers += "\r\n";
  for (int i = 0; i < 200; ++i) extra_headers += "f" + std::to_string(i) + ": v\r\n";
  f.AddServer("i-1", [extra_headers](const ScriptedServer::ConnectionPtr& connection,
                                     const std::string& request) {
    connection->Write(FullResponse(request, "hello", "200 OK", extra_headers));
  });
  const auto began = ThreadTime();
  const std::string answer = f.Fetch("GET", "/read/1", "id-1");
  CHECK(f.StatusOf(answer) == "200");
  CHECK(HeaderOf(answer, "f199") == "v");
  // The tick interval is 100 ms.
  CHECK(ThreadTime() - began < 100ms);
}

TEST_CASE("header fields named in the Connection field are not forwarded") {
  ProxyFixture f;
  f.AddServer(
      "i-1", [](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
        connection->Write(
            FullResponse(request, "x", "200 OK",
                         "Connection: Close\r\nConnection: X-Hop\r\nx-hop: 1\r\nKept: 2\r\n"));
      });
  const std::string answer = f.Fetch("GET", "/read/1", "id-1");
  CHECK(HeaderOf(answer, "x-hop").empty());
  CHECK(HeaderOf(answer, "Kept") == "2");
}

// Guards against refusing a request whose deadline does not fit into a duration.
TEST_CASE("a client with a huge deadline gets the route's timeout") {
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
