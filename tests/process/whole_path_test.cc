#include <catch2/catch.hpp>

#include "process/system.h"

using namespace vanilladeck::process;  // NOLINT(google-build-using-namespace)
using boost::beast::http::verb;

namespace {

std::string Header(const FetchResult& fetched, const char* name) {
  return fetched.response ? std::string((*fetched.response)[name]) : std::string();
}

}  // namespace

// Guards against a rank, entry instance or method that has no working way to a backend server.
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
      CHECK(system.RunsOf(key) == 1);
    }
  }
  std::map<std::string, int> by_rank;
  for (const Json& it : system.Ran()) {
    if (it["target"].get<std::string>().find("mark=") == std::string::npos) continue;
    CHECK(it["target"].get<std::string>().find(it["rank"].get<std::string>()) != std::string::npos);
    ++by_rank[it["rank"]];
  }
  CHECK(by_rank.size() == 3);
  for (const auto& [rank, count] : by_rank) CHECK(count == 2 * System::kDaemons);
}

// Guards against a second run of an operation, and against answers to somebody else.
TEST_CASE("a repeated key gets the recorded answer and only its own client may use it",
          "[process]") {
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
  CHECK(system.RunsOf(key) == 1);
  CHECK(system.RunsOf("") > 0);  // The probes of the fixture: the log is not empty by mistake.
}
