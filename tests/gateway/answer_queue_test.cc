#include "vanilladeck/gateway/answer_queue.h"

#include <catch2/catch.hpp>

namespace vanilladeck::gateway {
namespace {

struct Owner : SlotOwner {
  void OnAnswered() override { ++answered; }
  void OnAnswerLost() override { ++lost; }
  int answered = 0;
  int lost = 0;
};

struct Running : PendingRequest {
  void OnClientGone() override { gone = true; }
  void OnExit() override {}
  bool gone = false;
};

constexpr ResponseSlot::RequestInfo kKept{{}, true, 0};
constexpr ResponseSlot::RequestInfo kClosing{{}, false, 0};

// Guards against a client that takes one request's response for another's.
TEST_CASE("a response waits until all before it are taken") {
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  const auto first = queue.Add(owner, kKept);
  const auto second = queue.Add(owner, kKept);
  const auto third = queue.Add(owner, kKept);
  third->Reply("3\r\n", "c");
  second->Reply("2\r\n", "b");
  CHECK(owner->answered == 2);
  CHECK_FALSE(queue.TakeNext(false));
  first->Reply("1\r\n", "a");
  for (const std::string expected : {"1\r\n\r\na", "2\r\n\r\nb", "3\r\n\r\nc"}) {
    const auto answer = queue.TakeNext(false);
    REQUIRE(answer);
    CHECK(answer->head + answer->body == expected);
    CHECK_FALSE(answer->closes);
  }
  CHECK(queue.empty());
  CHECK_FALSE(queue.TakeNext(false));
}

// Guards against a second response, which the client would take for that of its next request.
TEST_CASE("a request gets one response") {
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  const auto slot = queue.Add(owner, kKept);
  slot->Reply("1\r\n", "a");
  slot->Reply("2\r\n", "b");
  slot->Abort();
  CHECK(owner->answered == 1);
  CHECK(owner->lost == 0);
  CHECK(queue.TakeNext(false)->body == "a");
  CHECK(queue.empty());
}

// Guards against responses that are cut off because the connection closes before the last one.
TEST_CASE("only the last response of a closing connection closes it") {
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  const auto first = queue.Add(owner, kKept);
  const auto second = queue.Add(owner, kKept);
  first->Reply("1\r\n", "a");
  second->Reply("2\r\n", "b");
  const auto answer = queue.TakeNext(true);
  CHECK_FALSE(answer->closes);
  CHECK(answer->head == "1\r\n\r\n");
  const auto last = queue.TakeNext(true);
  CHECK(last->closes);
  CHECK(last->head == "2\r\nConnection: close\r\n\r\n");
  const auto own = queue.Add(owner, kClosing);
  own->Reply("3\r\n", "");
  CHECK(queue.TakeNext(false)->closes);
}

// Guards against work for a client that is gone, and against responses on a closed connection.
TEST_CASE("closing returns the requests being served and drops later responses") {
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  const auto answered = queue.Add(owner, kKept);
  const auto open = queue.Add(owner, kKept);
  const auto done = std::make_shared<Running>();
  const auto running = std::make_shared<Running>();
  AnswerQueue::SetPending(*answered, done);
  AnswerQueue::SetPending(*open, running);
  answered->Reply("1\r\n", "a");
  const auto cancelled = queue.Close();
  REQUIRE(cancelled.size() == 1);
  CHECK(cancelled.front() == running);
  open->Reply("2\r\n", "b");
  open->Abort();
  CHECK(owner->answered == 1);
  CHECK(owner->lost == 0);
  CHECK(queue.empty());
  CHECK(owner.use_count() == 1);
}

// Guards against a lost response whose connection stays open, and against the loss of responses
// that were due before it.
TEST_CASE("a lost response ends the queue before it and drops the requests behind it") {
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  const auto first = queue.Add(owner, kKept);
  const auto lost = queue.Add(owner, kKept);
  const auto behind = queue.Add(owner, kKept);
  const auto running = std::make_shared<Running>();
  AnswerQueue::SetPending(*behind, running);
  lost->Abort();
  CHECK(owner->lost == 1);
  CHECK(queue.EndAtLost() == std::vector<std::shared_ptr<PendingRequest>>{running});
  CHECK(queue.ended());
  behind->Reply("3\r\n", "c");
  first->Reply("1\r\n", "a");
  const auto answer = queue.TakeNext(false);
  REQUIRE(answer);
  CHECK(answer->closes);
  CHECK(answer->head == "1\r\nConnection: close\r\n\r\n");
  CHECK(queue.empty());
}

// Guards against memory that is held but not counted.
TEST_CASE("the bytes of requests and of waiting responses are counted until they are taken") {
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  const auto first = queue.Add(owner, {{}, true, 100});
  const auto second = queue.Add(owner, {{}, true, 30});
  CHECK(queue.open() == 2);
  CHECK(queue.request_bytes() == 130);
  second->Reply("12345", "678");
  CHECK(queue.open() == 1);
  CHECK(queue.waiting() == 1);
  CHECK(queue.request_bytes() == 100);
  CHECK(queue.waiting_bytes() == 8);
  first->Reply("1", "");
  (void)queue.TakeNext(false);
  (void)queue.TakeNext(false);
  CHECK(queue.waiting_bytes() + queue.request_bytes() == 0);
}

// Guards against a request that runs beside one which may run only once.
TEST_CASE("a request may run beside others only if all that are served allow it") {
  struct Repeatable : Running {
    [[nodiscard]] bool MayRunBeside() const override { return true; }
  };
  const auto owner = std::make_shared<Owner>();
  AnswerQueue queue;
  CHECK(queue.AllMayRunBeside());
  const auto first = queue.Add(owner, kKept);
  AnswerQueue::SetPending(*first, std::make_shared<Repeatable>());
  CHECK(queue.AllMayRunBeside());
  const auto second = queue.Add(owner, kKept);
  AnswerQueue::SetPending(*second, std::make_shared<Running>());
  CHECK_FALSE(queue.AllMayRunBeside());
  second->Reply("2", "");
  CHECK(queue.AllMayRunBeside());
}

}  // namespace
}  // namespace vanilladeck::gateway
