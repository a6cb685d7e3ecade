#include "gateway/slow_reader.h"

#include <catch2/catch.hpp>
#include <vector>

namespace vanilladeck::gateway {
namespace {

using testing::kLargeBody;
using testing::LargeResponseFixture;
using testing::ProxyFixture;
using testing::SlowReader;
using namespace std::chrono_literals;

// Guards against responses that are lost since the kernel ends a connection whose client does not
// read for some seconds: servers have run those requests.
TEST_CASE("a client that reads nothing for some seconds gets all its responses") {
  LargeResponseFixture f;
  SlowReader client(f);
  client.Send(f.RequestText("GET", "/read/large", "id-1") +
              f.RequestText("GET", "/read/small", "id-2"));
  // Longer than the kernel's timeout for other connections.
  f.RunFor(4s);
  client.ReadUntil(kLargeBody + 200);
  CHECK_FALSE(client.closed);
  CHECK(client.input.rfind("small") == client.input.size() - 5);
}

// Guards against clients that never read their responses and so keep all others out.
TEST_CASE("clients that do not read their responses make room for others at the limit") {
  LargeResponseFixture f;  // Its listener accepts 100 sessions.
  std::vector<std::unique_ptr<SlowReader>> clients;
  for (int i = 0; i < 101; ++i) {
    clients.push_back(std::make_unique<SlowReader>(f));
    clients.back()->Send(f.RequestText("GET", "/read/large", "id-" + std::to_string(i)));
    f.RunFor(5ms);
  }
  // Responses that the system holds as a whole; the sessions of others are busy.
  REQUIRE(f.RunUntil([&] { return f.context.metrics.server_latency.count >= 100; }));
  const auto last = f.Connect();
  f.Send(*last, f.RequestText("GET", "/read/small", "last"));
  REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(last->input); }, 1s));
  CHECK(f.StatusOf(last->input) == "200");
}

}  // namespace
}  // namespace vanilladeck::gateway
