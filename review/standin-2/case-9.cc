#include "stand.h"

// The store is down while a server leaves as planned, so that only the server's own answers tell it
// (`Server-Leaving`). The instance passes such answers on and goes on sending deposits there, which
// the server's end cuts off.

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  Record record(argv[2]);
  Store store(OwnAddress(0));
  constexpr milliseconds kWork{1100};
  // The pages: a server goes on serving for `drainS` (2.5 s here) and a little longer.
  constexpr milliseconds kServesOn{4100};
  std::atomic<bool> leaving{false};
  std::mutex mutex;
  struct Run {
    std::string server;
    bool done = false;
  };
  std::map<std::string, Run> runs;
  std::optional<Clock::time_point> told;  // The first answer with `Server-Leaving` was sent.
  const auto work = [&](Server& server, Socket& connection, const Message& request) {
    const std::string id = request.Field("x-attempt-id");
    {
      const std::lock_guard lock(mutex);
      runs[id] = {server.id(), false};
    }
    const auto until = Clock::now() + kWork;
    while (Clock::now() < until && !server.ended()) SleepFor(milliseconds(10));
    if (server.ended()) {
      connection.Reset();
      return;
    }
    const bool leaves = server.id() == "i-0" && leaving;
    if (connection.Send(SealedResponse(request, "booked", leaves ? "Server-Leaving: 1\r\n" : ""))) {
      const std::lock_guard lock(mutex);
      runs[id].done = true;
      if (leaves && !told) {
        told = Clock::now();
        record.Line("server i-0 says in an answer that it leaves");
      }
    }
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 8; ++i) {
    servers.push_back(std::make_unique<Server>(OwnAddress(1), store, record,
                                               "i-" + std::to_string(i), "catalogue",
                                               i % 2 == 0 ? "fukuoka-a" : "fukuoka-b", work));
  }
  store.Put("op/config",
            Config("00000001", {Route("/deposit/", "non_idempotent", "catalogue", 3, 1.5, 2),
                                Service("catalogue")}));
  Gateway gateway(OwnAddress(2), "edge-1", argv[1]);
  gateway.Start(store.endpoint(), gateway.control());
  if (!gateway.WaitUntilReady(std::chrono::seconds(15))) {
    record.Line("the gateway doesn't become ready");
    Finish({&gateway}, kNotRun);
  }
  SleepFor(std::chrono::seconds(5));

  struct Sent {
    std::string id;
    Clock::time_point at;
    Ending ending = Ending::kNothing;
    int status = 0;
  };
  std::vector<Sent> sent;
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back([&, i] {
      Socket socket;
      for (int n = 0; !stop; ++n) {
        if (!socket.open()) socket = Socket::Connect(gateway.ip(), gateway.front());
        Sent one{"deposit-" + std::to_string(i) + "-" + std::to_string(n), Clock::now(), {}, 0};
        if (!socket.Send("POST /deposit/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + one.id +
                         "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 7\r\n\r\ndeposit")) {
          socket.Close();
          continue;
        }
        Message response;
        one.ending = ReadMessage(socket, response, Clock::now() + std::chrono::seconds(6));
        if (one.ending == Ending::kWhole) one.status = response.status();
        if (one.ending != Ending::kWhole || response.Field("connection") == "close") socket.Close();
        if (one.status != 200) {
          record.Line("client gets for %s: %s, status %d", one.id.c_str(), NameOf(one.ending),
                      one.status);
        }
        const std::lock_guard lock(mutex);
        sent.push_back(one);
      }
    });
  }
  SleepFor(std::chrono::seconds(2));
  store.SetDown(true);
  record.Line("the store is down");
  SleepFor(milliseconds(200));
  if (Troubled()) {
    leaving = true;
    record.Line("server i-0 leaves; it can't report that to the store");
  }
  SleepFor(kServesOn);
  if (Troubled()) {
    servers[0]->End();
    record.Line("server i-0 ends");
  }
  SleepFor(milliseconds(200));
  store.SetDown(false);
  record.Line("the store is back");
  SleepFor(milliseconds(1300));
  stop = true;
  for (auto& it : clients) it.join();
  const std::lock_guard lock(mutex);
  int late = 0;
  int cut = 0;
  for (const Sent& it : sent) {
    const auto run = runs.find(it.id);
    if (!told || run == runs.end() || run->second.server != "i-0") continue;
    // The rule: sent by the client later than drainS after the answer was passed on. 50 ms are for
    // the way of the answer.
    if (it.at <= *told + milliseconds(2550)) continue;
    ++late;
    record.Line("deposit %s reached i-0, sent %.3f s after the first answer that said it leaves",
                it.id.c_str(), std::chrono::duration<double>(it.at - *told).count());
    if (!run->second.done && it.status != 200) ++cut;
  }
  record.Line(
      "%zu deposits; %d reached i-0 later than drainS after the answer, %d of them were "
      "begun and cut off by its end",
      sent.size(), late, cut);
  std::printf("case 9: %d deposits at the leaving server too late, %d of them lost\n", late, cut);
  if (sent.size() < 50 || (Troubled() && !told)) Finish({&gateway}, kNotRun);
  Finish({&gateway}, late > 0 ? kBroken : kHeld);
}
