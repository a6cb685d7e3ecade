#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>

#include "codec.h"
#include "vanilladeck/core/json.h"
#include "vanilladeck/gateway/load_report.h"
#include "vanilladeck/gateway/peer_request.h"
#include "vanilladeck/membership/change_log.h"
#include "vanilladeck/membership/registration.h"

/// Decoders of what servers, the store, operators and other instances write.
namespace vanilladeck::platform {
namespace {

using nlohmann::json;
using Decoder = std::function<void(const std::string&)>;

constexpr int kMutations = 3000;

struct Case {
  std::string name;
  std::string text;  ///< A valid message.
  Decoder decode;
};

membership::PeerChanges Changes() {
  membership::PeerChanges changes;
  changes.epoch = "edge-1/1";
  changes.log_position = 7;
  changes.position = {0, 40};
  changes.age = std::chrono::milliseconds(300);
  changes.behind = std::chrono::milliseconds(200);
  changes.unheard = std::chrono::milliseconds(100);
  changes.changes = {{{"servers/i-1", "{}", {0, 39}}, false}, {{"servers/i-2", "", {0, 40}}, true}};
  changes.references = {{"op/config", {0, 12}}};
  changes.server_limits = {{"i-1", 2.5}};
  changes.checked_prefix = "op/";
  changes.policy_version = 12;
  return changes;
}

std::vector<Case> Cases() {
  static const Codec codec({"east-a"});
  const std::string server =
      R"({"address":"10.0.0.9:80","born":1700000000000,"info":{"backend":"s","zone":"east-a",
      "slots":9},"status":{"state":"ready","seq":4,"coldLeftS":1.5}})";
  const std::string policy =
      R"({"version":"0000000c","resources":[{"type":"routes","metadata":{"name":"r"},"spec":{
      "host":"a.example","prefix":"/x/","kind":"idempotent","timeoutS":2.5,"sloS":0.6,"attempts":2,
      "split":[{"backend":"s","weight":9}],"allowedRegions":["east"],"public":true}},
      {"type":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k1","k2"],"priority":1,
      "ratePerS":9,"burst":9.5,"allowedRegions":["east"]}},{"type":"limits","spec":{
      "maxHeaderBytes":9000}}]})";
  const std::string page =
      R"({"items":[{"key":"a","value":"eA==","rev":3,"created":1,"lease":0}],"currentRev":9,
      "hasMore":false})";
  const std::string watch =
      R"({"events":[{"key":"a","value":"eA==","rev":3},{"key":"b","rev":4,"tombstone":true}],
      "currentRev":9})";
  const auto decode_call = [](const store::VersionedCall& call) {
    return [call](const std::string& text) { (void)codec.Decode(call, 200, text, 1); };
  };
  return {
      {"server", server,
       [](const auto& text) {
         (void)codec.DecodeItem({"servers/i-1", text, {0, 1}});
       }},
      {"policy", policy,
       [](const auto& text) {
         (void)codec.DecodeItem({"op/config", text, {0, 1}});
       }},
      {"page", page, decode_call(store::ReadRange{"", "", false})},
      {"watch", watch, decode_call(store::WatchChanges{"", {0, 1}, std::chrono::milliseconds(1)})},
      {"lease", R"({"lease":7,"ttlS_time":3.0})",
       decode_call(store::GrantLease{std::chrono::milliseconds(3000)})},
      {"lookup", "/-/resolve?name=a%2Eexample&region=east&zone=east-a",
       [](const auto& text) { (void)codec.DecodeLookup(text); }},
      {"changes", membership::EncodePeerChanges(Changes()),
       [](const auto& text) { (void)membership::DecodePeerChanges(text); }},
      {"record",
       membership::EncodeInstance({"edge-1",
                                   "10.0.0.1:80",
                                   "east-a",
                                   "east",
                                   true,
                                   "10.0.0.1:81",
                                   200,
                                   0.5,
                                   512,
                                   {{"i-1", 2.5}},
                                   0.25,
                                   0.5}),
       [](const auto& text) {
         (void)membership::DecodeInstance("vanilladeck/instances/edge-1", text);
       }},
      {"peer request", "/peer/changes?position=7&revision=40&epoch=edge-1/1",
       [](const auto& text) { (void)gateway::DecodePeerRequest(text, 0); }},
      {"item request", "/peer/item?key=6f702f",
       [](const auto& text) { (void)gateway::DecodeItemRequest(text); }},
      {"load report", "6,3,9,100", [](const auto& text) { (void)gateway::ParseLoadReport(text); }},
  };
}

