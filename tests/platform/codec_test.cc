#include "codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace vanilladeck::platform {
namespace {

using nlohmann::json;

const std::set<std::string>& Domains() {
  static const std::set<std::string> domains{"east-a", "west-a"};
  return domains;
}

json ServerEntry() {
  return {{"address", "10.0.0.9:8080"},
          {"born", 1700000000000},
          {"info", {{"backend", "catalogue"}, {"version", "v1"}, {"zone", "east-a"}, {"slots", 9}}},
          {"status", {{"state", "ready"}, {"seq", 4}, {"coldLeftS", 1.5}}}};
}

json Policy() {
  return json::parse(R"({"version":"0000000c","resources":[
    {"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example","prefix":"/x/",
     "kind":"idempotent","timeoutS":2.5,"sloS":0.6,"priority":1,"attempts":2,
     "split":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],
     "sessionAffinity":true,"allowedRegions":["east"]}},
    {"type":"backends","metadata":{"name":"s1"},"spec":{"healthPath":"/healthz","maxConns":330,
     "coldS":3.0,"coldPerS":8.8}},
    {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":9000,"maxBodyBytes":70000,
     "headerTimeoutS":3,"idleTimeoutS":15}}]})");
}

TEST_CASE("a server's entry is decoded") {
  const auto report = DecodeServer("i-1", ServerEntry().dump(), Domains());
  REQUIRE(report.has_value());
  CHECK(report.value().id == "i-1");
  CHECK(report.value().born_ms == 1700000000000);
  CHECK(report.value().service == "catalogue");
  CHECK(report.value().slots == 9);
  CHECK(report.value().sequence == 4);
  CHECK(report.value().cold_left == std::chrono::milliseconds(1500));
}

// Guards against sending requests to a server from an invalid entry of another writer.
TEST_CASE("an entry with a missing or mistyped field is rejected") {
  const std::vector<json::json_pointer> fields{
      json::json_pointer("/address"),         json::json_pointer("/info"),
      json::json_pointer("/status"),          json::json_pointer("/info/backend"),
      json::json_pointer("/info/zone"),       json::json_pointer("/info/slots"),
      json::json_pointer("/status/state"),    json::json_pointer("/status/seq"),
      json::json_pointer("/status/coldLeftS")};
  for (const auto& field : fields) {
    for (const json& value : {json(nullptr), json(json::array()), json(true)}) {
      json entry = ServerEntry();
      entry[field] = value;
      CHECK_FALSE(DecodeServer("i-1", entry.dump(), Domains()).has_value());
    }
  }
  json entry = ServerEntry();
  entry["born"] = "yesterday";
  CHECK_FALSE(DecodeServer("i-1", entry.dump(), Domains()).has_value());
  entry = ServerEntry();
  entry["status"]["state"] = "sleeping";
  CHECK_FALSE(DecodeServer("i-1", entry.dump(), Domains()).has_value());
  entry = ServerEntry();
  entry["info"]["zone"] = "nowhere";
  CHECK_FALSE(DecodeServer("i-1", entry.dump(), Domains()).has_value());
  CHECK_FALSE(DecodeServer("i-1", "\xff\xfe", Domains()).has_value());
}

TEST_CASE("a configuration is decoded into a routing policy") {
  const auto policy = DecodePolicy(Policy().dump());
  REQUIRE(policy.has_value());
  CHECK(policy.value().version == 12);
  REQUIRE(policy.value().routes.size() == 1);
  const config::Route& route = policy.value().routes[0];
  CHECK(route.kind == config::RequestKind::kIdempotent);
  CHECK(route.timeout == std::chrono::milliseconds(2500));
  REQUIRE(route.services.size() == 2);
  CHECK(route.services[1].weight == 10);
  CHECK(route.allowed_regions == std::vector<std::string>{"east"});
  REQUIRE(policy.value().services.size() == 1);
  CHECK(policy.value().services[0].max_connections == 330);
  CHECK(policy.value().limits.max_header_bytes == 9000);
}

// Guards against running a request twice whose kind this version does not know.
TEST_CASE("an unknown kind of request is treated as non-idempotent") {
  json policy = Policy();
  policy["resources"][0]["spec"]["kind"] = "keyed";
  const auto decoded = DecodePolicy(policy.dump());
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().routes[0].kind == config::RequestKind::kNonIdempotent);
}

// Guards against running requests everywhere because their allowed regions cannot be read.
TEST_CASE("a route whose allowed regions cannot be read makes the policy unusable") {
  for (const char* value : {R"("east")", "1", "true", R"({"east":1})", R"(["east",7])", "[7]",
                            "[null]", R"([["east"]])"}) {
    json policy = Policy();
    policy["resources"][0]["spec"]["allowedRegions"] = json::parse(value);
    INFO(value);
    const auto decoded = DecodePolicy(policy.dump());
    CHECK_FALSE(decoded.has_value());
    if (!decoded) CHECK(decoded.error() == "route r1");
  }
}

// Guards against restrictions that are dropped without a trace because they are written in a
// resource of a type that this version does not read.
TEST_CASE("a policy names the types of its resources that are not read") {
  json policy = Policy();
  CHECK(DecodePolicy(policy.dump()).value().unread_types.empty());
  for (const char* type : {"topics", "quotas", "topics"}) {
    policy["resources"].push_back(
        {{"type", type}, {"metadata", {{"name", "t1"}}}, {"spec", {{"allowedRegions", {"east"}}}}});
  }
  CHECK(DecodePolicy(policy.dump()).value().unread_types ==
        std::set<std::string>{"quotas", "topics"});
}

