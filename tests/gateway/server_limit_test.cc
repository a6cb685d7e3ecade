#include <catch2/catch.hpp>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::FullResponse;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

/// A server whose responses state a limit, unless it is empty, and that records its requests.
struct LimitedServer {
  LimitedServer(ProxyFixture& f, const std::string& id, std::string limit)
      : limit(std::move(limit)),
        server(f.AddServer(id, [this](const ScriptedServer::ConnectionPtr& connection,
                                      const std::string& request) {
          arrivals.push_back(core::RuntimeClock::now());
          const std::string field = this->limit.empty() ? "" : "Limit: " + this->limit + "\r\n";
          connection->Write(FullResponse(request, "x", "200 OK", field));
        })) {}

  [[nodiscard]] std::size_t ArrivalsSince(core::TimePoint since) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(), [since](core::TimePoint it) { return it >= since; }));
  }

  std::string limit;
  std::vector<core::TimePoint> arrivals;
  ScriptedServer& server;
};

/// Sends requests one after the other for `time`; returns the number of responses other than 200.
int SendFor(ProxyFixture& f, core::Duration time) {
  int refused = 0;
  const auto end = core::RuntimeClock::now() + time;
  for (int i = 0; core::RuntimeClock::now() < end; ++i) {
    const std::string answer = f.Fetch("GET", "/read/" + std::to_string(i), "id");
    if (f.StatusOf(answer) != "200") ++refused;
    f.RunFor(10ms);
  }
  return refused;
}

// Guards against a server that is short of capacity and gets far more requests than it has stated.
TEST_CASE("a server gets no more requests than the limit that it states") {
  ProxyFixture f;
  LimitedServer limited(f, "i-1", "2.5");
  LimitedServer other(f, "i-2", "");
  (void)SendFor(f, 1s);
  REQUIRE_FALSE(limited.arrivals.empty());
  const core::TimePoint known = limited.arrivals.front() + 500ms;
  CHECK(SendFor(f, 3s) == 0);
  const double seconds = std::chrono::duration<double>(core::RuntimeClock::now() - known).count();
  CHECK(static_cast<double>(limited.ArrivalsSince(known)) <= 1.5 * 2.5 * seconds + 5);
}

// Guards against values that would stop all requests to a server, or be taken for a huge limit.
TEST_CASE("a limit that is not a number of at least 0 is none") {
  ProxyFixture f;
  LimitedServer server(f, "i-1", "");
  const auto limit_for = [&](const std::string& value) {
    server.limit = value;
    (void)f.Fetch("GET", "/read/1", "id");
    return f.context.servers.Find("i-1")->limit;
  };
  for (const char* it : {"x", "-1", "1.5x", "nan", "inf", "1e999", "1,5", "0x10"}) {
    CAPTURE(it);
    CHECK_FALSE(limit_for(it).has_value());
  }
  CHECK(f.context.server_limits.Stated(core::RuntimeClock::now()).empty());
  CHECK(limit_for("2.5") == 2.5);
  // The next request waits for its part of the limit, so it is refused at once.
  CHECK(ProxyFixture::StatusOf(f.Fetch("GET", "/read/1", "id")) == "503");
}

}  // namespace
}  // namespace vanilladeck::gateway
