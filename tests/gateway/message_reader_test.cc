#include "vanilladeck/gateway/message_reader.h"

#include <catch2/catch.hpp>
#include <random>

namespace vanilladeck::gateway {
namespace {

struct Fixture {
  core::ByteBudgetPtr budget = std::make_shared<core::ByteBudget>(1U << 20U);
  core::ByteBudget::Account account{budget, nullptr};
  MessageReader<false> reader{account};
};

std::string Chunked(std::mt19937& random, const std::string& body) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\na: b\r\n\r\n";
  std::uniform_int_distribution<std::size_t> length(1, 3000);
  for (std::size_t at = 0; at < body.size();) {
    const std::string chunk = body.substr(at, length(random));
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx", chunk.size());
    text.append(size.data()).append(";x=y\r\n").append(chunk).append("\r\n");
    at += chunk.size();
  }
  return text + "0\r\nt: u\r\n\r\n";
}

// Guards against bounds that reject a valid message depending on how its bytes are split.
TEST_CASE("a message is read independently of how its bytes are split") {
  std::mt19937 random(20261204);
  for (int round = 0; round < 200; ++round) {
    Fixture f;
    const std::string body(std::uniform_int_distribution<std::size_t>(0, 60000)(random), 'x');
    const std::string text =
        round % 2 == 0 ? Chunked(random, body)
                       : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
    f.reader.Start({});
    ReadStatus status = ReadStatus::kMore;
    std::uniform_int_distribution<std::size_t> length(1, round % 5 == 0 ? 3 : 9000);
    for (std::size_t at = 0; at < text.size();) {
      REQUIRE(status == ReadStatus::kMore);
      const std::string part = text.substr(at, length(random));
      f.reader.Append(part);
      status = f.reader.Parse();
      at += part.size();
    }
    REQUIRE(status == ReadStatus::kComplete);
    CHECK(f.reader.message().body() == body);
    CHECK(f.reader.input_size() == 0);
  }
}

TEST_CASE("bytes after a message are kept as input for the next one") {
  Fixture f;
  f.reader.Start({});
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
  // More than the framing limit, which applies only to bytes that cannot be parsed yet.
  std::string many;
  for (int i = 0; i < 1000; ++i) many += one;
  f.reader.Append(many);
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(f.reader.Parse() == ReadStatus::kComplete);
    CHECK(f.reader.Release().body() == "abc");
    f.reader.Start({});
  }
  CHECK(f.reader.input_size() == 0);
}

TEST_CASE("a body without length is complete at the end of the stream, others are not") {
  Fixture f;
  f.reader.Start({});
  f.reader.Append("HTTP/1.1 200 OK\r\n\r\nabc");
  REQUIRE(f.reader.Parse() == ReadStatus::kMore);
  CHECK(f.reader.ParseEnd() == ReadStatus::kComplete);
  for (const char* it : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "HTTP/1.1 200 OK\r\n",
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
    Fixture cut;
    cut.reader.Start({});
    cut.reader.Append(it);
    REQUIRE(cut.reader.Parse() == ReadStatus::kMore);
    CHECK(cut.reader.ParseEnd() == ReadStatus::kMalformed);
  }
}

// Guards against memory that is held but not charged to the account.
TEST_CASE("the account is charged for fields and bodies, and reading fails beyond the budget") {
  Fixture f;
  f.reader.Start({});
  f.reader.Append("HTTP/1.1 200 OK\r\na: b\r\nContent-Length: 2000000\r\n\r\n");
  REQUIRE(f.reader.Parse() == ReadStatus::kMore);
  const std::string part(8192, 'x');
  ReadStatus status = ReadStatus::kMore;
  std::size_t sent = 0;
  for (; status == ReadStatus::kMore && sent < 2'000'000; sent += part.size()) {
    f.reader.Append(part);
    status = f.reader.Parse();
    if (status == ReadStatus::kMore) CHECK(f.account.bytes() >= sent + part.size());
  }
  CHECK(status == ReadStatus::kNoMemory);
  CHECK(f.budget->used() <= f.budget->capacity());
}

}  // namespace
}  // namespace vanilladeck::gateway
