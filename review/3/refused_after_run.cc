// Case 3: a server's own 503, which doesn't say that the request has not run, reaches the client as the promise that it has not.
//
// One gateway, fourteen servers. Clients send requests that aren't idempotent and repeat them, with a new X-Attempt-Id, only after
// an answer that promises that the request has not run (PROTOCOL.md, "Answers"). With trouble two of the servers fail 45 in 100 of
// their requests after they have run them, with a 503 of their own, that is without X-Not-Executed. Without trouble they fail the
// same requests with 500.
#include "harness.h"

#include <random>

using namespace review;

namespace {

constexpr int kServers = 14;
constexpr int kGreyServers = 2;     // share = 0.14, the site's dose of `srv_grey`
constexpr double kGreyShare = 0.45; // x = 0.45, the site's dose of `srv_grey`
constexpr int kClients = 10;
constexpr int kStampsPerClient = 30;

std::mutex mutex;
std::map<std::string, int> ran;        // Runs by X-Attempt-Id.
std::map<std::string, int> stamp_runs; // Runs by what the client wants to be done once.

}  // namespace

int main() {
  TheRecord().Open("review/3/record.txt");
  const std::vector<Zone> zones{{"brest-a", "bzh-west"}, {"lorient-b", "bzh-west"}, {"rennes-a", "bzh-east"}};
  Store store("127.0.0.1");
  const auto serve = [](bool grey) {
    return [grey](Server& server, const ConnPtr& conn, const Message& request) {
      static thread_local std::mt19937 random(std::random_device{}());
      const std::string id = request.Header("X-Attempt-Id");
      SleepS(0.02);
      {
        const std::lock_guard lock(mutex);
        ++ran[id];
        ++stamp_runs[request.body];
      }
      int status = 200;
      if (grey && std::uniform_real_distribution<double>(0, 1)(random) < kGreyShare) status = Trouble() ? 503 : 500;
      LOG("%s runs %s (%s) and answers %d without X-Not-Executed", server.id().c_str(), id.c_str(), request.body.c_str(), status);
      return conn->Write(Server::Text(request, status, status == 200 ? "stamped" : "failed"));
    };
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(
        std::make_unique<Server>(store, "127.0.0.1", "i-" + std::to_string(i), "svc", "brest-a", serve(i < kGreyServers)));
    servers.back()->Report("ready");
  }
  store.Put("op/config", ConfigOf(7, json::array({RouteOf("r1", "a.example", "/stamp/", "non_idempotent", "svc", 1.5, 0.3)}), {"svc"}));
  Gateway gateway(store, "edge-brest-a-1", zones[0], zones, "127.0.0.33");
  gateway.Start();
  if (!gateway.WaitReady(10)) return kCouldNotRun;
  SleepS(4.2);  // The machine is in touch.

  int refused_and_ran = 0;
  int answered = 0;
  std::vector<std::thread> threads;
  for (int c = 0; c < kClients; ++c) {
    threads.emplace_back([&, c] {
      ConnPtr conn;
      for (int k = 0; k < kStampsPerClient; ++k) {
        const std::string stamp = "stamp-" + std::to_string(c) + "-" + std::to_string(k);
        for (int attempt = 0; attempt < 2; ++attempt) {
          const std::string id = "a" + std::to_string(c) + "-" + std::to_string(k) + "-" + std::to_string(attempt);
          // A client repeats a request on a new connection.
          if (!conn || attempt > 0) conn = Connect(gateway.ip(), gateway.front());
          Message answer;
          if (!conn || !conn->Write(RequestText("POST", "a.example", "/stamp/1", id, 1500, stamp)) || !conn->Read(answer, 3, true)) {
            LOG("%s: no answer", id.c_str());
            conn = nullptr;
            break;
          }
          const int status = answer.Status();
          const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
          const std::lock_guard lock(mutex);
          ++answered;
          if (promise && ran.count(id) > 0) {
            ++refused_and_ran;
            LOG("REFUSED: %s (%s) is answered %d, seal '%s', and has run", id.c_str(), stamp.c_str(), status,
                answer.Header("X-Response-Seal").c_str());
          }
          if (!promise) break;
          SleepS(std::min(0.4, std::atof(answer.Header("Retry-After").c_str())));
        }
        SleepS(0.02);
      }
    });
  }
  for (auto& it : threads) it.join();
  SleepS(0.5);
  int doubled = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [stamp, runs] : stamp_runs) {
      if (runs < 2) continue;
      ++doubled;
      LOG("%s was done %d times", stamp.c_str(), runs);
    }
  }
  const bool broken = refused_and_ran > 0;
  LOG("REFUSED %s: %d requests; %d stamps done twice; %d answers", broken ? "broken" : "held", refused_and_ran, doubled, answered);
  std::printf("case 3: REFUSED %s, %d requests answered 503 had run, %d stamps done twice, %d answers\n", broken ? "broken" : "held",
              refused_and_ran, doubled, answered);
  std::fflush(stdout);
  gateway.Kill();
  std::_Exit(broken ? kBroken : kHeld);
}
