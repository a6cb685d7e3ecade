#include "vanilladeck/peer/node.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <future>
#include <thread>
#include <utility>

#include "vanilladeck/core/mailbox.h"
#include "vanilladeck/peer/impl/client.h"
#include "vanilladeck/peer/impl/server.h"

namespace vanilladeck::peer {
namespace {

/// Bounds the memory of commands that wait for the RPC thread.
constexpr std::size_t kMailboxCapacity = 8192;

struct SendCommand {
  std::uint64_t id = 0;
  std::string address;
  Call call;
  core::Duration timeout{};
};
struct RespondCommand {
  std::uint64_t id = 0;
  Answer answer;
};
struct CancelCommand {
  std::uint64_t id = 0;
};
struct StopCommand {};
using Command = std::variant<SendCommand, RespondCommand, CancelCommand, StopCommand>;

}  // namespace

/// The event loop of the RPC thread; commands reach it through a mailbox and an eventfd.
class Node::Loop final : private kj::TaskSet::ErrorHandler {
 public:
  Loop(std::string address, Sink sink)
      : address_(std::move(address)),
        sink_(std::move(sink)),
        wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        mailbox_(kMailboxCapacity, [this] { Wake(); }) {}

  ~Loop() {
    if (thread_.joinable()) {
      while (!mailbox_.TryPush(StopCommand{})) std::this_thread::yield();
      thread_.join();
    }
    close(wake_fd_);
  }

  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Returns an empty string once the listener is open, otherwise the error description.
  [[nodiscard]] std::string Start() {
    std::promise<std::string> listening;
    auto result = listening.get_future();
    thread_ = std::thread([this, &listening] { Run(listening); });
    return result.get();
  }

  [[nodiscard]] bool Post(Command command) { return mailbox_.TryPush(std::move(command)); }

 private:
  void Wake() const {
    const std::uint64_t one = 1;
    // A write fails only when the eventfd's counter is at its maximum; then a wake-up is already
    // pending.
    (void)!write(wake_fd_, &one, sizeof(one));
  }

  void Run(std::promise<std::string>& listening) {
    auto io = kj::setupAsyncIo();
    io_ = &io;
    impl::PendingCalls pending(sink_);
    impl::Client client(*io.provider);
    kj::TaskSet tasks(*this);
    auto stop = kj::newPromiseAndFulfiller<void>();
    pending_ = &pending;
    client_ = &client;
    tasks_ = &tasks;
    stop_ = stop.fulfiller.get();
    kj::Own<kj::ConnectionReceiver> receiver;
    capnp::TwoPartyServer server(kj::heap<impl::Server>(pending));
    auto failure = kj::runCatchingExceptions([&] {
      receiver = io.provider->getNetwork().parseAddress(address_).wait(io.waitScope)->listen();
    });
    KJ_IF_MAYBE (error, failure) {
      listening.set_value(error->getDescription().cStr());
      return;
    }
    tasks.add(server.listen(*receiver));
    wake_stream_ = io.lowLevelProvider->wrapInputFd(wake_fd_);
    tasks.add(ReadWakeUps());
    listening.set_value("");
    stop.promise.wait(io.waitScope);
    calls_.clear();
    wake_stream_ = nullptr;
  }

  kj::Promise<void> ReadWakeUps() {
    return wake_stream_->read(&wake_count_, sizeof(wake_count_)).then([this] {
      mailbox_.Drain([this](Command command) {
        std::visit([this](auto& alternative) { Execute(alternative); }, command);
      });
      tasks_->add(ReadWakeUps());
    });
  }

  void Execute(SendCommand& command) {
    const std::uint64_t id = command.id;
    auto call = client_->Send(command.address, std::move(command.call), command.timeout)
                    .then([this, id](CallResult result) {
                      Report(CallFinished{id, std::move(result)});
                      // The map entry owns this promise, so a separate task removes it.
                      tasks_->add(kj::evalLater([this, id] { calls_.erase(id); }));
                    })
                    .eagerlyEvaluate([this](kj::Exception&& error) { taskFailed(kj::mv(error)); });
    calls_.emplace(id, kj::mv(call));
  }

  void Execute(RespondCommand& command) {
    pending_->Fulfill(command.id, std::move(command.answer));
  }

  void Execute(const CancelCommand& command) {
    if (calls_.erase(command.id) == 0) return;
    Report(CallFinished{command.id, CallError{CallErrorCode::kOutcomeUnknown, {}}});
  }

  void Execute(const StopCommand&) { stop_->fulfill(); }

  /// Delivers an event that must not be lost: retries every millisecond while the sink is full.
  void Report(Event event) {
    if (sink_(event)) return;
    tasks_->add(
        io_->provider->getTimer()
            .afterDelay(1 * kj::MILLISECONDS)
            .then([this, event = std::move(event)]() mutable { Report(std::move(event)); }));
  }

  // Called when a peer sends malformed data or drops its connection; other connections are not
  // affected.
  void taskFailed(kj::Exception&&) override {}

  std::string address_;
  Sink sink_;
  int wake_fd_;
  core::Mailbox<Command> mailbox_;
  std::thread thread_;

  // Set while the thread runs and used only on that thread.
  kj::AsyncIoContext* io_ = nullptr;
  impl::PendingCalls* pending_ = nullptr;
  impl::Client* client_ = nullptr;
  kj::TaskSet* tasks_ = nullptr;
  kj::PromiseFulfiller<void>* stop_ = nullptr;
  kj::Own<kj::AsyncInputStream> wake_stream_;
  std::uint64_t wake_count_ = 0;
  std::unordered_map<std::uint64_t, kj::Promise<void>> calls_;
};

Node::Node(std::unique_ptr<Loop> loop) : loop_(std::move(loop)) {}

Node::~Node() = default;

core::Result<std::unique_ptr<Node>, ListenError> Node::Create(const std::string& address,
                                                              Sink sink) {
  auto loop = std::make_unique<Loop>(address, std::move(sink));
  std::string reason = loop->Start();
  if (!reason.empty()) return ListenError{address, std::move(reason)};
  return std::unique_ptr<Node>(new Node(std::move(loop)));
}

bool Node::Send(std::uint64_t id, std::string address, Call call, core::Duration timeout) {
  return loop_->Post(SendCommand{id, std::move(address), std::move(call), timeout});
}

bool Node::Respond(std::uint64_t id, Answer answer) {
  return loop_->Post(RespondCommand{id, std::move(answer)});
}

bool Node::Cancel(std::uint64_t id) { return loop_->Post(CancelCommand{id}); }

}  // namespace vanilladeck::peer
