#include "vanilladeck/membership/feed_source.h"

#include <catch2/catch.hpp>
#include <set>

namespace vanilladeck::membership {
namespace {

using namespace std::chrono_literals;

core::TimePoint At(core::Duration since) { return core::TimePoint(100s) + since; }

std::vector<FeedPeer> Peers(int n) {
  std::vector<FeedPeer> peers;
  peers.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) peers.push_back({"edge-" + std::to_string(i), "127.0.0.1:1"});
  return peers;
}

// Guards against an instance that asks the same unusable ones for ever: once their back-off periods
// had expired, they came before all that it had not asked yet.
TEST_CASE("without the store an instance passes over any number of unusable ones") {
  const auto peers = Peers(20);
  const int unusable_count = GENERATE(4, 6, 8, 18);
  // Of a refused connection or a lagging instance, or of one that does not answer.
  const auto failure_time = GENERATE(0ms, 1000ms);
  CAPTURE(unusable_count, failure_time.count());
  std::set<std::string> unusable;
  FeedSource order("edge-0");
  for (int i = 0; i < unusable_count; ++i) {
    const FeedPeer* it = order.ChooseWithoutStore(peers);
    REQUIRE(unusable.insert(it->name).second);
    order.OnFailure(it->name, At(i * 1ms));
  }
  FeedSource source("edge-0");
  int queries = 0;
  while (queries < 120) {
    const FeedPeer* it = source.ChooseWithoutStore(peers);
    ++queries;
    if (unusable.count(it->name) == 0) break;
    source.OnFailure(it->name, At(queries * 1s) + failure_time);
  }
  CHECK(queries == unusable_count + 1);
  // The usable one is kept, and after its failure the others are asked in turn.
  const std::string usable = source.ChooseWithoutStore(peers)->name;
  CHECK(unusable.count(usable) == 0);
  std::set<std::string> asked;
  for (int i = 0; i < 19; ++i) {
    const FeedPeer* it = source.ChooseWithoutStore(peers);
    CHECK(asked.insert(it->name).second);
    source.OnFailure(it->name, At(130s + i * 1s));
  }
}

}  // namespace
}  // namespace vanilladeck::membership
