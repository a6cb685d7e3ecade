#include <catch2/catch.hpp>
#include <future>

#include "serving_fixture.h"

using namespace vanilladeck;
using namespace vanilladeck::test;
using namespace std::chrono_literals;

// The ids of the properties below are listed in docs/PROOFS.md.

namespace {

std::future<http::Response> Post(const ServingFixture& fixture, const std::string& key,
                                 const std::string& path = "/book") {
  return std::async(std::launch::async, [&fixture, key, path] {
    return fixture.Call("POST", "/svc/catalogue" + path,
                        {{"Idempotency-Key", key}, {"Request-Timeout-Ms", "3000"}}, "body");
  });
}

}  // namespace

// Property P5: dispatch only with a claim, once, and no success before the outcome is recorded.
TEST_CASE("operation is claimed, run once and recorded before the response", "[operations]") {
  FakeBackend backend([](const http::Request&) { return Ok("booked", "Content-Type: a/b\r\n"); });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  const std::string key = fixture.NewKey();
  auto answer = Post(fixture, key);
  const auto asked = fixture.Expect<daemon::ClaimAsked>();
  CHECK(asked.request.key == key);
  CHECK(asked.request.client == "127.0.0.1");
  CHECK(asked.request.holder == fixture.self);
  CHECK(backend.requests().empty());
  REQUIRE(fixture.serving->Post(daemon::ClaimAnswered{asked.id, operations::Granted{5}}));
  const auto complete = fixture.Expect<daemon::CompleteAsked>();
  CHECK(complete.request.key == key);
  CHECK(complete.request.attempt == 5);
  CHECK(complete.request.outcome == core::Outcome::kRan);
  CHECK(complete.request.answer.status == 200);
  CHECK(complete.request.answer.content_type == "a/b");
  CHECK(complete.request.answer.body == "booked");
  CHECK(answer.wait_for(50ms) == std::future_status::timeout);
  REQUIRE(fixture.serving->Post(daemon::CompleteAnswered{complete.id, {true}}));
  CHECK(answer.get().body() == "booked");
  CHECK(backend.requests().size() == 1);

  auto repeated = Post(fixture, key);
  const auto second_claim = fixture.Expect<daemon::ClaimAsked>();
  CHECK(second_claim.request.fingerprint == asked.request.fingerprint);
  REQUIRE(fixture.serving->Post(
      daemon::ClaimAnswered{second_claim.id, operations::RecordedAnswer{201, "a/b", "recorded"}}));
  const auto replayed = repeated.get();
  CHECK(replayed.result_int() == 201);
  CHECK(replayed.body() == "recorded");
  CHECK(backend.requests().size() == 1);
}

// Properties P4 and P5: each refusal of a claim must reach the caller with the right outcome.
TEST_CASE("refused claims are not dispatched", "[operations]") {
  FakeBackend backend([](const http::Request&) { return Ok("never"); });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  const std::vector<std::tuple<operations::ClaimReply, unsigned, std::string>> cases{
      {operations::InProgress{}, 409, "unknown"},
      {operations::OutcomeUnknown{}, 409, "unknown"},
      {operations::Mismatch{}, 422, "not-run"},
      {operations::Expired{}, 410, "not-run"},
      {operations::Unavailable{2500}, 503, "not-run"}};
  for (const auto& [reply, status, outcome] : cases) {
    auto answer = Post(fixture, fixture.NewKey());
    const auto asked = fixture.Expect<daemon::ClaimAsked>();
    REQUIRE(fixture.serving->Post(daemon::ClaimAnswered{asked.id, reply}));
    const auto response = answer.get();
    CHECK(response.result_int() == status);
    CHECK(response["Request-Outcome"] == outcome);
    if (status == 503) CHECK(response["Retry-After"] == "3");
  }
  CHECK(backend.requests().empty());
}

// Property P5: a claim must be released if the request was not run, and kept if that is unknown.
TEST_CASE("failed operations record the known outcome", "[operations]") {
  FakeBackend backend([](const http::Request& request) -> Reply {
    if (request.target() == "/reset") return {"", 0ms, true, false};
    if (request.target() == "/slow") return {"", 400ms, false, false};
    if (request.target() == "/cancel") return Ok(R"({"cancelled":true})");
    if (request.target() != "/shed") return {};
    return {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRequest-Outcome: not-run\r\n\r\n"};
  });
  for (const auto& [path, timeout, outcome] :
       std::vector<std::tuple<std::string, std::string, core::Outcome>>{
           {"/reset", "3000", core::Outcome::kUnknown},
           {"/shed", "3000", core::Outcome::kNotRun},
           {"/slow", "100", core::Outcome::kNotRun}}) {  // The server confirms the cancellation.
    ServingFixture fixture({backend.address()});
    fixture.deployment.services[0].places.pop_back();
    fixture.Start();
    Caller caller = fixture.Connect();
    caller.Send("POST", "/svc/catalogue" + path,
                {{"Idempotency-Key", fixture.NewKey()}, {"Request-Timeout-Ms", timeout}});
    const auto asked = fixture.Expect<daemon::ClaimAsked>();
    REQUIRE(fixture.serving->Post(daemon::ClaimAnswered{asked.id, operations::Granted{1}}));
    const auto complete = fixture.Expect<daemon::CompleteAsked>();
    REQUIRE(fixture.serving->Post(daemon::CompleteAnswered{complete.id, {true}}));
    const auto response = caller.Receive();
    INFO(path << " " << response.body());
    CHECK(complete.request.outcome == outcome);
    CHECK(response["Request-Outcome"] == core::Name(outcome));
  }
  std::size_t resets = 0;
  for (const auto& request : backend.requests()) resets += request.target() == "/reset" ? 1 : 0;
  CHECK(resets == 1);
}

// Property P5: a claim granted after its caller was told "not run" must be neither run nor kept.
TEST_CASE("claim without a reply before the deadline is released", "[operations]") {
  FakeBackend backend([](const http::Request&) { return Ok("never"); });
  ServingFixture fixture({backend.address()});
  fixture.Start();
  const auto response =
      fixture.Call("POST", "/svc/catalogue/book",
                   {{"Idempotency-Key", fixture.NewKey()}, {"Request-Timeout-Ms", "50"}});
  CHECK(response.result_int() == 503);
  CHECK(response["Request-Outcome"] == "not-run");
  const auto asked = fixture.Expect<daemon::ClaimAsked>();
  CHECK(asked.request.claim_id != 0);
  const auto released = fixture.Expect<daemon::CompleteAsked>();
  CHECK(released.request.claim_id == asked.request.claim_id);
  CHECK(released.request.attempt == 0);
  CHECK(released.request.outcome == core::Outcome::kNotRun);
  REQUIRE(fixture.serving->Post(daemon::ClaimAnswered{asked.id, operations::Granted{9}}));
  CHECK(fixture.Call("GET", "/svc/catalogue/x").body() == "never");
  CHECK(backend.requests().size() == 1);
}
