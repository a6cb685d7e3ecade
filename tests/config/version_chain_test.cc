#include "vanilladeck/config/version_chain.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config/fake_store.h"
#include "config/sample_text.h"
#include "vanilladeck/config/chain_reader.h"
#include "vanilladeck/config/readers.h"

using namespace vanilladeck::config;
using vanilladeck::config::testing::FakeStore;
using vanilladeck::config::testing::SampleText;
using vanilladeck::config::testing::StoreFault;

namespace {

VersionRecord Next(const VersionChain& chain, const std::string& text) {
  return chain.MakeNext(text, "small", "op", 1000, "m" + std::to_string(chain.NewestVersion() + 1));
}

VersionChain ChainOf(int versions, std::size_t max_records = 1024) {
  VersionChain chain(max_records);
  for (int i = 1; i <= versions; ++i) REQUIRE(chain.Append(Next(chain, SampleText(i))));
  return chain;
}

std::string TextOf(const std::vector<int>& lines) {
  std::string text;
  for (int line : lines) text += std::to_string(line % 4) + (line % 7 == 0 ? "" : "\n");
  return text;
}

}  // namespace

// Guards against a difference that does not reproduce the changed text.
TEST_CASE("line differences rebuild the changed text", "[config]") {
  REQUIRE(rc::check("diff and apply", [](const std::vector<int>& a, const std::vector<int>& b) {
    const auto diff = DiffLines(TextOf(a), TextOf(b));
    RC_ASSERT(ApplyDiff(TextOf(a), diff) == TextOf(b));
    RC_ASSERT(diff.empty() == (TextOf(a) == TextOf(b)));
  }));
  REQUIRE_FALSE(ApplyDiff("a\nb\n", DiffLines("a\nc\n", "a\nd\n")));
  REQUIRE(FormatDiff(DiffLines("a\nb\n", "a\nc\n")) == "@@ line 2\n-b\n+c\n");
}

// Guards against storing a small change as a replacement of the whole text.
TEST_CASE("difference of one line holds that line only", "[config]") {
  const auto diff = DiffLines(SampleText(1), SampleText(2));
  REQUIRE(diff.size() == 1);
  REQUIRE(diff[0].line == 2);
  REQUIRE(diff[0].inserted == std::vector<std::string>{"record_retention_s = 2\n"});
}

// Guards against losing or altering records in the store, at any size.
TEST_CASE("records survive encoding and division into parts", "[config]") {
  const auto chain = ChainOf(2);
  for (const auto& record : chain.Records()) REQUIRE(DecodeRecord(Encode(*record)) == *record);
  const auto large = Next(VersionChain(), SampleText(1) + "# " + std::string(1'300'000, '"'));
  auto writes = PartWrites(large);
  REQUIRE(writes.size() == 5);  // 1.3 MB of quotes are 2.6 MB of JSON.
  std::vector<vanilladeck::store::Entry> entries;
  for (const auto& write : writes) {
    REQUIRE(write.value.size() <= kMaxPartBytes);
    entries.push_back({write.key, write.value, 1});
  }
  REQUIRE(JoinParts(entries) == std::vector<VersionRecord>{large});
  entries.erase(entries.begin() + 2);
  REQUIRE(JoinParts(entries).empty());
}

// Guards against accepting tampered records, other deployments and gaps.
TEST_CASE("chain rejects records that do not follow", "[config]") {
  auto chain = ChainOf(3);
  const auto good = Next(chain, SampleText(9));
  const auto code_of = [&chain](VersionRecord record) {
    const auto result = chain.Append(std::move(record));
    REQUIRE_FALSE(result);
    return result.error().code;
  };
  const auto rehashed = [](VersionRecord record) {
    record.head.hash = RecordHash(record);
    return record;
  };
  auto record = good;
  record.head.who = "someone else";
  REQUIRE(code_of(record) == ChainErrorCode::kWrongHash);
  record = good;
  record.head.previous_hash = chain.Find(2)->head.hash;
  REQUIRE(code_of(rehashed(record)) == ChainErrorCode::kBrokenChain);
  record = good;
  record.head.version = 7;
  REQUIRE(code_of(rehashed(record)) == ChainErrorCode::kGap);
  record = good;
  record.head.deployment = "other";
  REQUIRE(code_of(rehashed(record)) == ChainErrorCode::kOtherDeployment);
  record = good;
  record.content = std::string("other text");
  REQUIRE(code_of(record) == ChainErrorCode::kWrongText);
  REQUIRE(code_of(*chain.Find(2)) == ChainErrorCode::kBrokenChain);
  REQUIRE(chain.NewestVersion() == 3);
  REQUIRE(chain.Append(good));
  VersionChain empty;
  REQUIRE_FALSE(empty.Append(good));
}

