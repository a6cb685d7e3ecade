#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "support/positions.h"
#include "vanilladeck/membership/store_follower.h"

namespace vanilladeck::membership {
namespace {

using store::testing::Rev;

using namespace std::chrono_literals;

core::TimePoint At(core::Duration since) { return core::TimePoint(100s) + since; }

// Guards against an instance that cannot start while a release rolls: it knows the store's era, but
// the only state that it can get is of an instance that states none.
TEST_CASE("a state without an era is used as long as nothing is known") {
  std::map<std::string, std::string> items;
  StoreFollower follower({}, {[&](const store::Item& item) { items[item.key] = item.value; },
                              [&](const std::string& key) { items.erase(key); },
                              {},
                              {}});
  REQUIRE(follower.Next(At(0s)).has_value());
  follower.OnEra(3, At(0s));
  PeerChanges state;
  state.full = true;
  state.position = Rev(20);
  state.changes = {{{"op/config", "of a seed", Rev(15)}, false}};
  follower.OnFallbackChanges(state, At(1s));
  CHECK(follower.synced());
  CHECK(items["op/config"] == "of a seed");
  // From then on, such a state is of an older era.
  state.position = Rev(30);
  state.changes[0].item = {"op/config", "of another seed", Rev(25)};
  follower.OnFallbackChanges(state, At(2s));
  CHECK(items["op/config"] == "of a seed");
  follower.OnAnswer(store::VersionedResult(store::VersionedAnswer(store::RangePage{
                        {{"op/config", "of the store", Rev(4, 3)}}, false, Rev(10, 3)})),
                    At(3s));
  CHECK(items["op/config"] == "of the store");
  CHECK(follower.position() == Rev(10, 3));
}

}  // namespace
}  // namespace vanilladeck::membership
