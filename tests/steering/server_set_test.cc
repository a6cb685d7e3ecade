#include "vanilladeck/steering/server_set.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using testing::PickerFixture;
using namespace std::chrono_literals;
using Change = ServerSet::Change;

// Guards against requests to a draining server after a delayed older report with state "ready".
TEST_CASE("draining is sticky within an incarnation") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  report.sequence = 5;
  REQUIRE(f.servers.OnReport(report, f.now) == Change::kAdded);
  report.state = ServerState::kDraining;
  report.sequence = 6;
  CHECK(f.servers.OnReport(report, f.now) == Change::kDraining);
  report.state = ServerState::kReady;
  report.sequence = 5;
  CHECK(f.servers.OnReport(report, f.now) == Change::kNone);
  report.sequence = 7;
  (void)f.servers.OnReport(report, f.now);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
}

// Guards against requests to a leaving server whose statement is forgotten: a report says "ready",
// or its entry is removed while the store is away and listed again.
TEST_CASE("a leaving that a server states in a response holds for its incarnation") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  (void)f.servers.OnReport(report, f.now);
  CHECK(f.servers.OnLeaving(*f.servers.Find("s1"), f.now));
  CHECK_FALSE(f.servers.OnLeaving(*f.servers.Find("s1"), f.now));
  SECTION("a newer report") { report.sequence = 2; }
  SECTION("an older report") { report.sequence = 0; }
  SECTION("another place") {
    report.sequence = 2;
    report.failure_domain = "west-a";
  }
  SECTION("removed and listed again") {
    REQUIRE(f.servers.OnRemoved("s1"));
    f.now += 60s;
  }
  (void)f.servers.OnReport(report, f.now);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  report.born_ms += 1;
  (void)f.servers.OnReport(report, f.now);
  CHECK(f.servers.Assignable(*f.servers.Find("s1")));
}

// Guards against a statement that marks only an entry which has been replaced since the request was
// sent.
TEST_CASE("a leaving that is stated by a replaced entry holds for the listed one") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  (void)f.servers.OnReport(report, f.now);
  const ServerPtr sent_to = f.servers.Find("s1");
  SECTION("another place") {
    report.failure_domain = "west-a";
    report.sequence = 2;
    (void)f.servers.OnReport(report, f.now);
    CHECK(f.servers.OnLeaving(*sent_to, f.now));
    CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  }
  SECTION("a new incarnation") {
    report.born_ms += 1;
    (void)f.servers.OnReport(report, f.now);
    (void)f.servers.OnLeaving(*sent_to, f.now);
    CHECK(f.servers.Assignable(*f.servers.Find("s1")));
  }
}

// Guards against a restarted server that stays excluded, or keeps the load and statistics of the
// earlier incarnation.
TEST_CASE("a restart under the same id starts with empty statistics") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  report.sequence = 40;
  report.state = ServerState::kDraining;
  (void)f.servers.OnReport(report, f.now);
  const ServerPtr old = f.servers.Find("s1");
  old->others_load = 20;
  report.born_ms = 2;
  report.sequence = 1;
  report.state = ServerState::kReady;
  CHECK(f.servers.OnReport(report, f.now) == Change::kAdded);
  const ServerPtr fresh = f.servers.Find("s1");
  CHECK(fresh != old);
  CHECK(old->gone);
  CHECK(fresh->Load(f.now) == 0);
  CHECK(f.servers.Assignable(*fresh));
  // Reports of the earlier incarnation may still arrive.
  report.born_ms = 1;
  report.sequence = 41;
  CHECK(f.servers.OnReport(report, f.now) == Change::kNone);
  CHECK(f.servers.Find("s1") == fresh);
}