std::string Mutated(std::string text, std::mt19937_64& random) {
  const auto below = [&random](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  static const std::vector<std::string> pieces{
      "null",     "-1",      "1e999", "18446744073709551616", "[]", "{}", "\"\"", "true",
      "\xff\xfe", "\\u0000", "[[[[",  "-9223372036854775808", "%",  "&",  ",",    "0.5"};
  const std::size_t changes = 1 + below(3);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = below(text.size());
    switch (below(5)) {
      case 0:
        text[at] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(at, 1 + below(8));
        break;
      case 2:
        text.insert(at, pieces[below(pieces.size())]);
        break;
      case 3:
        text.resize(at);
        break;
      default: {
        // Replaces a number.
        const auto digit = text.find_first_of("0123456789", at);
        if (digit == std::string::npos) break;
        const auto end = text.find_first_not_of("0123456789.", digit);
        text.replace(digit, end == std::string::npos ? end : end - digit,
                     pieces[below(pieces.size())]);
      }
    }
  }
  return text;
}

// Guards against one malformed message that takes the whole process down, or ends the handling of
// the messages after it.
TEST_CASE("no decoder throws on a malformed message") {
  for (const Case& it : Cases()) {
    std::mt19937_64 random(20261205);  // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible.
    for (int i = 0; i < kMutations; ++i) {
      const std::string text = Mutated(it.text, random);
      INFO(it.name << ": " << text);
      REQUIRE_NOTHROW(it.decode(text));
    }
  }
}

// Guards against a field that gains a member and is then not read at all.
TEST_CASE("members that are not known yet lose nothing of a message") {
  const Codec codec({"east-a"});
  const auto grow = [](const std::string& text) {
    const std::function<void(json&)> visit = [&visit](json& value) {
      if (!value.is_structured()) return;
      for (auto& it : value) visit(it);
      if (value.is_object()) value["added-later"] = {1, "x", {{"y", nullptr}}};
    };
    json value = core::ParseJson(text);
    visit(value);
    return value.dump();
  };
  const auto cases = Cases();
  const auto text_of = [&cases](const std::string& name) {
    for (const Case& it : cases) {
      if (it.name == name) return it.text;
    }
    return std::string();
  };
  const auto server = codec.DecodeItem({"servers/i-1", grow(text_of("server")), {0, 1}});
  REQUIRE(std::holds_alternative<gateway::ServerItem>(server));
  CHECK(std::get<gateway::ServerItem>(server).report.slots == 9);
  const auto policy = codec.DecodeItem({"op/config", grow(text_of("policy")), {0, 1}});
  REQUIRE(std::holds_alternative<gateway::PolicyItem>(policy));
  CHECK(std::get<gateway::PolicyItem>(policy).policy.routes.at(0).attempts == 2);
  const auto page = codec.Decode(store::ReadRange{"", "", false}, 200, grow(text_of("page")), 1);
  REQUIRE(page.has_value());
  CHECK(std::get<store::RangePage>(page.value()).items.at(0).value == "x");
  json changes = json::parse(text_of("changes"));
  changes["added-later"] = {{"x", 1}};
  for (json& it : changes["changes"]) it["added-later"] = 1;
  const auto decoded = membership::DecodePeerChanges(changes.dump());
  REQUIRE(decoded.has_value());
  CHECK(decoded->changes.size() == 2);
  CHECK(decoded->server_limits.at("i-1") == 2.5);
}

// Guards against an outage of the store that is never noticed, since a peer states an age in the
// future or one that overflows.
TEST_CASE("changes of a peer with an impossible age are rejected") {
  const std::string field = GENERATE("age_ms", "behind_ms");
  CAPTURE(field);
  for (const std::int64_t age :
       {std::int64_t{-1}, std::numeric_limits<std::int64_t>::max(), std::int64_t{-9'000'000'000}}) {
    json changes = json::parse(membership::EncodePeerChanges(Changes()));
    changes[field] = age;
    CHECK_FALSE(membership::DecodePeerChanges(changes.dump()).has_value());
  }
  json earlier = json::parse(membership::EncodePeerChanges(Changes()));
  earlier.erase("unheard_ms");
  const auto decoded = membership::DecodePeerChanges(earlier.dump());
  REQUIRE(decoded.has_value());
  CHECK(decoded->unheard == decoded->age);
}

}  // namespace
}  // namespace vanilladeck::platform
