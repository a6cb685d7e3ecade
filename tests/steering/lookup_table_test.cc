#include "vanilladeck/steering/lookup_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "vanilladeck/steering/lookup_answer_counter.h"

using std::chrono::milliseconds;
using std::chrono::seconds;
using vanilladeck::config::Deployment;
using vanilladeck::core::Duration;
using vanilladeck::core::TimePoint;
using vanilladeck::steering::EntryInstance;
using vanilladeck::steering::LookupAnswerCounter;
using vanilladeck::steering::LookupErrorCode;
using vanilladeck::steering::LookupInputs;
using vanilladeck::steering::LookupTable;
using vanilladeck::steering::LookupTableErrorCode;
using vanilladeck::steering::impl::BlockMap;
using vanilladeck::steering::impl::kNoRegion;
using vanilladeck::steering::impl::RegionIndex;

namespace {

namespace ip = boost::asio::ip;

Deployment MakeDeployment() {
  Deployment deployment;
  deployment.regions = {{"east", {"10.1.0.0/16", "2001:db8:1::/48"}},
                        {"west", {"10.2.0.0/16", "10.1.7.0/24", "2001:db8:1:2::/64"}},
                        {"south", {"10.3.0.0/16"}}};
  deployment.failure_domains = {
      {"e1", "east", 1}, {"e2", "east", 1}, {"w1", "west", 2}, {"s1", "south", 1}};
  deployment.services = {{"stock", {}, {}, {{"e1", 1, 1, 1}, {"w1", 1, 1, 1}}},
                         {"audit", {}, {}, {{"s1", 1, 1, 1}}}};
  return deployment;
}

LookupInputs MakeInputs() {
  return {"south",
          {{"e1-a", "e1", "east"},
           {"e2-a", "e2", "east"},
           {"w1-a", "w1", "west"},
           {"w1-b", "w1", "west"},
           {"s1-a", "s1", "south"}},
          {{{"east", "west"}, milliseconds(20)}, {{"east", "south"}, milliseconds(60)}}};
}

std::vector<std::string> Names(const LookupTable& table, const char* client,
                               const char* service = "stock") {
  std::vector<std::string> names;
  const auto answer = table.Lookup(ip::make_address(client), service).value();
  for (const EntryInstance* it : answer.instances()) names.push_back(it->caller_address);
  return names;
}

struct Block {
  ip::address address;
  unsigned length = 0;
};

bool Contains(const Block& block, const ip::address& client) {
  if (block.address.is_v4() != client.is_v4()) return false;
  const auto bit = [](const ip::address& address, unsigned i) {
    const unsigned byte =
        address.is_v4() ? address.to_v4().to_bytes()[i / 8] : address.to_v6().to_bytes()[i / 8];
    return (byte >> (7 - i % 8)) & 1U;
  };
  for (unsigned i = 0; i < block.length; ++i) {
    if (bit(block.address, i) != bit(client, i)) return false;
  }
  return true;
}

/// Returns addresses that mostly share their bits, so that blocks nest.
ip::address SimilarAddress(bool v4, std::uint32_t bits, unsigned length) {
  if (v4) return ip::make_address_v4(length == 0 ? 0 : bits & (~0U << (32 - length)));
  ip::address_v6::bytes_type bytes{};
  for (unsigned i = 0; i < length; ++i) {
    // Bits are set at both ends of the address and in the middle.
    const unsigned source = i < 16 || i >= 112 ? i % 32 : (i == 64 ? 3 : 40);
    if (source < 32 && ((bits >> source) & 1U) != 0) {
      bytes.at(i / 8) = static_cast<unsigned char>(bytes.at(i / 8) | (0x80U >> (i % 8)));
    }
  }
  return ip::make_address_v6(bytes);
}

}  // namespace

// Guards against wrong regions where blocks nest, adjoin or reach the end of the address space.
TEST_CASE("longest prefix match agrees with a linear search", "[steering]") {
  REQUIRE(rc::check("longest prefix match", [] {
    BlockMap::Builder builder;
    std::vector<Block> blocks;
    const auto region_of = [](std::size_t i) { return static_cast<RegionIndex>(i % 5); };
    const int count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i) {
      const bool v4 = *rc::gen::arbitrary<bool>();
      const auto bits = *rc::gen::element(0U, ~0U, 0xF0F0F0F0U, 0xF0F0F00FU, 0xF0000000U);
      const auto length = *rc::gen::inRange(0U, v4 ? 33U : 129U);
      const ip::address address = SimilarAddress(v4, bits, length);
      const bool known = std::ranges::any_of(
          blocks, [&](const Block& it) { return it.address == address && it.length == length; });
      if (known) continue;
      RC_ASSERT(builder.Add(address.to_string() + "/" + std::to_string(length),
                            region_of(blocks.size())));
      blocks.push_back({address, length});
    }
    const BlockMap map = builder.Build();
    for (bool v4 : {true, false}) {
      for (std::uint32_t bits : {0U, ~0U, 0xF0F0F0F0U, 0xF0F0F00FU, 0xF0000001U, 0xEFFFFFFFU}) {
        const ip::address client = SimilarAddress(v4, bits, v4 ? 32 : 128);
        RegionIndex expected = kNoRegion;
        int longest = -1;
        for (std::size_t i = 0; i < blocks.size(); ++i) {
          const int length = static_cast<int>(blocks[i].length);
          if (!Contains(blocks[i], client) || length < longest) continue;
          longest = length;
          expected = region_of(i);
        }
        RC_ASSERT(map.Find(client) == expected);
      }
    }
  }));
}

