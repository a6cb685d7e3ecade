#include "stand.h"

// Clients read a download at about 300 KB/s while their instance gets SIGTERM. The instance has
// handed the whole answer to its system and takes the connection for idle: it closes it after 1.2
// s. The next request that such a client sends ahead meets the closed connection, and the rest of
// the answer is dropped.

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  Record record(argv[2]);
  Store store(OwnAddress(0));
  // The largest answer to a download of the pages' site; the client's limit is 2 s there.
  const std::string answer(540000, 'a');
  constexpr int kReceiveBuffer = 65536;
  constexpr std::size_t kPartBytes = 16384;
  constexpr milliseconds kPartTime{50};
  std::mutex mutex;
  std::set<std::string> runs;
  const auto work = [&](Server&, Socket& connection, const Message& request) {
    {
      const std::lock_guard lock(mutex);
      runs.insert(request.Field("x-attempt-id"));
    }
    const bool large = request.target().rfind("/files/", 0) == 0;
    (void)connection.Send(SealedResponse(request, large ? answer : "price"));
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(OwnAddress(1), store, record,
                                               "i-" + std::to_string(i), "catalogue",
                                               i % 2 == 0 ? "fukuoka-a" : "fukuoka-b", work));
  }
  store.Put("op/config", Config("00000001", {Route("/files/", "download", "catalogue", 2, 0.4, 1),
                                             Route("/look/", "idempotent", "catalogue", 2, 1, 1),
                                             Service("catalogue")}));
  Gateway gateway(OwnAddress(2), "edge-1", argv[1]);
  gateway.Start(store.endpoint(), gateway.control());
  if (!gateway.WaitUntilReady(std::chrono::seconds(15))) {
    record.Line("the gateway doesn't become ready");
    Finish({&gateway}, kNotRun);
  }
  SleepFor(std::chrono::seconds(5));

  constexpr int kClients = 8;
  struct Result {
    Ending first = Ending::kNothing;
    std::size_t bytes = 0;
    double ended = 0;
  };
  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  std::atomic<int> reading{0};
  std::atomic<std::int64_t> stop_ms{0};  // Since the system started; 0 before SIGTERM.
  const auto clock_ms = [] {
    return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
  };
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Result& result = results[static_cast<std::size_t>(i)];
      const std::string id = std::to_string(i);
      const auto request = [](const std::string& path, const std::string& attempt) {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt +
               "\r\nX-Deadline-Ms: 2000\r\n\r\n";
      };
      Socket socket = Socket::Connect(gateway.ip(), gateway.front(), kReceiveBuffer);
      if (!socket.open() || !socket.Send(request("/files/1", "first-" + id))) return;
      record.Line("client %s sends its first request", id.c_str());
      const auto began = Clock::now();
      const auto deadline = began + std::chrono::seconds(2);
      bool ahead = false;
      auto got = Socket::Got::kBytes;
      while (got == Socket::Got::kBytes && socket.input().size() < answer.size()) {
        const bool first = socket.input().empty();
        got = socket.Receive(deadline, kPartBytes);
        if (first && got == Socket::Got::kBytes) ++reading;
        SleepFor(kPartTime);
        if (!ahead && stop_ms > 0 && clock_ms() > stop_ms + 1330) {
          ahead = true;
          record.Line("client %s has read %zu bytes of the first answer and sends a request ahead",
                      id.c_str(), socket.input().size());
          if (!socket.Send(request("/look/1", "ahead-" + id))) record.Line("not sent");
        }
      }
      Message response;
      result.bytes = socket.input().size();
      result.first = ReadMessage(socket, response, deadline);
      result.ended = std::chrono::duration<double>(Clock::now() - began).count();
      record.Line("client %s after %.3f s: first answer %s, %zu bytes of it", id.c_str(),
                  result.ended, NameOf(result.first), result.bytes);
    });
  }
  // All answers have begun, so that none says that its connection closes.
  for (int i = 0; i < 500 && reading < kClients; ++i) SleepFor(milliseconds(1));
  stop_ms = clock_ms();
  if (Troubled()) {
    gateway.Signal(SIGTERM);
    record.Line("SIGTERM");
  }
  for (auto& it : clients) it.join();
  int lost = 0;
  int passed = 0;
  const std::lock_guard lock(mutex);
  for (int i = 0; i < kClients; ++i) {
    const Result& result = results[static_cast<std::size_t>(i)];
    if (runs.count("first-" + std::to_string(i)) == 0) continue;
    ++passed;
    const bool closed = result.first == Ending::kClosed || result.first == Ending::kReset;
    if (closed && result.ended < 1.95) ++lost;
  }
  record.Line("%d first requests ran, %d of them got no complete answer", passed, lost);
  std::printf("case 10: %d of %d answers cut off\n", lost, passed);
  if (passed < kClients) Finish({&gateway}, kNotRun);
  Finish({&gateway}, lost > 0 ? kBroken : kHeld);
}
