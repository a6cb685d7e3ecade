#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "vanilladeck/core/json.h"
#include "vanilladeck/membership/change_log.h"

/// Bytes of the messages between instances.
namespace vanilladeck::membership {
namespace {

// Of the largest deployment.
constexpr std::int64_t kServers = 1350;
constexpr std::int64_t kDelta = 50;
// Of the bytes without them.
constexpr double kTarget = 0.01;
constexpr store::Era kEra = 12;

std::string ServerValue(std::int64_t n) {
  return nlohmann::json{
      {"address", "10.1." + std::to_string(n % 250) + ".7:8080"},
      {"born", 1700000000000 + n},
      {"info",
       {{"backend", "catalogue"}, {"version", "v12"}, {"zone", "kumamoto-a"}, {"slots", 9}}},
      {"status", {{"state", "ready"}, {"seq", n}, {"coldLeftS", 0.0}}}}
      .dump();
}

/// A message with `changes` changes, the last `of_earlier_era` of which were written before the
/// store's return.
PeerChanges Message(std::int64_t changes, std::int64_t of_earlier_era) {
  PeerChanges message;
  message.epoch = "edge-kumamoto-a-1/1796650696705";
  message.log_position = 123456;
  message.position = {kEra, 9876543};
  message.age = std::chrono::milliseconds(250);
  message.behind = std::chrono::milliseconds(250);
  message.unheard = message.age;
  message.checked_prefix = "op/";
  message.policy_version = 118;
  message.references = {{"op/config", {kEra, 9870000}}};
  for (std::int64_t i = 0; i < changes; ++i) {
    const store::Era era = i < changes - of_earlier_era ? kEra : kEra - 1;
    message.changes.push_back(
        {{"servers/catalogue-kumamoto-a-" + std::to_string(i), ServerValue(i), {era, 9800000 + i}},
         false});
  }
  return message;
}

struct Bytes {
  std::size_t with_era = 0;
  std::size_t without = 0;
  [[nodiscard]] double share() const {
    return (static_cast<double>(with_era) - static_cast<double>(without)) /
           static_cast<double>(without);
  }
};

/// Bytes of a message, and of the same one before it stated the era and the policy's version.
Bytes BytesOf(const PeerChanges& message) {
  const std::string text = EncodePeerChanges(message);
  auto json = core::ParseJson(text);
  json["unheard_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(message.unheard).count();
  json.erase("era");
  json.erase("policy");
  for (const char* list : {"changes", "references"}) {
    for (auto& it : json[list]) it.erase("era");
  }
  return {text.size(), json.dump().size()};
}

}  // namespace

// Guards against an era in each line of a message, and in answers without changes, which are the
// most. The figures are printed with `-s`.
TEST_CASE("the era and the policy's version take less than 1% of a message") {
  for (const std::int64_t changes : {kServers, kDelta, std::int64_t{0}}) {
    PeerChanges message = Message(changes, 0);
    // An instance that polls states its own version.
    if (changes == 0) message.policy_version = 0;
    const Bytes bytes = BytesOf(message);
    CAPTURE(changes, bytes.with_era, bytes.without, bytes.share());
    CHECK(bytes.share() < kTarget);
  }
}

// Guards against a message that grows by more than the era of each line that differs, in the
// seconds after a return while lines of the copy and lost ones are mixed.
TEST_CASE("the era of a line is stated only if it differs from that of the message") {
  const std::string field = "\"era\":11,";
  const Bytes mixed = BytesOf(Message(kServers, kServers / 3));
  CAPTURE(mixed.with_era, mixed.without, mixed.share());
  const Bytes same = BytesOf(Message(kServers, 0));
  CHECK(mixed.with_era - same.with_era == kServers / 3 * field.size());
}

}  // namespace vanilladeck::membership