// Guards against requests that reach a server of another service or region each time the entry of a
// server that crashed is read again.
TEST_CASE("after a misdirected response a server is unusable until it reports again") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  (void)f.servers.OnReport(report, f.now);
  f.servers.OnMisdirected(*f.servers.Find("s1"));
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  CHECK(f.servers.OnReport(report, f.now) == Change::kNone);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  report.sequence = 2;
  CHECK(f.servers.OnReport(report, f.now) == Change::kReturned);
  CHECK(f.servers.Assignable(*f.servers.Find("s1")));
}

// Guards against requests outside their allowed regions: the failure domain of a server was that of
// its newest report, its region that of its first one.
TEST_CASE("a report with another failure domain moves the server to that domain's region") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  (void)f.servers.OnReport(report, f.now);
  f.route.allowed_regions = {"east"};
  REQUIRE(f.ChosenId("1") == "s1");
  report.failure_domain = "west-a";
  report.sequence = 2;
  CHECK(f.servers.OnReport(report, f.now) == Change::kAdded);
  CHECK(f.servers.Find("s1")->region == "west");
  CHECK(f.ChosenId("1").empty());
}

// Guards against sending a request to the new place of a server that was chosen for its old one.
TEST_CASE("a server chosen before it moved is not assignable afterwards") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  (void)f.servers.OnReport(report, f.now);
  const ServerPtr chosen = f.servers.Find("s1");
  report.failure_domain = "west-a";
  report.sequence = 2;
  (void)f.servers.OnReport(report, f.now);
  CHECK_FALSE(f.servers.Assignable(*chosen));
  CHECK(f.servers.Assignable(*f.servers.Find("s1")));
}

// Guards against requests to a process that drains, or too many to a cold one, after it has moved.
TEST_CASE("a server that moved stays draining and keeps its recent cold sends") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  report.cold_left = 3s;
  (void)f.servers.OnReport(report, f.now);
  f.servers.OnSent(*f.servers.Find("s1"), f.now);
  report.failure_domain = "east-b";
  report.state = ServerState::kDraining;
  report.sequence = 2;
  (void)f.servers.OnReport(report, f.now);
  report.failure_domain = "west-a";
  report.state = ServerState::kReady;
  report.sequence = 3;
  (void)f.servers.OnReport(report, f.now);
  CHECK(f.servers.Find("s1")->draining);
  CHECK(f.servers.Find("s1")->cold_sends.size() == 1);
}

// Guards against a server that stays out of use because another writer once wrote its entry: their
// sequences cannot be compared, so the last one written counts.
TEST_CASE("a report of another writer does not hide the server's own later ones") {
  PickerFixture f;
  ServerReport own = f.Report("s1", "east-a");
  (void)f.servers.OnReport(own, f.now);
  ServerReport foreign = own;
  foreign.sequence = 1000;
  SECTION("address") { foreign.address = "127.0.0.2:1"; }
  SECTION("service") { foreign.service = "orders"; }
  SECTION("failure domain") { foreign.failure_domain = "west-a"; }
  (void)f.servers.OnReport(foreign, f.now);
  own.sequence = 2;
  CHECK(f.servers.OnReport(own, f.now) == Change::kAdded);
  CHECK(f.servers.Find("s1")->region == "east");
  CHECK(f.ChosenId("1") == "s1");
}

// Guards against ignoring the restart of a server whose entry does not state when it started.
TEST_CASE("without a start time another place is a new incarnation") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  report.born_ms = 0;
  report.sequence = 5;
  (void)f.servers.OnReport(report, f.now);
  report.address = "127.0.0.2:1";
  report.sequence = 1;
  CHECK(f.servers.OnReport(report, f.now) == Change::kAdded);
  CHECK(f.servers.Find("s1")->report.address == report.address);
}