// Guards against a malformed block that is accepted as another one.
TEST_CASE("invalid client blocks are rejected", "[steering]") {
  for (const char* block :
       {"10.0.0.0", "10.0.0.1/24", "10.0.0.0/33", "10.0.0/8", "x/8", "10.0.0.0.0/8", "10.0.00.0/8",
        "256.0.0.0/8", "2001:db8::1/64", "2001:db8::/129", "10.0.0.0/", "10.0.0.0/8x"}) {
    INFO(block);
    Deployment deployment = MakeDeployment();
    deployment.regions[0].client_blocks.emplace_back(block);
    const auto table = LookupTable::Create(deployment, MakeInputs());
    REQUIRE(table.error().code == LookupTableErrorCode::kInvalidBlock);
    REQUIRE(table.error().subject == block);
  }
}

// Guards against client blocks that are parsed again at every configuration change, or reused
// although they changed.
TEST_CASE("client blocks are reused while they are unchanged", "[steering]") {
  using vanilladeck::steering::ClientBlocks;
  Deployment deployment = MakeDeployment();
  const auto blocks = ClientBlocks::Create(deployment.regions).value();
  REQUIRE(ClientBlocks::Create(MakeDeployment().regions, blocks).value() == blocks);
  std::swap(deployment.regions[0].client_blocks, deployment.regions[1].client_blocks);
  REQUIRE(ClientBlocks::Create(deployment.regions, blocks).value() != blocks);
  deployment = MakeDeployment();
  deployment.regions[2].client_blocks[0] = "10.4.0.0/16";
  REQUIRE(ClientBlocks::Create(deployment.regions, blocks).value() != blocks);
  deployment = MakeDeployment();
  deployment.regions[2].name = "north";
  REQUIRE(ClientBlocks::Create(deployment.regions, blocks).value() != blocks);
}

// Guards against distant, forwarding or leaving instances ahead of near ones.
TEST_CASE("entry instances are ordered by latency, those with local servers first", "[steering]") {
  LookupInputs inputs = MakeInputs();
  const LookupTable table = LookupTable::Create(MakeDeployment(), inputs).value();
  using NameList = std::vector<std::string>;
  const auto east = Names(table, "10.1.0.9");
  REQUIRE(NameList(east.begin(), east.begin() + 2) == NameList{"e1-a", "e2-a"});
  REQUIRE(east.back() == "s1-a");
  REQUIRE(Names(table, "10.1.7.9")[0].substr(0, 2) == "w1");
  REQUIRE(Names(table, "2001:db8:1:2::5")[0].substr(0, 2) == "w1");
  REQUIRE(Names(table, "::ffff:10.1.0.9")[0] == "e1-a");
  REQUIRE(Names(table, "192.0.2.1")[0] == "s1-a");  // Unknown clients count as in the own region.
  std::set<std::string> first;
  for (const char* client : {"10.2.0.1", "10.2.0.2", "10.2.0.3", "10.2.0.4", "10.2.0.5"}) {
    first.insert(Names(table, client)[0]);
  }
  REQUIRE(first == std::set<std::string>{"w1-a", "w1-b"});
  inputs.entry_instances[0].leaving = true;
  inputs.entry_instances[1].healthy = false;
  const auto changed = LookupTable::Create(MakeDeployment(), inputs, table.blocks()).value();
  const auto names = Names(changed, "10.1.0.9");
  REQUIRE(names.size() == 4);
  REQUIRE(names[0].substr(0, 2) == "w1");
  REQUIRE(names[3] == "e2-a");
  REQUIRE(table.Lookup(ip::make_address("10.1.0.9"), "none").error().code ==
          LookupErrorCode::kUnknownService);
  for (auto& instance : inputs.entry_instances) instance.leaving = true;
  const auto empty = LookupTable::Create(MakeDeployment(), inputs).value();
  REQUIRE(empty.Lookup(ip::make_address("10.1.0.9"), "audit").error().code ==
          LookupErrorCode::kNoEntryInstance);
}

// Guards against a shutdown while callers hold an unexpired answer that names the instance.
TEST_CASE("lookup answers count as outstanding for their whole lifetime", "[steering]") {
  const LookupTable table = LookupTable::Create(MakeDeployment(), MakeInputs()).value();
  const auto answer = table.Lookup(ip::make_address("10.1.0.9"), "stock").value();
  REQUIRE(answer.ttl() == seconds(5));
  REQUIRE(rc::check("held answers", [&answer] {
    LookupAnswerCounter counter(seconds(5));
    std::vector<Duration> recorded_at;
    Duration now = std::chrono::hours(1);
    for (int gap : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000))) {
      now += milliseconds(gap);
      counter.Record(answer, TimePoint(now));
      recorded_at.push_back(now);
      now += milliseconds(*rc::gen::inRange(0, 4000));
      const auto within = [&](Duration lifetime) {
        return static_cast<std::uint64_t>(
            std::ranges::count_if(recorded_at, [&](Duration at) { return at + lifetime > now; }));
      };
      const std::uint64_t outstanding = counter.Outstanding("e1-a", TimePoint(now));
      RC_ASSERT(outstanding >= within(seconds(5)));
      RC_ASSERT(outstanding <= within(Duration(seconds(5)) * 9 / 8));
      if (gap % 2 == 0) counter.Prune(TimePoint(now));
    }
    RC_ASSERT(counter.Outstanding("e1-a", TimePoint(now + seconds(6))) == 0U);
    RC_ASSERT(counter.Outstanding("nobody", TimePoint(now)) == 0U);
  }));
}
