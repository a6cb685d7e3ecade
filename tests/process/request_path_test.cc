#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using boost::beast::http::verb;

namespace {

std::string Header(const FetchResult& fetched, const char* name) {
  return fetched.response ? std::string((*fetched.response)[name]) : std::string();
}

}  // namespace

// Guards against a rank, entry instance or method whose requests reach no backend server.
TEST_CASE("requests of all ranks reach a backend server through every daemon", "[process]") {
  System system;
  const std::map<std::string, std::string> urgencies{
      {"urgent", "u=0"}, {"normal", "u=3"}, {"bulk", "u=7"}};
  for (std::size_t i = 0; i < System::kDaemons; ++i) {
    for (const auto& [rank, urgency] : urgencies) {
      const std::string mark = rank + std::to_string(i);
      const auto read = system.Send(i, verb::get, "/item?mark=" + mark, {{"Priority", urgency}});
      INFO(read.body() << Header(read, "Proxy-Status"));
      CHECK(read.status() == 200);
      CHECK(read.body().find("mark=" + mark) != std::string::npos);
      const std::string key = system.OperationKey(i);
      const auto write = system.Send(i, verb::post, "/deposit?mark=" + mark,
                                     {{"Priority", urgency}, {"Idempotency-Key", key}}, mark);
      INFO(write.body() << Header(write, "Proxy-Status"));
      CHECK(write.status() == 200);
      CHECK(Json::parse(write.body(), nullptr, false).value("body", "") == mark);
      CHECK(system.RunCount(key) == 1);
    }
  }
  std::map<std::string, int> requests_by_rank;
  for (const Json& request : system.RanRequests()) {
    if (request["target"].get<std::string>().find("mark=") == std::string::npos) continue;
    CHECK(request["target"].get<std::string>().find(request["rank"].get<std::string>()) !=
          std::string::npos);
    ++requests_by_rank[request["rank"]];
  }
  CHECK(requests_by_rank.size() == 3);
  for (const auto& [rank, count] : requests_by_rank) CHECK(count == 2 * System::kDaemons);
}

// Guards against a repeated operation, and against a recorded response sent to another client.
TEST_CASE("a repeated key gets the recorded response, and only for the same client", "[process]") {
  System system;
  const std::string key = system.OperationKey(0);
  const Headers headers{{"Idempotency-Key", key}};
  const auto first = system.Send(0, verb::post, "/deposit", headers, "five");
  REQUIRE(first.status() == 200);
  for (std::size_t i = 0; i < System::kDaemons; ++i) {
    const auto repeat = system.Send(i, verb::post, "/deposit", headers, "five");
    CHECK(repeat.status() == 200);
    CHECK(repeat.body() == first.body());
    const auto other_body = system.Send(i, verb::post, "/deposit", headers, "six");
    CHECK(other_body.status() >= 400);
    CHECK(Header(other_body, "Request-Outcome") == "not-run");
    const auto other_client = system.Send(
        i, verb::post, "/deposit", {{"Idempotency-Key", key}, {"Client-Id", "other"}}, "five");
    CHECK(other_client.status() >= 400);
    CHECK(other_client.body().find("five") == std::string::npos);
  }
  const auto no_key = system.Send(0, verb::post, "/deposit", {}, "five");
  CHECK(no_key.status() >= 400);
  CHECK(no_key.status() < 500);
  CHECK(Header(no_key, "Request-Outcome") == "not-run");
  CHECK(system.RunCount(key) == 1);
  CHECK(system.RunCount("") > 0);  // The fixture's readiness probes show that the log was read.
}
