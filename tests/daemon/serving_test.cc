#include <catch2/catch.hpp>
#include <future>
#include <nlohmann/json.hpp>

#include "serving_fixture.h"

using namespace vanilladeck;
using namespace vanilladeck::test;
using namespace std::chrono_literals;

// The ids of the properties below are listed in docs/PROOFS.md.

namespace {

std::string Outcome(const http::Response& response) {
  return std::string(response["Request-Outcome"]);
}

std::string ProblemName(const http::Response& response) {
  const auto body = nlohmann::json::parse(response.body(), nullptr, false);
  if (!body.is_object() || response["Proxy-Status"].empty()) return "no problem document";
  const auto type = body.value("type", "");
  return type.substr(type.rfind(':') + 1);
}

}  // namespace

// End to end: the request that the backend server receives and the response that the caller gets.
TEST_CASE("request reaches a backend server and its response reaches the caller", "[serving]") {
  FakeBackend backend([](const http::Request&) {
    return Ok("hello", "Keep-Alive: timeout=5\r\nX-End: 1\r\nServer-State: ready\r\n");
  });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  const auto response =
      fixture.Call("GET", "/svc/catalogue/items?id=7",
                   {{"Connection", "X-Hop"},
                    {"X-Hop", "1"},
                    {"X-Kept", "1"},
                    {"Request-Timeout-Ms", "5000"},
                    {"traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}});
  CHECK(response.result_int() == 200);
  CHECK(response.body() == "hello");
  CHECK(Outcome(response) == "ran");
  CHECK(response["X-End"] == "1");
  CHECK(response.count("Keep-Alive") == 0);
  const auto received = backend.requests();
  REQUIRE(received.size() == 1);
  CHECK(received[0].target() == "/items?id=7");
  CHECK(received[0]["X-Kept"] == "1");
  CHECK(received[0].count("X-Hop") == 0);
  CHECK(received[0]["Host"] == backend.address());
  CHECK(received[0].count("Request-Id") == 1);
  CHECK(std::stoi(std::string(received[0]["Request-Timeout-Ms"])) <= 5000);
  const std::string trace(received[0]["traceparent"]);
  CHECK(trace.substr(3, 32) == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(trace.substr(36, 16) != "00f067aa0ba902b7");
  CHECK(fixture.Call("GET", "/metrics").body().find("{rank=\"normal\",outcome=\"ran\"} 1") !=
        std::string::npos);
  CHECK(fixture.Call("GET", "/healthz").result_int() == 200);
}

TEST_CASE("lookup answers from the snapshot", "[serving]") {
  ServingFixture fixture;
  fixture.Start();
  const auto response = fixture.Call("GET", "/v1/lookup?service=catalogue&client=10.1.2.3");
  const auto body = nlohmann::json::parse(response.body());
  CHECK(body["service"] == "catalogue");
  CHECK(body["ttl_s"] == 1);
  REQUIRE(body["entry_instances"].size() == 2);
  CHECK(body["entry_instances"][0]["failure_domain"] == "d2");  // The client's region is r2.
  CHECK(operations::OperationKey::Parse(body["operation_key"].get<std::string>()).has_value());
  CHECK(ProblemName(fixture.Call("GET", "/v1/lookup?service=absent")) == "unknown-service");
  CHECK(ProblemName(fixture.Call("GET", "/v1/lookup")) == "malformed-request");
  CHECK(ProblemName(fixture.Call("GET", "/v1/lookup?service=catalogue&client=x")) ==
        "malformed-request");
}

// Property P3: a response that arrives after the timeout must not answer the next request.
TEST_CASE("late response is not delivered to another request", "[serving]") {
  FakeBackend backend([](const http::Request& request) {
    Reply reply = Ok(std::string(request.target()));
    if (request.target() == "/slow") reply.delay = 200ms;
    return reply;
  });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  CHECK(fixture.Call("GET", "/svc/catalogue/warm").body() == "/warm");
  const auto late = fixture.Call("GET", "/svc/catalogue/slow", {{"Request-Timeout-Ms", "50"}});
  CHECK(late.result_int() == 504);
  CHECK(ProblemName(late) == "response-timeout");
  CHECK(Outcome(late) == "unknown");
  const auto end = std::chrono::steady_clock::now() + 400ms;
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    const std::string path = "/next" + std::to_string(i);
    REQUIRE(fixture.Call("GET", "/svc/catalogue" + path).body() == path);
  }
}

// Property P4: the outcome of a failed exchange must state exactly what is known.
TEST_CASE("failed exchanges report the known outcome", "[serving]") {
  FakeBackend backend([](const http::Request& request) -> Reply {
    if (request.target() == "/cut") {
      return {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", 0ms, false, true};
    }
    if (request.target() == "/cut-chunk") {
      return {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 0ms, false,
              true};
    }
    if (request.target() == "/endless") return {"HTTP/1.1 200 OK\r\n\r\nhalf", 0ms, false, true};
    if (request.target() == "/reset") return {"", 0ms, true, false};
    if (request.target() == "/garbage") return {"SSH-2.0-x\r\n\r\n", 0ms, false, true};
    if (request.target() == "/huge") return Ok(std::string(5000, 'x'));
    if (request.target() == "/not-run") {
      return {
          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 7\r\n"
          "Request-Outcome: not-run\r\n\r\n"};
    }
    return {};
  });
  ServingFixture fixture({backend.address()});
  fixture.deployment.policy.retry_budget = 0;
  fixture.Start();
  const std::vector<std::array<std::string, 3>> cases{
      {"/cut", "response-incomplete", "unknown"},
      {"/cut-chunk", "response-incomplete", "unknown"},
      {"/endless", "response-malformed", "unknown"},
      {"/reset", "connection-terminated", "unknown"},
      {"/garbage", "response-malformed", "unknown"},
      {"/huge", "response-too-large", "unknown"},
      {"/not-run", "overloaded", "not-run"},
  };
  for (const auto& [path, name, outcome] : cases) {
    // A new fixture per case, because failures eject the only server.
    ServingFixture single_case({backend.address()});
    single_case.deployment.policy.retry_budget = 0;
    single_case.Start();
    const auto response =
        single_case.Call("GET", "/svc/catalogue" + path, {{"Request-Timeout-Ms", "1000"}});
    INFO(path << " " << response.body());
    CHECK(ProblemName(response) == name);
    CHECK(Outcome(response) == outcome);
    if (path == "/not-run") CHECK(response["Retry-After"] == "7");
  }
}

// Property P4 and retries: an unsent request counts as not run and is retried on another server.
TEST_CASE("request on a refused connection is not run and is retried on another server",
          "[serving]") {
  FakeBackend backend([](const http::Request&) { return Ok("up"); });
  ServingFixture fixture({"127.0.0.1:1", backend.address()});
  fixture.Start();
  for (int i = 0; i < 10; ++i) {
    REQUIRE(fixture.Call("GET", "/svc/catalogue/x").body() == "up");
  }
  ServingFixture unreachable_only({"127.0.0.1:1"});
  unreachable_only.deployment.policy.retry_budget = 0;
  unreachable_only.deployment.services[0].places.pop_back();
  unreachable_only.Start();
  const auto response = unreachable_only.Call("GET", "/svc/catalogue/x");
  CHECK(response.result_int() / 100 == 5);
  CHECK(Outcome(response) == "not-run");
}

// Invalid input must not crash the daemon, hang a connection or reach a backend server.
TEST_CASE("invalid input gets a typed error and reaches no backend server", "[serving]") {
  FakeBackend backend([](const http::Request&) { return Ok("must not be reached"); });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  const std::string head = "POST /svc/catalogue/x HTTP/1.1\r\nHost: t\r\n";
  const std::vector<std::pair<std::string, std::string>> raw_requests{
      {"\x16\x03\x01\x02 garbage\r\n\r\n", "malformed-request"},
      {"GET /svc/catalogue/x HTTP/1.1\r\nA: " + std::string(3000, 'a') + "\r\n\r\n",
       "head-too-large"},
      {head + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'b'), "body-too-large"},
      {head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "malformed-request"},
      {head + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
       "malformed-request"},
      {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "malformed-request"},
      {head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "malformed-request"},
      {head + "Content-Length: -1\r\n\r\n", "malformed-request"},
      {"GET /svc/absent/x HTTP/1.1\r\n\r\n", "unknown-service"},
      {"GET /nothing HTTP/1.1\r\n\r\n", "no-such-resource"},
      {"TRACE /svc/catalogue/x HTTP/1.1\r\n\r\n", "method-not-allowed"},
      {"POST /metrics HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "method-not-allowed"},
      {head + "Content-Length: 0\r\n\r\n", "key-missing"},
      {head + "Idempotency-Key: a.b\r\nContent-Length: 0\r\n\r\n", "key-malformed"},
      {"GET /svc/catalogue/x HTTP/1.1\r\nRequest-Timeout-Ms: 0\r\n\r\n", "deadline-expired"},
      {"GET /svc/catalogue/x HTTP/1.1\r\nRequest-Timeout-Ms: -5\r\n\r\n", "malformed-request"},
  };
  for (const auto& [bytes, name] : raw_requests) {
    Caller caller = fixture.Connect();
    caller.SendRaw(bytes);
    const auto response = caller.Receive();
    INFO(bytes.substr(0, 90) << response.body());
    CHECK(ProblemName(response) == name);
    CHECK(Outcome(response) == "not-run");
    CHECK(response["Content-Type"] == "application/problem+json");
  }
  CHECK(backend.requests().empty());
  CHECK(fixture.Call("GET", "/svc/catalogue/x").body() == "must not be reached");
}

// Property P6: the header alone must stop new requests, before the server list or a probe does.
TEST_CASE("leaving header stops new requests to that server", "[serving]") {
  const auto leaving = [](const http::Request&) { return Ok("a", "Server-State: leaving\r\n"); };
  FakeBackend first(leaving);
  FakeBackend second([](const http::Request&) { return Ok("b"); });
  ServingFixture fixture({first.address(), second.address()});
  fixture.Start();
  int from_first = 0;
  for (int i = 0; i < 20; ++i) {
    if (fixture.Call("GET", "/svc/catalogue/x").body() == "a") ++from_first;
  }
  CHECK(from_first <= 1);
  CHECK(first.requests().size() <= 1);
}

// Property P2: with expired seats nothing may be sent to the failure domain's servers.
TEST_CASE("expired seats stop dispatch", "[serving]") {
  FakeBackend backend([](const http::Request&) { return Ok("x"); });
  ServingFixture fixture({backend.address()});
  fixture.deployment.services[0].places.pop_back();
  fixture.Start();
  CHECK(fixture.Call("GET", "/svc/catalogue/x").body() == "x");
  fixture.PostSnapshot(-1ms);
  const auto response = fixture.Call("GET", "/svc/catalogue/x");
  CHECK(response.result_int() == 503);
  CHECK(Outcome(response) == "not-run");
  CHECK(backend.requests().size() == 1);
}

// Guards against leaked or exceeded slots, and against shedding without Retry-After.
TEST_CASE("overload is shed with Retry-After and never exceeds the slots", "[serving]") {
  FakeBackend backend([](const http::Request& request) {
    if (request.target() != "/x") return Reply{};
    Reply reply = Ok("x");
    reply.delay = 100ms;
    return reply;
  });
  ServingFixture fixture({backend.address()});
  fixture.deployment.policy.queue_limit = 2;
  fixture.deployment.services[0].places = {{"d1", 1, 4, 50}};
  fixture.Start();
  std::vector<std::future<http::Response>> calls;
  calls.reserve(20);
  for (int i = 0; i < 20; ++i) {
    calls.push_back(std::async(std::launch::async,
                               [&fixture] { return fixture.Call("GET", "/svc/catalogue/x"); }));
  }
  int shed = 0;
  for (auto& call : calls) {
    const auto response = call.get();
    if (response.result_int() == 200) continue;
    ++shed;
    CHECK(response.result_int() == 503);
    CHECK(Outcome(response) == "not-run");
    CHECK_FALSE(response["Retry-After"].empty());
  }
  CHECK(shed >= 10);
  CHECK(backend.requests().size() + static_cast<std::size_t>(shed) == 20);
  CHECK(fixture.Call("GET", "/svc/catalogue/x").result_int() == 200);
}

// Property P7: a graceful shutdown answers all requests in flight; lookups list other instances.
TEST_CASE("drain completes the requests in flight", "[serving]") {
  FakeBackend backend([](const http::Request& request) {
    Reply reply = Ok("done");
    if (request.target() == "/slow") reply.delay = 2500ms;
    return reply;
  });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  Caller slow = fixture.Connect();
  slow.Send("GET", "/svc/catalogue/slow");
  Caller idle = fixture.Connect();
  CHECK(idle.Call("GET", "/svc/catalogue/x").body() == "done");
  REQUIRE(fixture.serving->Post(daemon::DrainRequested{}));
  std::this_thread::sleep_for(100ms);
  const auto lookup =
      nlohmann::json::parse(fixture.Call("GET", "/v1/lookup?service=catalogue").body());
  REQUIRE(lookup["entry_instances"].size() == 1);
  CHECK(lookup["entry_instances"][0]["failure_domain"] == "d2");
  const auto last = fixture.Call("GET", "/svc/catalogue/x");  // Callers with older lookups.
  CHECK(last.body() == "done");
  CHECK_FALSE(last.keep_alive());
  CHECK(slow.Receive().body() == "done");
  (void)fixture.Expect<daemon::Drained>();
  fixture.serving->Join();
}

// Guards against slots and servers that stay busy for callers that have disconnected.
TEST_CASE("request of a disconnected caller is cancelled at the server", "[serving]") {
  FakeBackend backend([](const http::Request& request) {
    Reply reply = Ok(R"({"cancelled":false})");
    if (request.target() == "/slow") reply.delay = 3s;
    return reply;
  });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  Caller caller = fixture.Connect();
  caller.Send("GET", "/svc/catalogue/slow");
  for (int i = 0; i < 200 && backend.requests().empty(); ++i) std::this_thread::sleep_for(5ms);
  caller.Close();
  for (int i = 0; i < 200 && backend.requests().size() < 2; ++i) std::this_thread::sleep_for(5ms);
  const auto received = backend.requests();
  REQUIRE(received.size() == 2);
  CHECK(received[1].target() == "/cancel");
  CHECK(received[1]["Request-Id"] == received[0]["Request-Id"]);
}

// Guards the latency of urgent requests when open connections stop responding but new ones work.
TEST_CASE("idempotent request is retried on a new connection long before its deadline",
          "[serving]") {
  std::atomic<bool> silent{false};
  FakeBackend backend([&silent](const http::Request& request) {
    Reply reply = Ok("x");
    if (request.target() == "/x" && silent.exchange(false)) reply.delay = 1h;
    return reply;
  });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  for (int i = 0; i < 40; ++i) REQUIRE(fixture.Call("GET", "/svc/catalogue/x").body() == "x");
  silent = true;
  const auto start = std::chrono::steady_clock::now();
  CHECK(fixture.Call("GET", "/svc/catalogue/x").body() == "x");
  CHECK(std::chrono::steady_clock::now() - start < 3s);  // The default timeout is 10 s.
}
