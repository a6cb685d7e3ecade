#include "stand.h"

// A configuration moves a route that was added from a slow service to a fast one and gives it a
// shorter time-out, as the fast service allows. All instances refuse all requests on the route from
// then on, although the servers of the fast service are idle.

using namespace review;

int main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  Record record(argv[2]);
  Store store(OwnAddress(0));
  const auto work_of = [](milliseconds time) {
    return [time](Server&, Socket& connection, const Message& request) {
      SleepFor(time);
      (void)connection.Send(SealedResponse(request, "report"));
    };
  };
  // The average work of a bench-deposit and of a quote-history.
  constexpr milliseconds kSlow{1160};
  constexpr milliseconds kFast{352};
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < 16; ++i) {
    const bool slow = i % 2 == 0;
    servers.push_back(std::make_unique<Server>(
        OwnAddress(1), store, record, "i-" + std::to_string(i), slow ? "catalogue" : "commission",
        i % 4 < 2 ? "fukuoka-a" : "fukuoka-b", work_of(slow ? kSlow : kFast)));
  }
  const Json first_route = Route("/look/", "idempotent", "commission", 1.5, 0.4, 0);
  const auto write = [&](const std::string& version, std::vector<Json> routes) {
    routes.push_back(Service("catalogue"));
    routes.push_back(Service("commission"));
    store.Put("op/config", Config(version, std::move(routes)));
    record.Line("the store has version %s", version.c_str());
  };
  write("00000001", {first_route});
  constexpr int kGateways = 3;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<Gateway*> all;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(
        std::make_unique<Gateway>(OwnAddress(2 + i), "edge-" + std::to_string(i + 1), argv[1]));
    all.push_back(gateways.back().get());
  }
  for (Gateway* it : all) it->Start(store.endpoint(), all[0]->control());
  for (Gateway* it : all) {
    if (it->WaitUntilReady(std::chrono::seconds(15))) continue;
    record.Line("a gateway doesn't become ready");
    Finish(all, kNotRun);
  }
  SleepFor(std::chrono::seconds(5));
  write("00000002", {first_route, Route("/added/", "idempotent", "catalogue", 3, 1.5, 2)});
  SleepFor(std::chrono::seconds(4));

  struct Count {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
  };
  struct Phase {
    const char* name;
    Count first;
    Count added[kGateways];
  };
  Phase before{"before the change", {}, {}};
  Phase between{"from the change on", {}, {}};
  Phase after{"7 s after the change", {}, {}};
  std::atomic<Phase*> phase{&before};
  std::atomic<bool> stop{false};
  const auto ask = [&](const Gateway& gateway, const std::string& path, const std::string& id) {
    Socket socket = Socket::Connect(gateway.ip(), gateway.front());
    if (!socket.open() || !socket.Send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
                                       "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\n\r\n")) {
      return 0;
    }
    Message response;
    const auto ending = ReadMessage(socket, response, Clock::now() + std::chrono::seconds(6));
    return ending == Ending::kWhole ? response.status() : 0;
  };
  std::vector<std::thread> clients;
  constexpr int kClients = 6;  // Of each instance; one of them uses the first route.
  for (int i = 0; i < kGateways * kClients; ++i) {
    clients.emplace_back([&, i] {
      const int gateway = i % kGateways;
      const bool first = i / kGateways == 0;
      for (int n = 0; !stop; ++n) {
        Phase& now = *phase.load();
        Count& count = first ? now.first : now.added[gateway];
        const std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
        ++count.sent;
        if (ask(*all[static_cast<std::size_t>(gateway)], first ? "/look/1" : "/added/1", id) ==
            200) {
          ++count.served;
        }
        SleepFor(milliseconds(500));
      }
    });
  }
  SleepFor(std::chrono::seconds(10));
  phase = &between;
  write("00000003",
        {first_route, Route("/added/", "idempotent", "commission", Troubled() ? 1 : 3, 0.5, 2)});
  // configS, 2.5 s, and more.
  SleepFor(std::chrono::seconds(7));
  phase = &after;
  SleepFor(std::chrono::seconds(15));
  stop = true;
  for (auto& it : clients) it.join();
  for (Phase* it : {&before, &between, &after}) {
    record.Line("%s: first route %d sent, %d served", it->name, it->first.sent.load(),
                it->first.served.load());
    for (int i = 0; i < kGateways; ++i) {
      record.Line("%s: added route at edge-%d %d sent, %d served", it->name, i + 1,
                  it->added[i].sent.load(), it->added[i].served.load());
    }
  }
  int sent = 0;
  int served = 0;
  int served_before = 0;
  for (int i = 0; i < kGateways; ++i) {
    sent += after.added[i].sent;
    served += after.added[i].served;
    served_before += before.added[i].served;
  }
  std::printf("case 6: served %d of %d on the first route, %d of %d on the added one\n",
              after.first.served.load(), after.first.sent.load(), served, sent);
  if (2 * after.first.served < after.first.sent || sent < 20 || served_before < 20) {
    Finish(all, kNotRun);
  }
  // Served less than a quarter as often as the first route.
  const bool broken = 4 * served * after.first.sent < after.first.served * sent;
  Finish(all, broken ? kBroken : kHeld);
}
