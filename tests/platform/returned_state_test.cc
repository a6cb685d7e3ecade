#include <catch2/catch.hpp>

#include "platform/logged_gateway.h"
#include "platform/scripted_store.h"

/// What an instance keeps of the operators' and the instances' items when the store returns from an
/// older copy.
namespace vanilladeck::platform {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr core::Duration kStartTimeout = 5000ms;
constexpr core::Duration kReadTimeout = 2500ms;
// Operators write again within about this time after the return.
constexpr core::Duration kWriteAgainTime = 1800ms;
// Longer than the time for which what a copy lacks, or brings back, takes no effect.
constexpr core::Duration kGraceTime = 4000ms;
// Of a record in the copy, whose lease may have been renewed just before.
constexpr core::Duration kCopiedLeaseTime = 3000ms;

constexpr const char* kEvacuation = "op/evacuate/east-a";
constexpr const char* kEvacuated = "\"failure_domains\":[\"east-a\"]";
constexpr const char* kNoneEvacuated = "\"failure_domains\":[]";
constexpr const char* kOtherInstance = "vanilladeck/instances/edge-2";

struct ReturnedStateFixture {
  ReturnedStateFixture() : store(io), settings(Settings()), gateway(io, settings) {
    store.Put("op/config", PolicyText({RouteResource("a.example", "/x/", {})}));
    store.Put("servers/i-1", ServerText());
    gateway.instance.Start();
    REQUIRE(RunUntil([this] { return gateway.instance.Ready(); }, kStartTimeout));
  }

  [[nodiscard]] gateway::GatewaySettings Settings() const {
    gateway::GatewaySettings it = InstanceSettings();
    it.store = store.endpoint();
    it.follower.check_prefix = "op/";
    return it;
  }

  static std::string OtherInstance() {
    membership::InstanceRecord record;
    record.address = "127.0.0.1:9";
    record.failure_domain = "east-a";
    record.region = "east";
    record.ready = true;
    return membership::EncodeInstance(record);
  }

  void Remove(const std::string& key) {
    store.Remove(key);
    store.Put("servers/i-1", ServerText());
  }
  [[nodiscard]] std::size_t Count(const std::string& text) const {
    const std::string events = gateway.Events();
    std::size_t n = 0;
    for (auto at = events.find(text); at != std::string::npos; at = events.find(text, at + 1)) ++n;
    return n;
  }
  /// Number of instances that a lookup of the own region names.
  [[nodiscard]] std::size_t Named() {
    return Lookup(io, settings.lookups, "a.example", "east").addresses.size();
  }
  void Run(core::Duration time) { io.run_for(time); }
  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!predicate() && std::chrono::steady_clock::now() < end) io.run_for(20ms);
    return predicate();
  }

  boost::asio::io_context io;
  ScriptedStore store;
  gateway::GatewaySettings settings;
  LoggedGateway gateway;
};

}  // namespace

// Guards against requests to an evacuated failure domain because the copy lacks the order, which
// the operators write again.
TEST_CASE("an evacuation that the store lost stays in force until it is written again") {
  ReturnedStateFixture f;
  const auto copy = f.store.TakeCopy();
  f.store.Put(kEvacuation, "{}");
  REQUIRE(f.RunUntil([&] { return f.gateway.Logged(kEvacuated); }, kReadTimeout));
  f.store.ReturnFrom(copy);
  f.Run(kWriteAgainTime);
  f.store.Put(kEvacuation, "{}");
  f.Run(kGraceTime);
  CHECK_FALSE(f.gateway.Logged(kNoneEvacuated));
}

// Guards against an evacuation that starts again, with cold servers after it, because the copy
// contains the order, which the operators take back again.
TEST_CASE("an evacuation that the copy brings back does not start again") {
  ReturnedStateFixture f;
  f.store.Put(kEvacuation, "{}");
  REQUIRE(f.RunUntil([&] { return f.gateway.Logged(kEvacuated); }, kReadTimeout));
  const auto copy = f.store.TakeCopy();
  f.Remove(kEvacuation);
  REQUIRE(f.RunUntil([&] { return f.gateway.Logged(kNoneEvacuated); }, kReadTimeout));
  f.store.ReturnFrom(copy);
  f.Run(kWriteAgainTime);
  f.Remove(kEvacuation);
  f.Run(kGraceTime);
  CHECK(f.Count(kEvacuated) == 1);
}