// Guards against requests that reach the server to which the address of another one was given.
TEST_CASE("an address belongs to the server that started last") {
  PickerFixture f;
  ServerReport old_report = f.Report("s1", "east-a");
  ServerReport report = f.Report("s2", "west-a");
  report.address = old_report.address;
  report.born_ms = 2;
  f.route.allowed_regions = {"east"};
  SECTION("the older one is known first") {
    (void)f.servers.OnReport(old_report, f.now);
    CHECK(f.servers.OnReport(report, f.now) == Change::kAdded);
  }
  SECTION("the newer one is known first") {
    (void)f.servers.OnReport(report, f.now);
    (void)f.servers.OnReport(old_report, f.now);
  }
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  CHECK(f.servers.Assignable(*f.servers.Find("s2")));
  CHECK(f.ChosenId("1").empty());
  // A late report of the former holder does not take the address back.
  old_report.sequence = 9;
  CHECK(f.servers.OnReport(old_report, f.now) == Change::kNone);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  CHECK(f.servers.Assignable(*f.servers.Find("s2")));
}

// Guards against a sound server that is out of use because of another writer's copy of its entry.
TEST_CASE("an entry with the same start does not take an address away") {
  PickerFixture f;
  const ServerReport sound = f.Report("s1", "east-a");
  ServerReport copy = sound;
  copy.id = GENERATE("s0", "s2");
  copy.service = "unnamed";
  SECTION("copy known last") {
    (void)f.servers.OnReport(sound, f.now);
    (void)f.servers.OnReport(copy, f.now);
  }
  SECTION("copy known first") {
    (void)f.servers.OnReport(copy, f.now);
    (void)f.servers.OnReport(sound, f.now);
  }
  CHECK(f.ChosenId("1") == "s1");
  REQUIRE(f.servers.OnRemoved(copy.id));
  CHECK(f.ChosenId("1") == "s1");
}

// Guards against a server that stays unusable after it got an address back by a restart.
TEST_CASE("a newer incarnation takes its address back") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  ServerReport other = f.Report("s2", "west-a");
  other.address = report.address;
  other.born_ms = 2;
  (void)f.servers.OnReport(report, f.now);
  (void)f.servers.OnReport(other, f.now);
  report.born_ms = 3;
  CHECK(f.servers.OnReport(report, f.now) == Change::kAdded);
  CHECK(f.servers.Assignable(*f.servers.Find("s1")));
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s2")));
}

// Guards against a sound server that stays out of use: its entry does not change while it runs.
TEST_CASE("a superseded server returns when the other one has left the address") {
  PickerFixture f;
  ServerReport old_report = f.Report("s1", "east-a");
  ServerReport report = f.Report("s2", "west-a");
  report.address = old_report.address;
  report.born_ms = 2;
  (void)f.servers.OnReport(old_report, f.now);
  (void)f.servers.OnReport(report, f.now);
  old_report.sequence = 2;
  CHECK(f.servers.OnReport(old_report, f.now) == Change::kNone);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  const ServerPtr superseded = f.servers.Find("s1");
  SECTION("removed") { REQUIRE(f.servers.OnRemoved("s2")); }
  SECTION("moved to another address") {
    report.address = "elsewhere:1";
    report.sequence = 2;
    (void)f.servers.OnReport(report, f.now);
  }
  CHECK(f.servers.Assignable(*f.servers.Find("s1")));
  CHECK_FALSE(f.servers.Assignable(*superseded));
  const auto returned = f.servers.TakeReturned();
  REQUIRE(returned.size() == 1);
  CHECK(returned[0] == f.servers.Find("s1"));
  CHECK(f.servers.TakeReturned().empty());
}

// Guards against sending requests to a crashed server as soon as its successor answers as another.
TEST_CASE("after a misdirected response a superseded server returns by a newer report only") {
  PickerFixture f;
  ServerReport old_report = f.Report("s1", "east-a");
  ServerReport report = f.Report("s2", "west-a");
  report.address = old_report.address;
  report.born_ms = 2;
  (void)f.servers.OnReport(old_report, f.now);
  (void)f.servers.OnReport(report, f.now);
  f.servers.OnMisdirected(*f.servers.Find("s2"));
  CHECK(f.servers.OnReport(old_report, f.now) == Change::kNone);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("s1")));
  old_report.sequence = 2;
  CHECK(f.servers.OnReport(old_report, f.now) == Change::kReturned);
  CHECK(f.servers.Assignable(*f.servers.Find("s1")));
}