TEST_CASE("a route without allowed regions may run in all regions") {
  json policy = Policy();
  json& spec = policy["resources"][0]["spec"];
  for (const json& value : {json(nullptr), json::array()}) {
    spec["allowedRegions"] = value;
    const auto decoded = DecodePolicy(policy.dump());
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().routes[0].allowed_regions.empty());
  }
  spec.erase("allowedRegions");
  REQUIRE(DecodePolicy(policy.dump()).has_value());
}

// Guards against a crash caused by a corrupt value in the store.
TEST_CASE("corrupt values yield an error or a value, never a crash") {
  std::mt19937 random(20261204);
  for (const std::string& text : {ServerEntry().dump(), Policy().dump()}) {
    for (int i = 0; i < 5000; ++i) {
      std::string damaged = text;
      const int damages = 1 + static_cast<int>(random() % 4);
      for (int k = 0; k < damages; ++k) {
        const std::size_t at = random() % damaged.size();
        switch (random() % 3) {
          case 0:
            damaged[at] = static_cast<char>(random() % 256);
            break;
          case 1:
            damaged.erase(at, 1 + random() % 8);
            break;
          default:
            damaged.insert(at, 1, "{}[]\",:0-e"[random() % 10]);
            break;
        }
        if (damaged.empty()) damaged = "x";
      }
      (void)DecodeServer("i-1", damaged, Domains());
      (void)DecodePolicy(damaged);
    }
  }
  SUCCEED();
}

TEST_CASE("store calls are encoded") {
  const Codec codec(Domains());
  CHECK(codec.Encode(store::ReadRange{"op/", "op/config", true}).target ==
        "/-/kv-range?prefix=op/&after=op/config&serializable=1");
  CHECK(codec.Encode(store::WatchChanges{"", {0, 411}, std::chrono::milliseconds(1000)}).target ==
        "/-/kv-watch?prefix=&after=411&waitMs=1000");
  const auto put = codec.Encode(store::PutItem{"my/leader", "node-1", 77120});
  CHECK(put.method == "POST");
  const json body = json::parse(put.body);
  CHECK(body["setKeys"][0]["value"] == "bm9kZS0x");
  CHECK(body["setKeys"][0]["lease"] == 77120);
  CHECK(body["expect"].empty());
}

TEST_CASE("store responses are decoded, with and without base64 padding") {
  const Codec codec(Domains());
  for (const auto& [encoded, plain] : std::vector<std::pair<std::string, std::string>>{
           {"bm9kZS0x", "node-1"}, {"YQ==", "a"}, {"YWI=", "ab"}, {"", ""}}) {
    const json body{{"items", {{{"key", "k"}, {"value", encoded}, {"rev", 4}}}},
                    {"hasMore", true},
                    {"currentRev", 9}};
    const auto result = codec.Decode(store::ReadRange{}, 200, body.dump(), 3);
    REQUIRE(result.has_value());
    const auto& page = std::get<store::RangePage>(result.value());
    CHECK(page.more);
    CHECK(page.position == store::Position(3, 9));
    CHECK(page.items.at(0).value == plain);
  }
  const json events{{"events", {{{"key", "k"}, {"rev", 5}, {"tombstone", true}}}},
                    {"currentRev", 5}};
  const auto changes = codec.Decode(store::WatchChanges{}, 200, events.dump(), 3);
  REQUIRE(changes.has_value());
  CHECK(std::get<store::Changes>(changes.value()).changes.at(0).removed);
  using store::CallErrorCode;
  CHECK(codec.Decode(store::WatchChanges{}, 410, "", 3).error().code ==
        CallErrorCode::kHistoryLost);
  CHECK(codec.Decode(store::RenewLease{}, 404, "", 3).error().code == CallErrorCode::kLeaseEnded);
  CHECK(codec.Decode(store::ReadRange{}, 429, "", 3).error().code == CallErrorCode::kRefused);
  CHECK(codec.Decode(store::ReadRange{}, 200, "[", 3).error().code == CallErrorCode::kMalformed);
}

// Guards against an unreadable era that is taken for a number, such as 0.
TEST_CASE("the era of the store is read from a response, and an unreadable one is told from none") {
  const Codec codec(Domains());
  const auto read = [&codec](const std::optional<std::string>& text) {
    return codec.DecodeEra([&text](std::string_view name) {
      return name == "Store-Era" ? text : std::optional<std::string>();
    });
  };
  CHECK(std::get<store::Era>(read("7")) == 7);
  CHECK(std::get<store::Era>(read("0")) == 0);
  CHECK(std::holds_alternative<store::NoEra>(read(std::nullopt)));
  for (const char* text : {"", "-1", "7 ", "7x", "0x7", "1e3", "99999999999999999999"}) {
    CHECK(std::get<store::UnreadableEra>(read(text)).text == text);
  }
}

TEST_CASE("lookups are decoded, including incomplete percent-encodings") {
  const Codec codec(Domains());
  const auto query = codec.DecodeLookup("/-/resolve?name=a%2Eexample&region=east&zone=east-a");
  REQUIRE(query.has_value());
  CHECK(query->host == "a.example");
  CHECK(query->region == "east");
  CHECK_FALSE(codec.DecodeLookup("/other?name=a").has_value());
  CHECK(codec.DecodeLookup("/-/resolve?name=%zz&region=%").has_value());
}

}  // namespace
}  // namespace vanilladeck::platform
