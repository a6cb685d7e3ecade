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
TEST_CASE("clients that do not read their responses make room for others after the write timeout") {
  LargeResponseFixture f;
  f.group().limits.write_timeout = 1500ms;
  std::vector<std::unique_ptr<SlowReader>> clients;
  for (int i = 0; i < 100; ++i) {  // As many as the listener accepts.
    clients.push_back(std::make_unique<SlowReader>(f));
    clients.back()->Send(f.RequestText("GET", "/read/large", "id-" + std::to_string(i)));
    f.RunFor(5ms);
  }
  REQUIRE(f.RunUntil([&] { return f.context.metrics.server_latency.count >= 100; }));
  const auto serves_another = [&] {
    const auto client = f.Connect();
    f.Send(*client, f.RequestText("GET", "/read/small", "last"));
    return f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input) || client->closed; },
                      1s) &&
           ProxyFixture::HasAnswer(client->input);
  };
  (void)serves_another();  // Notes how much each client has received.
  f.RunFor(f.group().limits.write_timeout);
  CHECK(serves_another());
}

}  // namespace
}  // namespace vanilladeck::gateway