// Guards against a drain that instances do not pass on to those for which the server holds its
// address.
TEST_CASE("a superseded server that starts draining is reported as draining") {
  PickerFixture f;
  ServerReport old_report = f.Report("s1", "east-a");
  ServerReport report = f.Report("s2", "east-a");
  report.address = old_report.address;
  report.born_ms = 2;
  (void)f.servers.OnReport(old_report, f.now);
  (void)f.servers.OnReport(report, f.now);
  old_report.sequence = 2;
  old_report.state = ServerState::kDraining;
  CHECK(f.servers.OnReport(old_report, f.now) == Change::kDraining);
}

// Guards against using a reference from before a server lost its address: its connections may lead
// to another server.
TEST_CASE("a server that returns is another object with the same statistics") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  report.cold_left = 3s;
  (void)f.servers.OnReport(report, f.now);
  const ServerPtr known = f.servers.Find("s1");
  f.servers.OnSent(*known, f.now);
  known->failure_rate = 0.5;
  known->draining = true;
  f.servers.OnMisdirected(*known);
  report.sequence = 2;
  REQUIRE(f.servers.OnReport(report, f.now) == Change::kReturned);
  const ServerPtr returned = f.servers.Find("s1");
  CHECK(known->gone);
  CHECK_FALSE(returned->gone);
  CHECK(returned->draining);
  CHECK(returned->failure_rate == 0.5);
  CHECK(returned->cold_sends.size() == 1);
  CHECK(returned->in_flight == 0);
  CHECK(f.servers.OfService("catalogue").size() == 1);
  f.servers.OnEnd(*known, AttemptEnd::kAbandoned, std::nullopt, 1ms, 0ms, f.now);
  CHECK(returned->in_flight == 0);
}

// Guards against a server that is unusable because of the former address of another one.
TEST_CASE("an address that its holder left is free") {
  PickerFixture f;
  ServerReport report = f.Report("s1", "east-a");
  report.born_ms = 2;
  ServerReport other = f.Report("s2", "east-a");
  other.address = report.address;
  (void)f.servers.OnReport(report, f.now);
  SECTION("removed") { REQUIRE(f.servers.OnRemoved("s1")); }
  SECTION("restarted elsewhere") {
    report.address = "elsewhere:1";
    report.born_ms = 3;
    (void)f.servers.OnReport(report, f.now);
  }
  (void)f.servers.OnReport(other, f.now);
  CHECK(f.servers.Assignable(*f.servers.Find("s2")));
}

