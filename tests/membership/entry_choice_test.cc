#include "vanilladeck/membership/entry_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace vanilladeck::membership {
namespace {

constexpr std::size_t kLimit = 64;
/// The answering instance of tests that are about the others: not ready, so it is not named.
InstanceRecord NotReady() { return {}; }

std::map<std::string, InstanceRecord> Fleet(int per_region) {
  std::map<std::string, InstanceRecord> fleet;
  for (const std::string region : {"east", "west"}) {
    for (int i = 0; i < per_region; ++i) {
      const std::string name = region + std::to_string(i);
      fleet[name] = {name, name + ":80", region + "-a", region, true, name + ":81"};
    }
  }
  return fleet;
}

TEST_CASE("a lookup returns the ready instances of the caller's region") {
  auto fleet = Fleet(3);
  fleet["east1"].ready = false;
  InstanceRecord self = fleet["east2"];
  self.ready = false;
  const auto choice = ChooseEntryAddresses(fleet, {"east", "east-a", {}}, self, kLimit);
  CHECK_FALSE(choice.remote);
  CHECK(choice.addresses == std::vector<std::string>{"east0:80"});
}

// Guards against rejecting callers while instances in other regions could serve them.
TEST_CASE("callers of a region without a ready instance are sent to other regions") {
  auto fleet = Fleet(3);
  for (int i = 0; i < 3; ++i) fleet["east" + std::to_string(i)].ready = false;
  const auto choice = ChooseEntryAddresses(fleet, {"east", "east-a", {}}, NotReady(), kLimit);
  CHECK(choice.remote);
  CHECK(choice.addresses.size() == 3);
}

// Guards against sending callers to other regions while the answering instance, back from a restart
// and not yet listed as ready, could serve them.
TEST_CASE("the answering instance is named by its own state, not by its listed record") {
  auto fleet = Fleet(1);
  InstanceRecord self = fleet["east0"];
  using Addresses = std::vector<std::string>;
  const auto choose = [&] {
    return ChooseEntryAddresses(fleet, {"east", "east-a", {}}, self, kLimit).addresses;
  };
  CHECK(choose() == Addresses{"east0:80"});
  fleet["east0"].ready = false;
  CHECK(choose() == Addresses{"east0:80"});
  fleet.erase("east0");
  CHECK(choose() == Addresses{"east0:80"});
  self.ready = false;
  CHECK(choose() == Addresses{"west0:80"});
}

// Guards against naming instances of regions in which the routes of the host may not run, and
// against refusing callers that no better region can take.
TEST_CASE("callers of a region without a ready instance are sent to the best alternative") {
  auto fleet = Fleet(1);
  fleet["north0"] = {"north0", "north0:80", "north-a", "north", true, ""};
  fleet["east0"].ready = false;
  using Regions = std::vector<std::string>;
  const auto choose = [&fleet](std::vector<Regions> alternatives) {
    return ChooseEntryAddresses(fleet, {"east", "east-a", std::move(alternatives)}, NotReady(),
                                kLimit);
  };
  using Addresses = std::vector<std::string>;
  CHECK(choose({}).addresses == Addresses{"north0:80", "west0:80"});
  CHECK(choose({{"north"}}).addresses == Addresses{"north0:80"});
  CHECK(choose({{"north"}}).remote);
  CHECK(choose({{"north"}}).regions == std::set<std::string>{"north"});
  CHECK(choose({{"east"}, {"east", "west"}}).addresses == Addresses{"west0:80"});
  CHECK(choose({{"east"}, {"east", "south"}}).addresses == Addresses{"north0:80", "west0:80"});
}

// Guards against sending callers away from the instances of their own region, which may receive
// their requests even if the route allows other regions only.
TEST_CASE("the allowed regions do not matter while the caller's region has a ready instance") {
  const auto choice =
      ChooseEntryAddresses(Fleet(1), {"east", "east-a", {{"west"}}}, NotReady(), kLimit);
  CHECK_FALSE(choice.remote);
  CHECK(choice.addresses == std::vector<std::string>{"east0:80"});
}

// Guards against a large region in which only the first 64 instances by name receive callers.
TEST_CASE("the subsets of a region's failure domains together cover all its instances") {
  const auto fleet = Fleet(100);
  std::set<std::string> reached;
  for (const char domain : std::string("abcdefgh")) {
    const auto addresses =
        ChooseEntryAddresses(fleet, {"east", std::string("east-") + domain, {}}, NotReady(), kLimit)
            .addresses;
    CHECK(addresses.size() == kLimit);
    reached.insert(addresses.begin(), addresses.end());
  }
  CHECK(reached.size() == 100);
}

// Guards against callers that reconnect after every response: they close connections to instances
// that the latest response omits.
TEST_CASE("the subset of a failure domain is stable, and a lost instance changes one address") {
  auto fleet = Fleet(100);
  const EntryQuery query{"east", "east-a", {}};
  const auto before = ChooseEntryAddresses(fleet, query, NotReady(), kLimit).addresses;
  CHECK(ChooseEntryAddresses(fleet, query, NotReady(), kLimit).addresses == before);
  const std::string lost = before[10].substr(0, before[10].find(':'));
  fleet.erase(lost);
  const auto after = ChooseEntryAddresses(fleet, query, NotReady(), kLimit).addresses;
  const auto kept = std::count_if(after.begin(), after.end(), [&before](const std::string& it) {
    return std::find(before.begin(), before.end(), it) != before.end();
  });
  CHECK(kept == kLimit - 1);
}

}  // namespace
}  // namespace vanilladeck::membership
