#include "vanilladeck/gateway/peer_request.h"

#include <catch2/catch.hpp>

namespace vanilladeck::gateway {
namespace {

/// Reads a request as an instance receives it.
struct ReceivedRequest {
  explicit ReceivedRequest(const std::string& text) {
    reader.Start({});
    reader.Append(text);
    REQUIRE(reader.Parse() == ReadStatus::kComplete);
  }
  [[nodiscard]] std::string target() const { return std::string(reader.message().target()); }

  core::ByteBudgetPtr budget = std::make_shared<core::ByteBudget>(1U << 20U);
  core::ByteBudget::Account account{budget, nullptr};
  MessageReader<true> reader{account};
};

// Guards against a reader that does not learn a newer era from those that ask it, or that takes
// their position for one of that era.
TEST_CASE("a request for changes states the known era and that of the position") {
  for (const store::Era position_era : {1, 2}) {
    const membership::PeerPosition known{"a/1", 7, {position_era, 40}};
    const ReceivedRequest f(EncodePeerRequest(known, {"edge-1", {{"i-1", 2.5}}, 2}));
    // An instance of the version before eras reads the target strictly.
    CHECK(f.target() == "/peer/changes?position=7&revision=40&epoch=a/1");
    const auto eras = DecodePeerEras(f.reader.message());
    REQUIRE(eras.has_value());
    CHECK(eras->known == 2);
    CHECK(eras->position == position_era);
    const auto read = DecodePeerRequest(f.target(), eras->position);
    REQUIRE(read.has_value());
    CHECK(read->position == known.position);
    CHECK(DecodePeerSender(f.reader.message())->server_limits.at("i-1") == 2.5);
  }
}

// Guards against a request of an earlier version that counts as one of era 0, which every later
// state would answer with a full snapshot.
TEST_CASE("a request without an era or with a malformed one states none") {
  const std::string head = "GET /peer/changes?position=7&revision=40&epoch=a/1 HTTP/1.1\r\n";
  for (const std::string fields :
       {"", "Era: x\r\n", "Era: -1\r\n", "Era: 2\r\nPosition-Era: 1x\r\n"}) {
    const ReceivedRequest f(head + fields + "\r\n");
    CHECK_FALSE(DecodePeerEras(f.reader.message()).has_value());
  }
}

}  // namespace
}  // namespace vanilladeck::gateway