// Guards against requests to a place that is not the server's, for reports in any order.
TEST_CASE("usable servers of an address started last and regions are those of failure domains") {
  REQUIRE(rc::check("server places", [] {
    PickerFixture f;
    std::vector<ServerPtr> seen;
    std::set<const Server*> gone;
    std::set<const Server*> misdirected;
    std::set<std::string> after_misdirection;  ///< Addresses.
    for (int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 10))) {
      const std::string id = "s" + std::to_string(*rc::gen::inRange(0, 4));
      const ServerPtr known = f.servers.Find(id);
      if (step == 0) {
        (void)f.servers.OnRemoved(id);
      } else if (step == 1 && known) {
        f.servers.OnMisdirected(*known);
        misdirected.insert(known.get());
        after_misdirection.insert(known->report.address);
      } else {
        ServerReport report = f.Report(id, *rc::gen::element<std::string>("east-a", "west-a"));
        report.born_ms = *rc::gen::inRange(0, 4);
        report.sequence = *rc::gen::inRange(0, 8);
        report.address = std::to_string(*rc::gen::inRange(0, 3));
        report.service = *rc::gen::element<std::string>("catalogue", "orders");
        (void)f.servers.OnReport(report, f.now);
      }
      std::map<std::string, std::set<std::int64_t>> usable;
      std::vector<ServerPtr> waiting;
      std::size_t listed = 0;
      for (const char* service : {"catalogue", "orders"}) {
        for (const ServerPtr& it : f.servers.OfService(service)) {
          ++listed;
          seen.push_back(it);
          RC_ASSERT(f.servers.Find(it->report.id) == it);
          RC_ASSERT(it->report.service == service);
          RC_ASSERT(it->region == PickerFixture::RegionOf(it->report.failure_domain));
          if (misdirected.count(it.get()) > 0) RC_ASSERT(it->gone);
          if (it->gone && misdirected.count(it.get()) == 0) waiting.push_back(it);
          if (it->gone) continue;
          usable[it->report.address].insert(it->report.born_ms);
          const auto holders = f.servers.AddressHolders(it->report.address);
          RC_ASSERT(std::find(holders.begin(), holders.end(), it) != holders.end());
        }
      }
      RC_ASSERT(listed == f.servers.size());
      for (const auto& [address, starts] : usable) {
        RC_ASSERT(starts.size() == 1);
      }
      // A server is out of use only because of a 421 or of a newer one at its address.
      for (const ServerPtr& it : waiting) {
        const auto starts = usable.find(it->report.address);
        RC_ASSERT(after_misdirection.count(it->report.address) > 0 ||
                  (starts != usable.end() && *starts->second.begin() > it->report.born_ms));
      }
      for (const ServerPtr& it : seen) {
        if (it->gone) gone.insert(it.get());
        RC_ASSERT(it->gone == (gone.count(it.get()) > 0));
      }
    }
  }));
}

TEST_CASE("servers of an evacuated failure domain get no requests and return cold") {
  PickerFixture f;
  f.Add("east-a", 1);
  f.servers.SetEvacuated({"east-a"}, 3s, f.now);
  CHECK_FALSE(f.servers.Assignable(*f.servers.Find("east-a0")));
  f.now += 5s;
  f.servers.SetEvacuated({}, 3s, f.now);
  CHECK(f.servers.Assignable(*f.servers.Find("east-a0")));
  CHECK(f.servers.Find("east-a0")->Cold(f.now));
}

// Guards against a failing server that keeps getting requests.
TEST_CASE("consecutive failures eject a server for a limited time") {
  PickerFixture f;
  f.Add("east-a", 1);
  const ServerPtr server = f.servers.Find("east-a0");
  for (int i = 0; i < 3; ++i) {
    f.servers.OnSent(*server, f.now);
    f.servers.OnEnd(*server, AttemptEnd::kFailed, std::nullopt, 1ms, 0ms, f.now);
  }
  CHECK_FALSE(f.servers.Usable(*server, f.now));
  CHECK(f.servers.Usable(*server, f.now + 5s));
  CHECK(server->in_flight == 0);
}

// Guards against a failure domain that stays unused after an evacuation: its servers were full at
// their last response, and only another request would show that they are idle.
TEST_CASE("the load estimate of a full server decays without updates") {
  PickerFixture f;
  f.Add("east-a", 2);
  for (const std::string& id : f.servers.Ids()) {
    const ServerPtr server = f.servers.Find(id);
    f.servers.OnSent(*server, f.now);
    f.servers.OnEnd(*server, AttemptEnd::kShed, ServerLoad{9, 27, 9}, 1ms, 0ms, f.now);
  }
  f.SetLoad("east-a0", 36);
  f.SetLoad("east-a1", 36);
  CHECK(f.ChosenId("1").empty());
  f.now += 4s;
  CHECK_FALSE(f.ChosenId("1").empty());
}

}  // namespace
}  // namespace vanilladeck::steering
