#include "vanilladeck/operations/operation_key.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "vanilladeck/operations/batch.h"

namespace vanilladeck::operations {

// Guards against keys that change when sent in a header, or that another client can use.
TEST_CASE("operation keys round-trip and belong to one client", "[operations]") {
  REQUIRE(rc::check("round trip", [](std::uint32_t ms, const std::string& client) {
    const auto key = OperationKey::Issue("fukuoka-a.1", std::int64_t{ms} + 1, client, "salt");
    const auto parsed = OperationKey::Parse(key.Text());
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value().id() == key.id());
    RC_ASSERT(parsed.value().shard() == "fukuoka-a.1");
    RC_ASSERT(parsed.value().BelongsTo(client, "salt"));
    RC_ASSERT(!parsed.value().BelongsTo(client + "x", "salt"));
    RC_ASSERT(!parsed.value().BelongsTo(client, "other salt"));
  }));
}

// Guards against malformed keys that are accepted, and against errors that name the wrong field.
TEST_CASE("malformed operation keys are rejected with the invalid field", "[operations]") {
  const std::string digest(16, 'a');
  const std::string random(32, 'b');
  const auto code = [](const std::string& text) { return OperationKey::Parse(text).error().code; };
  REQUIRE(code("") == KeyErrorCode::kFieldCount);
  REQUIRE(code("a.1." + digest) == KeyErrorCode::kFieldCount);
  REQUIRE(code(".1." + digest + "." + random) == KeyErrorCode::kShard);
  REQUIRE(code("a.01." + digest + "." + random) == KeyErrorCode::kIssueTime);
  REQUIRE(code("a.-1." + digest + "." + random) == KeyErrorCode::kIssueTime);
  REQUIRE(code("a.99999999999999999999." + digest + "." + random) == KeyErrorCode::kIssueTime);
  REQUIRE(code("a.1.xyz." + random) == KeyErrorCode::kDigest);
  REQUIRE(code("a.1." + digest + "." + random.substr(1)) == KeyErrorCode::kRandom);
  REQUIRE(code("a.1." + digest + "." + std::string(32, 'G')) == KeyErrorCode::kRandom);
  REQUIRE(code(std::string(300, 'a')) == KeyErrorCode::kTooLong);
  REQUIRE(OperationKey::Parse("a.1.xyz." + random).error().field == "xyz");
}

// Guards against a changed issue time, which determines how long the record is retained.
TEST_CASE("altered operation key belongs to no client", "[operations]") {
  auto text = OperationKey::Issue("a", 1'000, "client", "salt").Text();
  text.replace(text.find("1000"), 4, "2000");
  REQUIRE_FALSE(OperationKey::Parse(text).value().BelongsTo("client", "salt"));
}

// Guards against batches that decode differently, and against damaged batches that are accepted.
TEST_CASE("batches round-trip and damage is reported", "[operations]") {
  REQUIRE(rc::check("round trip", [](std::uint64_t word, const std::string& text, bool flag) {
    Batch batch;
    batch.epoch = word;
    batch.owner = {text, word};
    batch.takes_over = flag;
    const RecordId id{1, {word, 2}};
    batch.entries.emplace_back(ClaimEntry{id, text, {word, 1}, core::Rank::kBulk, {text, 3}, 4, 5});
    batch.entries.emplace_back(
        OutcomeEntry{id, 5, core::Outcome::kRan, RecordedAnswer{200, text, text + '\0' + "\xff"}});
    batch.entries.emplace_back(OutcomeEntry{id, 5, core::Outcome::kNotRun, std::nullopt});
    const auto value = Encode(batch);
    const auto read = Decode("key", value);
    RC_ASSERT(read.has_value());
    RC_ASSERT(Encode(read.value()) == value);
    RC_ASSERT(Decode("key", value.substr(0, value.size() / 2)).has_error());
    std::size_t bound = 0;
    for (const auto& entry : batch.entries) bound += EncodedBytes(entry);
    batch.entries.clear();
    RC_ASSERT(value.size() <= Encode(batch).size() + bound);
  }));
  REQUIRE(ParseBatchKey("a", BatchKey("a", 513)) == 513);
  REQUIRE_FALSE(ParseBatchKey("a", "ops/a/x/513").has_value());
  REQUIRE(BatchKey("a", 9) < BatchKey("a", 10));
  REQUIRE(BatchKey("a", 255) < BatchKey("a", 256));
}

}  // namespace vanilladeck::operations