// Guards against texts that cannot be rebuilt after old versions are dropped.
TEST_CASE("bounded chain keeps whole groups and rebuilds every kept text", "[config]") {
  const auto chain = ChainOf(300, 100);
  REQUIRE(chain.OldestVersion() == 257);  // First full text that leaves at most 100 records.
  REQUIRE(chain.Records().size() <= 100);
  for (auto v = chain.OldestVersion(); v <= chain.NewestVersion(); ++v) {
    REQUIRE(chain.TextAt(v) == SampleText(static_cast<int>(v)));
    REQUIRE(chain.Find(v)->IsFullText() == (v % kFullTextInterval == 1));
  }
  REQUIRE_FALSE(chain.TextAt(256));
  REQUIRE(chain.RecordsAfter(5).front()->IsFullText());
  REQUIRE(chain.RecordsAfter(299).size() == 1);
}

// Guards against reading one record per call, and against adopting records of rejected changes.
TEST_CASE("chain reader follows the hashes from the head, a group per call", "[config]") {
  const auto chain = ChainOf(200);
  FakeStore store;
  auto rejected = ChainOf(150);
  REQUIRE(rejected.Append(Next(rejected, SampleText(999))));
  for (const auto& record : rejected.Records()) {
    for (const auto& write : PartWrites(*record)) (void)store.Call(write, StoreFault::kNone);
  }
  for (const auto& record : chain.Records()) {
    for (const auto& write : PartWrites(*record)) (void)store.Call(write, StoreFault::kNone);
  }
  const auto read = [&](VersionChain start, std::uint64_t first) {
    ChainReader reader(std::move(start), chain.Newest()->head, first);
    for (int calls = 1;; ++calls) {
      const auto reply = store.Call(reader.NextRequest(), StoreFault::kNone);
      const auto done = reader.OnReply(std::get<vanilladeck::store::ListReply>(reply.value()));
      REQUIRE(done);
      if (!done.value()) continue;
      REQUIRE(reader.Chain().NewestHash() == chain.NewestHash());
      return calls;
    }
  };
  REQUIRE(read(VersionChain(), 0) == 1);
  REQUIRE(read(VersionChain(), 1) == 4);
  REQUIRE(read(ChainOf(199), 0) == 1);
  REQUIRE(read(ChainOf(100), 0) == 3);
}

// Guards against more than two blocking reads per domain and against needless reassignment.
TEST_CASE("two readers per failure domain, stable when others leave", "[config]") {
  std::vector<std::string> instances;
  instances.reserve(30);
  for (int i = 0; i < 30; ++i) instances.push_back("127.0.0.1:" + std::to_string(7000 + i));
  const auto readers = ChooseReaders("north-a", instances);
  REQUIRE(readers.size() == kReadersPerDomain);
  REQUIRE(ChooseReaders("south-a", instances) != readers);
  for (const auto& removed : instances) {
    auto others = instances;
    std::erase(others, removed);
    const auto now = ChooseReaders("north-a", others);
    const bool was_reader = IsReader("north-a", instances, removed);
    REQUIRE(IsReader("north-a", others, readers[removed == readers[0] ? 1 : 0]));
    if (!was_reader) REQUIRE(now == readers);
  }
  REQUIRE(ChooseReaders("x", {"a"}).size() == 1);
}
