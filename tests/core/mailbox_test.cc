#include "vanilladeck/core/mailbox.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using vanilladeck::core::Mailbox;

// Guards against lost or reordered messages between threads.
TEST_CASE("mailbox keeps every message of a producer in order", "[core]") {
  std::atomic<int> wakes{0};
  Mailbox<int> mailbox(64, [&wakes] { ++wakes; });
  constexpr int kMessages = 10'000;
  std::thread producer([&mailbox] {
    for (int i = 0; i < kMessages; ++i) {
      while (!mailbox.TryPush(i)) std::this_thread::yield();
    }
  });
  std::vector<int> seen;
  while (seen.size() < kMessages) {
    mailbox.Drain([&seen](int value) { seen.push_back(value); });
  }
  producer.join();
  for (int i = 0; i < kMessages; ++i) REQUIRE(seen[static_cast<std::size_t>(i)] == i);
  REQUIRE(wakes >= 1);
}

// Guards against unbounded memory use when a consumer stops.
TEST_CASE("full mailbox rejects further messages", "[core]") {
  Mailbox<int> mailbox(2, [] {});
  REQUIRE(mailbox.TryPush(1));
  REQUIRE(mailbox.TryPush(2));
  REQUIRE_FALSE(mailbox.TryPush(3));
}