// Guards against lookups that name a stopped instance until the lease ends that a copy brings back.
TEST_CASE("an instance that had left is not named because a copy lists it again") {
  ReturnedStateFixture f;
  f.store.Put(kOtherInstance, f.OtherInstance());
  REQUIRE(f.RunUntil([&] { return f.Named() == 2; }, kReadTimeout));
  const auto copy = f.store.TakeCopy();
  f.Remove(kOtherInstance);
  REQUIRE(f.RunUntil([&] { return f.Named() == 1; }, kReadTimeout));
  f.store.ReturnFrom(copy);
  f.Run(kGraceTime);
  CHECK(f.Named() == 1);
  // It has started again.
  f.store.Put(kOtherInstance, f.OtherInstance());
  CHECK(f.RunUntil([&] { return f.Named() == 2; }, kReadTimeout));
}

// Guards against lookups that omit live instances because the copy lacks their records, which they
// write again.
TEST_CASE("an instance whose record the store lost stays named until it is written again") {
  ReturnedStateFixture f;
  const auto copy = f.store.TakeCopy();
  f.store.Put(kOtherInstance, f.OtherInstance());
  REQUIRE(f.RunUntil([&] { return f.Named() == 2; }, kReadTimeout));
  f.store.ReturnFrom(copy);
  const auto end = std::chrono::steady_clock::now() + kWriteAgainTime;
  while (std::chrono::steady_clock::now() < end) {
    f.Run(100ms);
    REQUIRE(f.Named() == 2);
  }
  f.store.Put(kOtherInstance, f.OtherInstance());
  f.Run(kGraceTime);
  CHECK(f.Named() == 2);
}

// Guards against a live instance that is never named: it registered before the first listing after
// the return, which does not tell its record from that of the copy.
TEST_CASE("an instance that registers before the listing after the return is named") {
  ReturnedStateFixture f;
  const auto copy = f.store.TakeCopy();
  f.store.Put("servers/i-1", ServerText());
  f.store.Put(kOtherInstance, f.OtherInstance());
  REQUIRE(f.RunUntil([&] { return f.Named() == 2; }, kReadTimeout));
  f.Remove(kOtherInstance);
  REQUIRE(f.RunUntil([&] { return f.Named() == 1; }, kReadTimeout));
  f.store.ReturnFrom(copy);
  f.store.Put(kOtherInstance, f.OtherInstance());
  f.Run(kGraceTime);
  CHECK(f.RunUntil([&] { return f.Named() == 2; }, kCopiedLeaseTime));
}

// Guards against a log that does not tell what the return changed in the end.
TEST_CASE("the log tells when the state has settled after the store's return") {
  ReturnedStateFixture f;
  f.store.Put(kEvacuation, "{}");
  REQUIRE(f.RunUntil([&] { return f.gateway.Logged(kEvacuated); }, kReadTimeout));
  const auto copy = f.store.TakeCopy();
  f.Remove(kEvacuation);
  f.store.Put(kOtherInstance, f.OtherInstance());
  REQUIRE(
      f.RunUntil([&] { return f.gateway.Logged(kNoneEvacuated) && f.Named() == 2; }, kReadTimeout));
  CHECK_FALSE(f.gateway.Logged("store-era-settled"));
  f.store.ReturnFrom(copy);
  f.Run(kGraceTime);
  // The other instance's record is missing in the copy, the evacuation was taken back before.
  CHECK(f.gateway.Logged("\"deferred\":1"));
  CHECK(f.Count("store-era-settled") == 1);
  CHECK(f.gateway.Logged("\"removed\":1,\"brought_back\":1"));
}

}  // namespace vanilladeck::platform
