#include <catch2/catch.hpp>

#include "platform/seeded_gateway.h"

namespace vanilladeck::platform {
namespace {

using testing::SeededGateway;
using testing::ServerItem;
using testing::StateResponse;
using namespace std::chrono_literals;

// Guards against an instance that answers every request with 503 because it was restarted while the
// store was unavailable or refused its calls.
TEST_CASE("an instance that starts while the store is unreachable is ready with a seed's state") {
  SeededGateway f(StateResponse({ServerItem("i-1", "127.0.0.1:1", 1700000000000, "east-a", 31)}));
  CHECK(f.ReadyWithin(8s));
  CHECK_FALSE(f.seed.requests.empty());
}

// Guards against an instance that answers no lookup as long as the store is unreachable, though it
// has another instance's state.
TEST_CASE("an instance with a seed's state answers lookups") {
  SeededGateway f(StateResponse({ServerItem("i-1", "127.0.0.1:1", 1700000000000, "east-a", 31)}));
  REQUIRE(f.ReadyWithin(8s));
  const auto answer = testing::Lookup(f.io, f.settings.lookups, "a.example", "east");
  CHECK(answer.status == "200");
  CHECK(answer.addresses == std::vector<std::string>{"127.0.0.1:2", vanilladeck::http::EndpointText(
                                                                        f.settings.clients)});
}

// Guards against instances that start at the same time and accept each other's empty state.
TEST_CASE("a seed without a state does not make an instance ready") {
  SeededGateway f("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  CHECK_FALSE(f.ReadyWithin(3s));
  CHECK_FALSE(f.seed.requests.empty());
}

}  // namespace
}  // namespace vanilladeck::platform
