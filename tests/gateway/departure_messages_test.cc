#include "vanilladeck/gateway/departure_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "vanilladeck/core/deflate.h"

namespace vanilladeck::gateway {
namespace {

using namespace std::chrono_literals;
using Departure = steering::DepartedServers::Departure;

constexpr core::TimePoint kNow{1000s};

Departure Left(const std::string& server) {
  return {server, "pictures", "127.0.0.1:1", "east-a", 100, 5, true, false, 2, kNow - 7s};
}

nlohmann::json Entry(const std::string& server) {
  return nlohmann::json::parse(
      *core::Inflate(EncodeDepartures({Left(server)}, kNow), 1U << 20U))[0];
}

StatedDepartures Decode(const nlohmann::json& entries) {
  return DecodeDepartures(core::Deflate(entries.dump()), kNow);
}

}  // namespace

// Guards against a receiver that takes another lifetime for the one that has left.
TEST_CASE("departures are read as they were stated") {
  Departure leaving = Left("i-2");
  leaving.listed = true;
  leaving.era = 0;
  // The clocks of two processes differ.
  const auto stated = DecodeDepartures(EncodeDepartures({Left("i-1"), leaving}, kNow), kNow + 50s);
  CHECK(stated.malformed == 0);
  REQUIRE(stated.departures.size() == 2);
  const Departure& it = stated.departures[0];
  CHECK(it.server == "i-1");
  CHECK(it.service == "pictures");
  CHECK(it.address == "127.0.0.1:1");
  CHECK(it.failure_domain == "east-a");
  CHECK(it.born_ms == 100);
  CHECK(it.sequence == 5);
  CHECK(it.draining);
  CHECK_FALSE(it.listed);
  CHECK(it.era == 2);
  CHECK(it.at == kNow + 43s);
  CHECK(stated.departures[1].listed);
}

// Guards against an instance of an earlier version whose response counts as damaged.
TEST_CASE("a message without a body states no departures") {
  CHECK(EncodeDepartures({}, kNow).empty());
  const auto stated = DecodeDepartures({}, kNow);
  CHECK(stated.departures.empty());
  CHECK(stated.malformed == 0);
}

// Guards against a live server that is not used because a damaged entry counts as one with zeros.
TEST_CASE("malformed departures are dropped and counted") {
  const auto [field, value] = GENERATE(table<std::string, nlohmann::json>({
      {"server", ""},
      {"server", 1},
      {"service", nullptr},
      {"address", nullptr},
      {"domain", nullptr},
      {"born", "x"},
      {"born", -1},
      {"born", 18446744073709551615U},
      {"sequence", nullptr},
      {"sequence", 1.5},
      {"draining", 1},
      {"listed", "no"},
      {"era", -1},
      {"age_ms", -1},
      {"age_ms", 120001},
      {"age_ms", 9223372036854775807},
  }));
  CAPTURE(field, value);
  nlohmann::json damaged = Entry("i-1");
  damaged[field] = value;
  nlohmann::json shorter = Entry("i-3");
  shorter.erase(field);
  const auto stated = Decode({damaged, Entry("i-2"), shorter, 3});
  CHECK(stated.malformed == 3);
  REQUIRE(stated.departures.size() == 1);
  CHECK(stated.departures[0].server == "i-2");
}

// Guards against a restarted server without a start time that is taken for one that leaves.
TEST_CASE("a server that is listed must be draining and have a start time") {
  nlohmann::json entry = Entry("i-1");
  entry["listed"] = true;
  CHECK(Decode(nlohmann::json::array({entry})).malformed == 0);
  SECTION("not draining") { entry["draining"] = false; }
  SECTION("without a start time") { entry["born"] = 0; }
  CHECK(Decode(nlohmann::json::array({entry})).malformed == 1);
}

// Guards against memory that a damaged or endless message takes.
TEST_CASE("a body that is no list of departures, or is too long, is dropped") {
  const std::string body = EncodeDepartures({Left("i-1")}, kNow);
  for (const std::string& it :
       {std::string("x"), body.substr(0, body.size() / 2), body + "x", core::Deflate("{}"),
        core::Deflate("[{"), core::Deflate('"' + std::string(2U << 20U, 'x') + '"')}) {
    const auto stated = DecodeDepartures(it, kNow);
    CHECK(stated.departures.empty());
    CHECK(stated.malformed == 1);
  }
  std::vector<Departure> many(kMaxStatedDepartures + 1, Left("i-1"));
  const auto stated = DecodeDepartures(EncodeDepartures(many, kNow), kNow);
  CHECK(stated.departures.size() == kMaxStatedDepartures);
  CHECK(stated.malformed == 1);
}

}  // namespace vanilladeck::gateway
