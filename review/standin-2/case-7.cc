#include "stand.h"

// Clients with small windows, on kept connections, redeem a gift and send a look-up before the
// answer. They read the answer slowly, 1 KB each 120 ms, which takes less than 4 s of their 8 s.
// The instance drops their connections after about 2 s. The look-ups, which servers have run, get
// no answer, and the answers to the gifts, which were granted, are never complete.

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  Record record(argv[2]);
  Store store(OwnAddress(0));
  // The largest answer to a gift-redeem of the pages' site; the client's limit is 8 s there.
  const std::string file(30000, 'f');
  constexpr int kReceiveBuffer = 4096;
  std::mutex mutex;
  std::set<std::string> runs;
  const auto work = [&](Server&, Socket& connection, const Message& request) {
    {
      const std::lock_guard lock(mutex);
      runs.insert(request.Field("x-attempt-id"));
    }
    const bool large = request.target().rfind("/gifts/", 0) == 0;
    (void)connection.Send(SealedResponse(request, large ? file : "price"));
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(OwnAddress(1), store, record,
                                               "i-" + std::to_string(i), "catalogue",
                                               i % 2 == 0 ? "fukuoka-a" : "fukuoka-b", work));
  }
  store.Put("op/config",
            Config("00000001",
                   {Route("/gifts/", "non_idempotent", "catalogue", 2.5, 1.2, 1),
                    Route("/look/", "idempotent", "catalogue", 2, 1, 1), Service("catalogue")}));
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
    Ending second = Ending::kNothing;
    double ended = 0;
    int error = 0;
  };
  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Result& result = results[static_cast<std::size_t>(i)];
      const std::string id = std::to_string(i);
      const auto request = [](const std::string& path, const std::string& attempt) {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt +
               "\r\nX-Deadline-Ms: 6000\r\n\r\n";
      };
      const std::string gift = "POST /gifts/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: gift-" +
                               id + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\ncode";
      Socket socket = Socket::Connect(gateway.ip(), gateway.front(), kReceiveBuffer);
      Message response;
      if (!socket.open() || !socket.Send(request("/look/a", "before-" + id)) ||
          ReadMessage(socket, response, Clock::now() + std::chrono::seconds(3)) != Ending::kWhole) {
        record.Line("client %s: no first answer", id.c_str());
        return;
      }
      const auto began = Clock::now();
      const auto deadline = began + std::chrono::seconds(8);
      record.Line("client %s sends two requests on its kept connection", id.c_str());
      if (!socket.Send(gift + request("/look/b", "ahead-" + id))) {
        return;
      }
      while (Troubled() && socket.input().size() < file.size() &&
             socket.Receive(deadline, 1024) == Socket::Got::kBytes) {
        SleepFor(milliseconds(120));
      }
      result.first = ReadMessage(socket, response, deadline);
      if (result.first == Ending::kWhole) result.second = ReadMessage(socket, response, deadline);
      result.error = socket.error();
      result.ended = std::chrono::duration<double>(Clock::now() - began).count();
      record.Line(
          "client %s after %.3f s: gift %s (%zu bytes of an unfinished answer), "
          "look-up behind it %s, error %d",
          id.c_str(), result.ended, NameOf(result.first), socket.input().size(),
          NameOf(result.second), result.error);
    });
  }
  for (auto& it : clients) it.join();
  int lost = 0;
  int passed = 0;
  const std::lock_guard lock(mutex);
  for (int i = 0; i < kClients; ++i) {
    const Result& result = results[static_cast<std::size_t>(i)];
    if (runs.count("ahead-" + std::to_string(i)) == 0) continue;
    ++passed;
    // No byte of an answer to the request that was sent ahead, and its time is not used up.
    const bool closed = result.first == Ending::kClosed || result.first == Ending::kReset;
    if (closed && result.ended < 5.9) ++lost;
  }
  record.Line("%d requests sent ahead ran, %d of them got no answer on a closed connection", passed,
              lost);
  std::printf("case 7: %d of %d requests without an answer\n", lost, passed);
  if (passed < kClients) Finish({&gateway}, kNotRun);
  Finish({&gateway}, lost > 3 ? kBroken : kHeld);
}
