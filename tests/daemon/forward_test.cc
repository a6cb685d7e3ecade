#include <catch2/catch.hpp>
#include <future>

#include "serving_fixture.h"

using namespace vanilladeck;
using namespace vanilladeck::test;
using namespace std::chrono_literals;

// The ids of the properties below are listed in docs/PROOFS.md.

// Properties P1 and P2: without an available own server, a request is forwarded to an instance of a
// failure domain that has servers, and only with a credit from that instance.
TEST_CASE("request is forwarded with a credit when no own server is available", "[forward]") {
  ServingFixture fixture;
  fixture.Start();
  auto answer = std::async(std::launch::async, [&fixture] {
    return fixture.Call("GET", "/svc/catalogue/x", {{"Priority", "u=0"}});
  });
  const auto asked = fixture.Expect<daemon::CreditsAsked>();
  CHECK(asked.target == fixture.peer);
  CHECK(asked.request.from_region == "r1");
  CHECK(asked.request.wanted > 0);
  REQUIRE(fixture.serving->Post(
      daemon::CreditsAnswered{asked.id, peer::CreditGrant{1, 2000, fixture.peer}}));
  const auto forward = fixture.Expect<daemon::ForwardAsked>();
  CHECK(forward.target == fixture.peer);
  CHECK(forward.request.rank == core::Rank::kUrgent);
  CHECK(forward.request.timeout_ms <= 2000);
  CHECK(forward.request.target == "/x");
  peer::ForwardReply reply;
  reply.outcome = core::Outcome::kRan;
  reply.status = 207;
  reply.headers = {{"X-Far", "1"}};
  reply.body = "far";
  REQUIRE(fixture.serving->Post(daemon::ForwardAnswered{forward.id, reply}));
  const auto response = answer.get();
  CHECK(response.result_int() == 207);
  CHECK(response["X-Far"] == "1");
  CHECK(response.body() == "far");
}

// Property P4: a forward that was never sent counts as not run, one without a reply as unknown.
TEST_CASE("failed forwards report the known outcome", "[forward]") {
  ServingFixture fixture;
  fixture.Start();
  auto refused = std::async(std::launch::async,
                            [&fixture] { return fixture.Call("GET", "/svc/catalogue/x"); });
  auto asked = fixture.Expect<daemon::CreditsAsked>();
  REQUIRE(fixture.serving->Post(
      daemon::CreditsAnswered{asked.id, peer::CreditGrant{0, 0, fixture.peer}}));
  auto response = refused.get();
  CHECK(response.result_int() == 503);
  CHECK(response["Request-Outcome"] == "not-run");
  std::this_thread::sleep_for(300ms);
  auto lost = std::async(std::launch::async, [&fixture] {
    return fixture.Call("GET", "/svc/catalogue/x", {{"Request-Timeout-Ms", "200"}});
  });
  asked = fixture.Expect<daemon::CreditsAsked>();
  REQUIRE(fixture.serving->Post(
      daemon::CreditsAnswered{asked.id, peer::CreditGrant{1, 2000, fixture.peer}}));
  (void)fixture.Expect<daemon::ForwardAsked>();
  response = lost.get();
  CHECK(response["Request-Outcome"] == "unknown");
}

// Property P21: an instance of an earlier release may send what a server in trouble has sent.
TEST_CASE("a forwarded response with an invalid status code does not reach the caller",
          "[forward]") {
  const int status = GENERATE(7, 99, 600, 999, 1000, -1);
  CAPTURE(status);
  ServingFixture fixture;
  fixture.Start();
  auto answer = std::async(std::launch::async,
                           [&fixture] { return fixture.Call("GET", "/svc/catalogue/x"); });
  const auto asked = fixture.Expect<daemon::CreditsAsked>();
  REQUIRE(fixture.serving->Post(
      daemon::CreditsAnswered{asked.id, peer::CreditGrant{1, 2000, fixture.peer}}));
  const auto forward = fixture.Expect<daemon::ForwardAsked>();
  peer::ForwardReply reply;
  reply.outcome = core::Outcome::kRan;
  reply.status = status;
  REQUIRE(fixture.serving->Post(daemon::ForwardAnswered{forward.id, reply}));
  const auto response = answer.get();
  CHECK(response.result_int() == 502);
  CHECK(response["Request-Outcome"] == "unknown");
}

// Properties P1 and P2: the receiver runs a forwarded request only for a credit that it granted.
TEST_CASE("receiver admits forwarded requests only with a credit", "[forward]") {
  FakeBackend backend(
      [](const http::Request& request) { return Ok(std::string(request.target())); });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  peer::ForwardRequest request;
  request.service = "catalogue";
  request.method = "GET";
  request.target = "/far";
  request.timeout_ms = 2000;
  request.from_region = "r2";
  request.sender = fixture.peer;
  REQUIRE(fixture.serving->Post(daemon::ForwardArrived{1, request}));
  auto served = fixture.Expect<daemon::ForwardServed>();
  CHECK(served.id == 1);
  CHECK(served.reply.status == 0);
  CHECK(served.reply.outcome == core::Outcome::kNotRun);
  CHECK(backend.requests().empty());
  // Credits grow only after a load report, so the first grants may be empty.
  std::uint32_t granted = 0;
  for (int i = 0; i < 50 && granted == 0; ++i) {
    std::this_thread::sleep_for(50ms);
    REQUIRE(fixture.serving->Post(
        daemon::CreditsArrived{2, peer::CreditRequest{fixture.peer, "r2", "catalogue", 5}}));
    granted = fixture.Expect<daemon::CreditsServed>().grant.count;
  }
  REQUIRE(granted >= 1);
  REQUIRE(fixture.serving->Post(daemon::ForwardArrived{3, request}));
  served = fixture.Expect<daemon::ForwardServed>();
  CHECK(served.id == 3);
  CHECK(served.reply.status == 200);
  CHECK(served.reply.body == "/far");
  CHECK(served.reply.outcome == core::Outcome::kRan);
}
