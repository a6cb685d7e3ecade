#include "stand.h"

// A client opens a connection to an instance that got SIGTERM, sends a deposit more than 3 s after
// the signal, and the instance exits while the server works on it.

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  const std::string folder = argv[1];
  Record record(argv[2]);
  Store store(OwnAddress(0));
  // The work of a deposit; the pages give 1,160 ms on average and 3,480 ms at most.
  constexpr milliseconds kWork{2850};
  std::mutex mutex;
  std::set<std::string> runs;
  const auto work = [&](Server&, Socket& connection, const Message& request) {
    {
      const std::lock_guard lock(mutex);
      runs.insert(request.Field("x-attempt-id"));
    }
    const bool slow = request.target().rfind("/deposit/", 0) == 0;
    if (slow) SleepFor(kWork);
    const bool sent = connection.Send(SealedResponse(request, "booked"));
    record.Line("server has done %s; its answer %s", request.Field("x-attempt-id").c_str(),
                sent ? "is sent" : "finds no connection");
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<Server>(OwnAddress(1), store, record,
                                               "i-" + std::to_string(i), "catalogue",
                                               i % 2 == 0 ? "fukuoka-a" : "fukuoka-b", work));
  }
  store.Put("op/config",
            Config("00000001", {Route("/deposit/", "non_idempotent", "catalogue", 3, 1.5, 2),
                                Route("/look/", "idempotent", "catalogue", 2.5, 0.6, 1),
                                Service("catalogue")}));
  Gateway gateway(OwnAddress(2), "edge-1", folder);
  gateway.Start(store.endpoint(), gateway.control());
  if (!gateway.WaitUntilReady(std::chrono::seconds(15))) {
    record.Line("the gateway doesn't become ready");
    Finish({&gateway}, kNotRun);
  }
  SleepFor(std::chrono::seconds(2));

  const auto stop = Clock::now();
  if (Troubled()) {
    gateway.Signal(SIGTERM);
    record.Line("SIGTERM");
  }
  struct Result {
    bool connected = false;
    double sent = 0;  ///< First byte, seconds after SIGTERM.
    Ending ending = Ending::kNothing;
    int status = 0;
    double ended = 0;
  };
  constexpr int kClients = 12;
  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  const auto since = [&] { return std::chrono::duration<double>(Clock::now() - stop).count(); };
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Result& result = results[static_cast<std::size_t>(i)];
      const std::string id = "deposit-" + std::to_string(i);
      // Half a second at most from the connection to the request; a client may take headerTimeoutS,
      // 3 s.
      SleepUntil(stop + milliseconds(2660 + 8 * i));
      Socket socket = Socket::Connect(gateway.ip(), gateway.front());
      result.connected = socket.open();
      if (!result.connected) {
        record.Line("client %s: no connection", id.c_str());
        return;
      }
      SleepUntil(stop + milliseconds(3060));
      result.sent = since();
      record.Line("client %s sends its request, %.3f s after SIGTERM", id.c_str(), result.sent);
      const bool sent =
          socket.Send("POST /deposit/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
                      "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 7\r\n\r\ndeposit");
      Message response;
      result.ending =
          sent ? ReadMessage(socket, response, stop + milliseconds(9060)) : Ending::kReset;
      result.status = result.ending == Ending::kWhole ? response.status() : 0;
      result.ended = since();
      record.Line("client %s: %s, status %d, %.3f s after SIGTERM", id.c_str(),
                  NameOf(result.ending), result.status, result.ended);
    });
  }
  for (auto& it : clients) it.join();
  SleepFor(milliseconds(200));
  int lost = 0;
  int passed = 0;
  const std::lock_guard lock(mutex);
  for (int i = 0; i < kClients; ++i) {
    const Result& result = results[static_cast<std::size_t>(i)];
    const bool ran = runs.count("deposit-" + std::to_string(i)) > 0;
    if (ran) ++passed;
    // The rule: passed on to a server, and the connection ends without a complete answer, while the
    // client's time (6 s) and the route's timeout (3 s) were not reached.
    const bool early = result.ended - result.sent < 2.95;
    if (ran && result.sent > 3 && early && result.ending != Ending::kWhole) ++lost;
  }
  record.Line("%d deposits reached a server, %d of them were cut off without an answer", passed,
              lost);
  std::printf("case 8: %d of %d deposits cut off\n", lost, passed);
  if (!Troubled() && passed < kClients) Finish({&gateway}, kNotRun);
  Finish({&gateway}, lost > 0 ? kBroken : kHeld);
}
