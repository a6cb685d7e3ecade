#include "vanilladeck/http/header_fields.h"

#include <catch2/catch.hpp>

#include "vanilladeck/http/connection_pool.h"
#include "vanilladeck/http/problem.h"

using namespace vanilladeck;

// Guards against forwarding hop-by-hop fields to a backend server or a caller.
TEST_CASE("hop-by-hop fields and fields named in Connection are dropped", "[http]") {
  http::Fields fields;
  for (const auto& [name, value] : http::HeaderList{{"Connection", "close, X-One"},
                                                    {"connection", "x-two"},
                                                    {"X-One", "1"},
                                                    {"X-TWO", "2"},
                                                    {"Transfer-Encoding", "chunked"},
                                                    {"Upgrade", "h2c"},
                                                    {"Host", "a"},
                                                    {"Accept", "b"},
                                                    {"Accept", "c"}}) {
    fields.insert(name, value);
  }
  CHECK(http::EndToEndFields(fields, {"host"}) ==
        http::HeaderList{{"Accept", "b"}, {"Accept", "c"}});
}

// Guards against requests of the wrong rank because a malformed priority was accepted.
TEST_CASE("urgency is parsed strictly", "[http]") {
  CHECK(http::ParseUrgency("u=0") == 0);
  CHECK(http::ParseUrgency("i, u=5") == 5);
  CHECK(http::ParseUrgency("u=3;x=1, i") == 3);
  for (const char* bad : {"", "u", "u=", "u=8", "u=12", "u=-1", "U=1", "xu=1", "u = 1"}) {
    INFO(bad);
    CHECK_FALSE(http::ParseUrgency(bad));
  }
}

TEST_CASE("numbers, query values and endpoints are parsed strictly", "[http]") {
  CHECK(http::ParseNumber("0") == 0);
  CHECK(http::ParseNumber("18446744073709551615").has_value());
  for (const char* bad : {"", "-1", "+1", " 1", "1x", "18446744073709551616"}) {
    CHECK_FALSE(http::ParseNumber(bad));
  }
  CHECK(http::QueryValue("a=1&service=x%2Fy", "service") == "x/y");
  CHECK(http::QueryValue("service=", "service") == "");
  CHECK_FALSE(http::QueryValue("service=%2", "service"));
  CHECK_FALSE(http::QueryValue("service=%zz", "service"));
  CHECK_FALSE(http::QueryValue("xservice=1", "service"));
  CHECK(http::ParseEndpoint("127.0.0.1:80")->port() == 80);
  CHECK(http::ParseEndpoint("[::1]:80")->address().is_v6());
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "host:80"}) {
    CHECK_FALSE(http::ParseEndpoint(bad));
  }
}

// Guards against header injection through `detail` and against a `Retry-After` of zero.
TEST_CASE("problem response escapes its detail", "[http]") {
  const auto response =
      http::MakeProblemResponse({http::ProblemCode::kOverloaded, core::Outcome::kNotRun,
                                 "a\"b\r\nX: 1\xff", std::chrono::milliseconds(1)});
  CHECK(response.result_int() == 503);
  CHECK(response["Proxy-Status"] ==
        R"(vanilladeck; error=connection_limit_reached; details="a\"b??X: 1?")");
  CHECK(response["Retry-After"] == "1");
  CHECK(response["Request-Outcome"] == "not-run");
}
