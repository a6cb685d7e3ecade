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

/// Reads a response as an instance receives it.
struct ReceivedResponse {
  explicit ReceivedResponse(const std::string& text) {
    reader.Start({});
    reader.Append(text);
    REQUIRE(reader.Parse() == ReadStatus::kComplete);
  }

  core::ByteBudgetPtr budget = std::make_shared<core::ByteBudget>(1U << 20U);
  core::ByteBudget::Account account{budget, nullptr};
  MessageReader<false> reader{account};
};

// Guards against an instance that uses an older policy than the one that another instance stated.
TEST_CASE("a request for changes states the version of the policy in force") {
  const ReceivedRequest f(EncodePeerRequest({}, {"edge-1", {}, 2, 13}));
  CHECK(DecodePeerSender(f.reader.message())->policy_version == 13);
  CHECK(f.target() == "/peer/changes?position=0&revision=0&epoch=");
}

// Guards against a request of an earlier version, or a damaged one, that states a policy.
TEST_CASE("a request without the version of a policy, or with a malformed one, states none") {
  const std::string head =
      "GET /peer/changes?position=7&revision=40&epoch=a/1 HTTP/1.1\r\nInstance: edge-1\r\n"
      "Server-Limits: null\r\n";
  for (const std::string field : {"", "Policy-Version: 1x\r\n", "Policy-Version: -1\r\n"}) {
    const ReceivedRequest f(head + field + "\r\n");
    CHECK(DecodePeerSender(f.reader.message())->policy_version == 0);
  }
}

TEST_CASE("a request for the policy's version states the sender and its era") {
  const ReceivedRequest f(EncodePolicyRequest({"edge-1", {}, 2, 13}));
  CHECK(IsPolicyRequest(f.target()));
  CHECK_FALSE(DecodePeerRequest(f.target(), 2).has_value());
  CHECK_FALSE(DecodeItemRequest(f.target()).has_value());
  CHECK(DecodePeerEras(f.reader.message())->known == 2);
  CHECK(DecodeSenderName(f.reader.message()) == "edge-1");
}

// Guards against an instance that takes the response of an earlier version, or a damaged one, for
// the statement that no newer policy is in force.
TEST_CASE("a response that states no version of a policy is no answer") {
  const auto decode = [](const std::string& text) {
    return DecodePolicyResponse(ReceivedResponse(text).reader.message());
  };
  const auto statement = decode(EncodePolicyResponse({13, 2}) + "\r\n");
  REQUIRE(statement.has_value());
  CHECK(statement->version == 13);
  CHECK(statement->era == 2);
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  CHECK_FALSE(decode("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").has_value());
  for (const std::string fields :
       {"", "Era: 2\r\n", "Policy-Version: 13\r\n", "Policy-Version: x\r\nEra: 2\r\n",
        "Policy-Version: 13\r\nEra: -2\r\n"}) {
    CHECK_FALSE(decode(ok + fields + "\r\n").has_value());
  }
}

}  // namespace
}  // namespace vanilladeck::gateway
