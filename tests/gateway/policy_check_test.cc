#include "vanilladeck/gateway/policy_check.h"

#include <catch2/catch.hpp>

namespace vanilladeck::gateway {
namespace {

using namespace std::chrono_literals;
using membership::FeedPeer;

core::TimePoint At(core::Duration since) { return core::TimePoint(100s) + since; }

std::vector<FeedPeer> Peers(std::size_t n) {
  std::vector<FeedPeer> peers;
  for (std::size_t i = 0; i < n; ++i) {
    const std::string name = "edge-" + std::to_string(i);
    peers.push_back({name, "127.0.0.1:" + std::to_string(i + 1)});
  }
  return peers;
}

/// Asks as many instances as may be asked at `now`.
std::size_t AskAll(PolicyCheck& check, const std::vector<FeedPeer>& peers, core::TimePoint now) {
  std::size_t n = 0;
  while (check.NextToAsk(peers, true, now)) ++n;
  return n;
}

}  // namespace

// Guards against an instance that puts the copy's policy in force although others have a newer one.
TEST_CASE("a start holds its policy back until the other instances have answered") {
  const auto peers = Peers(3);
  PolicyCheck check;
  check.Begin(At(0s));
  CHECK(AskAll(check, peers, At(0s)) == 3);
  check.OnKnown(12);
  CHECK(check.Holds(At(0s)));
  SECTION("without a newer one") {
    // Each may have started a moment ago, and have nothing but the copy itself.
    for (const auto& it : peers) {
      CHECK(AskAll(check, peers, At(100ms)) == 0);
      CHECK(check.Holds(At(100ms)));
      check.OnAnswer();
      check.OnStated(it, 12, At(100ms));
    }
    CHECK(AskAll(check, peers, At(100ms)) == 0);
    CHECK_FALSE(check.Holds(At(100ms)));
  }
  SECTION("with a newer one") {
    check.OnAnswer();
    check.OnStated(peers[0], 13, At(100ms));
    // Another instance that lacks it does not change this.
    check.OnAnswer();
    check.OnStated(peers[1], 12, At(100ms));
    CHECK(check.Holds(At(2s)));
    REQUIRE(check.NextToRead(true, At(100ms)).has_value());
    check.OnKnown(13);
    check.OnRead(At(2s));
    CHECK_FALSE(check.Holds(At(2s)));
    CHECK_FALSE(check.NextToRead(true, At(9s)).has_value());
  }
  SECTION("with one that is itself starting") {
    check.OnAnswer();
    check.OnStated(peers[0], 0, At(100ms));
    CHECK(check.Holds(At(100ms)));
  }
}

// Guards against an instance that never becomes ready.
TEST_CASE("a start holds its policy back for a limited time") {
  const auto peers = Peers(2);
  PolicyCheck check;
  check.Begin(At(0s));
  SECTION("without an instance to ask") {
    CHECK(check.Holds(At(0s)));
    CHECK(AskAll(check, {}, At(0s)) == 0);
    CHECK_FALSE(check.Holds(At(0s)));
    CHECK_FALSE(check.active());
  }
  SECTION("without an instance that can be reached") {
    CHECK(AskAll(check, peers, At(0s)) == 2);
    check.OnNoAnswer();
    check.OnNoAnswer();
    CHECK(AskAll(check, peers, At(0s)) == 0);
    CHECK_FALSE(check.Holds(At(0s)));
  }
  SECTION("without an answer") {
    CHECK(AskAll(check, peers, At(0s)) == 2);
    CHECK(check.Holds(At(999ms)));
    CHECK_FALSE(check.Holds(At(1s)));
  }
  SECTION("without the policy that was stated") {
    CHECK(AskAll(check, peers, At(0s)) == 2);
    check.OnAnswer();
    check.OnStated(peers[0], 99, At(0s));
    check.OnKnown(12);
    for (auto at = 0ms; at < 10s; at += 500ms) {
      CHECK(check.Holds(At(at)));
      REQUIRE(check.NextToRead(true, At(at)).has_value());
      check.OnRead(At(at));
    }
    CHECK_FALSE(check.Holds(At(10s)));
    CHECK_FALSE(check.NextToRead(true, At(10s)).has_value());
  }
}

// Guards against a policy in force that is taken back while others are asked.
TEST_CASE("a change of the era holds nothing back that is in force") {
  PolicyCheck check;
  check.OnKnown(12);
  check.Begin(At(0s));
  CHECK(AskAll(check, Peers(2), At(0s)) == 2);
  CHECK_FALSE(check.Holds(At(0s)));
  check.OnAnswer();
  check.OnStated(Peers(1)[0], 13, At(0s));
  CHECK_FALSE(check.Holds(At(0s)));
  CHECK(check.NextToRead(true, At(0s)).has_value());
}

// Guards against a fleet whose instances all ask all others when the store returns.
TEST_CASE("a round asks a limited number of instances") {
  const auto peers = Peers(100);
  PolicyCheck check;
  check.Begin(At(0s));
  CHECK(AskAll(check, peers, At(0s)) == PolicyCheck::kMaxAsked);
  // In place of those that do not answer, others are asked.
  std::size_t failed = 0;
  do {
    check.OnNoAnswer();
    ++failed;
  } while (AskAll(check, peers, At(0s)) > 0);
  CHECK(failed == PolicyCheck::kMaxFailed);
  for (std::size_t i = 1; i < PolicyCheck::kMaxAsked; ++i) check.OnNoAnswer();
  CHECK(AskAll(check, peers, At(0s)) == 0);
  CHECK_FALSE(check.active());
  CHECK_FALSE(check.Holds(At(0s)));
}

// Guards against answers to an earlier round that are counted in the next one: the store may return
// twice in a row.
TEST_CASE("a round that begins while another one is under way asks all instances again") {
  const auto peers = Peers(3);
  PolicyCheck check;
  check.Begin(At(0s));
  CHECK(AskAll(check, peers, At(0s)) == 3);
  check.Begin(At(0s));
  check.OnNoAnswer();
  check.OnNoAnswer();
  check.OnNoAnswer();
  CHECK(AskAll(check, peers, At(1s)) == 3);
  CHECK(check.Holds(At(1s)));
}

// Guards against a second transfer of a policy that the store has, and against an instance that
// takes no notice of what those tell that it did not ask.
TEST_CASE("what others state counts for some time after a round began") {
  PolicyCheck check;
  check.OnKnown(12);
  CHECK_FALSE(check.CountsStatements(At(0s)));
  check.Begin(At(0s));
  CHECK(AskAll(check, {}, At(0s)) == 0);
  CHECK(check.CountsStatements(At(4s)));
  CHECK_FALSE(check.CountsStatements(At(5s)));
  // One that is not answered yet, or whose policy is not read yet, is part of it.
  check.OnStated(Peers(1)[0], 13, At(4s));
  CHECK(check.CountsStatements(At(6s)));
}

// Guards against instances that all read each new policy from each other although the store is
// about to deliver it.
TEST_CASE("outside a round a newer policy is read only if it does not arrive") {
  const auto peers = Peers(2);
  PolicyCheck check;
  check.OnKnown(12);
  check.OnStated(peers[0], 13, At(0s));
  CHECK_FALSE(check.NextToRead(true, At(900ms)).has_value());
  SECTION("it arrives") {
    check.OnKnown(13);
    CHECK_FALSE(check.active());
  }
  SECTION("it does not arrive") {
    check.OnStated(peers[1], 13, At(100ms));
    REQUIRE(check.NextToRead(true, At(1s))->name == peers[0].name);
    CHECK_FALSE(check.NextToRead(true, At(1s)).has_value());
    check.OnRead(At(1s));
    CHECK_FALSE(check.NextToRead(true, At(1100ms)).has_value());
    CHECK(check.NextToRead(true, At(1500ms))->name == peers[1].name);
  }
  SECTION("a still newer one is stated") {
    check.OnStated(peers[1], 14, At(900ms));
    CHECK_FALSE(check.NextToRead(true, At(1s)).has_value());
    CHECK(check.NextToRead(true, At(2s))->name == peers[1].name);
  }
}

}  // namespace vanilladeck::gateway
