#pragma once

// Small stand-ins for the cases of the second review: the platform's store, backend servers and
// clients, on loopback addresses and the real clock. Each connection has a thread of its own, so
// that a case reads as the sequence of what its client or server does.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Writes what was sent, answered and run, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(std::fopen(path.c_str(), "w")) {
    if (out_ == nullptr) std::exit(kNotRun);
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(out_, "%8.3f  ", Seconds());
    va_list args;
    va_start(args, format);
    std::vfprintf(out_, format, args);
    va_end(args);
    std::fputc('\n', out_);
    std::fflush(out_);
  }
  [[nodiscard]] double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - start_).count();
  }

 private:
  std::FILE* out_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

inline void SleepUntil(Clock::time_point when) { std::this_thread::sleep_until(when); }
inline void SleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

/// A TCP connection with a bound on each wait.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)), in_(std::move(other.in_)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    in_ = std::move(other.in_);
    return *this;
  }
  ~Socket() { Close(); }

  /// `receive_buffer` 0: the default of the system.
  [[nodiscard]] static Socket Connect(const std::string& ip, std::uint16_t port,
                                      int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
      // The segments of an Ethernet link; those of a loopback link exceed a small window.
      const int segment = 1460;
      setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      ::close(fd);
      return Socket();
    }
    return Socket(fd);
  }
  [[nodiscard]] bool open() const noexcept { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  /// Ends both directions, also for a thread that waits on the socket.
  void Shutdown() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  void Reset() {
    const linger none{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    Close();
  }
  [[nodiscard]] bool Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  enum class Got : std::uint8_t { kBytes, kEnd, kReset, kNothing };
  /// Reads what has arrived into `input`, at most `most` bytes; waits until `deadline`.
  Got Receive(Clock::time_point deadline, std::size_t most = 65536) {
    pollfd waited{fd_, POLLIN, 0};
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    if (poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(0, left))) <= 0) {
      return Got::kNothing;
    }
    std::string part(most, '\0');
    const ssize_t n = recv(fd_, part.data(), part.size(), 0);
    if (n < 0) {
      error_ = errno;
      return Got::kReset;
    }
    if (n == 0) return Got::kEnd;
    in_.append(part, 0, static_cast<std::size_t>(n));
    return Got::kBytes;
  }
  [[nodiscard]] std::string& input() noexcept { return in_; }
  [[nodiscard]] int error() const noexcept { return error_; }

 private:
  int fd_ = -1;
  int error_ = 0;
  std::string in_;
};

/// A request or response.
struct Message {
  std::string start;                          ///< Its first line.
  std::map<std::string, std::string> fields;  ///< By lower-case name.
  std::string body;

  [[nodiscard]] std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
  }
  [[nodiscard]] int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  [[nodiscard]] std::string target() const {
    const auto from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
};

/// Parses the header section that ends at `end` of `text`.
inline Message ParseHead(const std::string& text, std::size_t end) {
  Message message;
  std::size_t at = text.find("\r\n");
  message.start = text.substr(0, at);
  while (at < end) {
    at += 2;
    const auto next = text.find("\r\n", at);
    const std::string line = text.substr(at, next - at);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    at = next;
  }
  return message;
}

/// What became of a message that was waited for.
enum class Ending : std::uint8_t { kWhole, kClosed, kReset, kNothing };
inline const char* NameOf(Ending ending) {
  constexpr const char* kNames[] = {"whole", "closed", "reset", "nothing"};
  return kNames[static_cast<int>(ending)];
}

/// Reads one message with a stated length, or with none and no body.
inline Ending ReadMessage(Socket& socket, Message& message, Clock::time_point deadline) {
  const auto more = [&]() -> Ending {
    switch (socket.Receive(deadline)) {
      case Socket::Got::kBytes:
        return Ending::kWhole;
      case Socket::Got::kEnd:
        return Ending::kClosed;
      case Socket::Got::kReset:
        return Ending::kReset;
      case Socket::Got::kNothing:
        break;
    }
    return Ending::kNothing;
  };
  std::size_t end = 0;
  while ((end = socket.input().find("\r\n\r\n")) == std::string::npos) {
    if (const auto ending = more(); ending != Ending::kWhole) return ending;
  }
  message = ParseHead(socket.input(), end);
  const auto length =
      static_cast<std::size_t>(std::strtoull(message.Field("content-length").c_str(), nullptr, 10));
  while (socket.input().size() < end + 4 + length) {
    if (const auto ending = more(); ending != Ending::kWhole) return ending;
  }
  message.body = socket.input().substr(end + 4, length);
  socket.input().erase(0, end + 4 + length);
  return Ending::kWhole;
}

inline std::string ResponseText(const std::string& status, const std::string& fields,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Accepts connections on a free port of an address and serves each on a thread.
class Listener {
 public:
  using Serve = std::function<void(Socket&)>;

  Listener(const std::string& ip, Serve serve) : ip_(ip), serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd_, 512) != 0) {
      std::perror("listen");
      std::exit(kNotRun);
    }
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  void Close() { ::shutdown(fd_, SHUT_RDWR); }
  [[nodiscard]] std::string endpoint() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, fd] {
        Socket connection(fd);
        serve_(connection);
      }).detach();
    }
  }

  std::string ip_;
  Serve serve_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

/// Stand-in for the platform's store, as PROTOCOL.md describes it.
class Store {
 public:
  explicit Store(const std::string& ip) : listener_(ip, [this](Socket& it) { Serve(it); }) {
    std::thread([this] {
      for (;;) {
        SleepFor(milliseconds(50));
        EndLeases();
      }
    }).detach();
  }
  [[nodiscard]] std::string endpoint() const { return listener_.endpoint(); }

  /// A write of the operator or a server.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    if (!down_) Write(key, Base64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (!down_) Delete(key);
  }
  /// While down the store answers no call and takes no write.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  /// Keys that begin with `prefix`.
  [[nodiscard]] std::vector<std::string> Keys(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) == 0) keys.push_back(key);
    }
    return keys;
  }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Lease {
    milliseconds ttl{0};
    Clock::time_point end;
  };

  static std::string Base64(const std::string& bytes) {
    constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t n = 0;
      for (std::size_t k = 0; k < 3; ++k) {
        n = n << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
      }
      for (std::size_t k = 0; k < 4; ++k) {
        text += i + k > bytes.size() ? '=' : kDigits[n >> (18 - 6 * k) & 63U];
      }
    }
    return text;
  }
  static std::string Unescape(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static std::string Query(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto next = target.find('&', at + 1);
      const std::string pair =
          target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      if (pair.rfind(name + "=", 0) == 0) return Unescape(pair.substr(name.size() + 1));
      at = next;
    }
    return {};
  }
  static Json Encode(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"rev", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  void Write(const std::string& key, const std::string& value, std::int64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.lease = lease;
    events_.push_back({key, item, false});
    changed_.notify_all();
  }
  void Delete(const std::string& key) {
    if (items_.erase(key) == 0) return;
    Item item;
    item.revision = ++revision_;
    events_.push_back({key, item, true});
    changed_.notify_all();
  }
  void EndLeases() {
    const std::lock_guard lock(mutex_);
    if (down_) {
      for (auto& [id, lease] : leases_) lease.end += milliseconds(50);
      return;
    }
    std::vector<std::string> ended;
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.end > Clock::now()) {
        ++it;
        continue;
      }
      for (const auto& [key, item] : items_) {
        if (item.lease == it->first) ended.push_back(key);
      }
      it = leases_.erase(it);
    }
    for (const auto& key : ended) Delete(key);
  }

  void Serve(Socket& connection) {
    for (;;) {
      Message request;
      if (ReadMessage(connection, request, Clock::now() + std::chrono::hours(1)) !=
          Ending::kWhole) {
        return;
      }
      int status = 200;
      Json body = Json::object();
      if (!Answer(request, status, body)) {
        // Down: this connection returns nothing further.
        while (connection.Receive(Clock::now() + std::chrono::hours(1)) == Socket::Got::kBytes) {
        }
        return;
      }
      if (!connection.Send(ResponseText(std::to_string(status) + " X",
                                        "Content-Type: application/json\r\n", body.dump()))) {
        return;
      }
    }
  }

  /// False without an answer, while the store is down.
  bool Answer(const Message& request, int& status, Json& body) {
    std::unique_lock lock(mutex_);
    if (down_) return false;
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    constexpr const char* kKeep = "/-/kv-keep/";
    constexpr const char* kEnd = "/-/kv-lease-end/";
    if (path == "/-/kv-range") {
      const std::string prefix = Query(target, "prefix");
      const std::string after = Query(target, "after");
      Json items = Json::array();
      bool more = false;
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) != 0 || key <= after) continue;
        more = items.size() == 500;
        if (more) break;
        items.push_back(Encode(key, item));
      }
      body = {{"items", items}, {"hasMore", more}, {"currentRev", revision_}};
    } else if (path == "/-/kv-watch") {
      const std::string prefix = Query(target, "prefix");
      const std::int64_t after = std::stoll(Query(target, "after"));
      const auto deadline = Clock::now() + milliseconds(std::stoll(Query(target, "waitMs")));
      Json events = Json::array();
      for (;;) {
        for (const Event& it : events_) {
          if (it.item.revision <= after || it.key.rfind(prefix, 0) != 0) continue;
          if (it.removed) {
            events.push_back({{"key", it.key}, {"rev", it.item.revision}, {"tombstone", true}});
          } else {
            events.push_back(Encode(it.key, it.item));
          }
        }
        if (!events.empty() || Clock::now() >= deadline) break;
        changed_.wait_until(lock, deadline);
        if (down_) return false;
      }
      body = {{"events", events}, {"currentRev", revision_}};
    } else if (path == "/-/kv-key") {
      const std::string key = Query(target, "key");
      const auto it = items_.find(key);
      if (it == items_.end()) {
        status = 404;
      } else {
        body = Encode(key, it->second);
      }
      body["currentRev"] = revision_;
    } else if (path == "/-/kv-lease") {
      const double ttl_s = Json::parse(request.body).at("ttlS_time");
      const milliseconds ttl(static_cast<std::int64_t>(ttl_s * 1000));
      leases_[++last_lease_] = {ttl, Clock::now() + ttl};
      body = {{"lease", last_lease_}, {"ttlS_time", ttl_s}};
    } else if (path.rfind(kKeep, 0) == 0) {
      const auto it = leases_.find(std::stoll(path.substr(std::strlen(kKeep))));
      if (it == leases_.end()) {
        status = 404;
      } else {
        it->second.end = Clock::now() + it->second.ttl;
        body = {{"ttlS_time", static_cast<double>(it->second.ttl.count()) / 1000}};
      }
    } else if (path.rfind(kEnd, 0) == 0) {
      const auto it = leases_.find(std::stoll(path.substr(std::strlen(kEnd))));
      if (it != leases_.end()) it->second.end = Clock::now();
    } else if (path == "/-/kv-txn") {
      Transact(Json::parse(request.body), status, body);
    } else {
      status = 404;
    }
    return true;
  }

  void Transact(const Json& call, int& status, Json& body) {
    Json unmet = Json::array();
    for (const Json& it : call.at("expect")) {
      const std::string key = it.at("key");
      const auto item = items_.find(key);
      const std::int64_t revision = item == items_.end() ? 0 : item->second.revision;
      if (revision == it.at("rev").get<std::int64_t>()) continue;
      unmet.push_back(item == items_.end() ? Json{{"key", key}, {"rev", 0}}
                                           : Encode(key, item->second));
    }
    if (!unmet.empty()) {
      status = 412;
      body = {{"items", unmet}};
      return;
    }
    for (const Json& it : call.at("setKeys")) {
      const auto lease = it.value("lease", std::int64_t{0});
      if (lease != 0 && leases_.count(lease) == 0) {
        status = 404;
        return;
      }
    }
    for (const Json& it : call.at("setKeys")) {
      Write(it.at("key"), it.at("value"), it.value("lease", std::int64_t{0}));
    }
    for (const Json& it : call.at("deleteKeys")) Delete(it);
    body = {{"rev", revision_}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 7000;
  bool down_ = false;
  Listener listener_;
};

/// Stand-in for a backend server. `Work` answers a request that the server runs; the server has
/// read it whole and refuses requests for other instances with 421.
class Server {
 public:
  using Work = std::function<void(Server&, Socket&, const Message&)>;

  Server(const std::string& ip, Store& store, Record& record, std::string id, std::string service,
         std::string zone, Work work)
      : store_(store),
        record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        work_(std::move(work)),
        born_ms_(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()),
        listener_(ip, [this](Socket& it) { Serve(it); }) {
    Report("ready");
    std::thread([this] {
      for (;;) {
        SleepFor(milliseconds(1500));
        if (reporting_) Report(state_);
      }
    }).detach();
  }
  [[nodiscard]] const std::string& id() const noexcept { return id_; }
  [[nodiscard]] bool ended() const noexcept { return ended_; }
  void Report(const std::string& state) {
    const std::lock_guard lock(mutex_);
    state_ = state;
    ++sequence_;
    store_.Put(
        "servers/" + id_,
        Json{{"address", listener_.endpoint()},
             {"born", born_ms_},
             {"info", {{"backend", service_}, {"version", "v1"}, {"zone", zone_}, {"slots", 9}}},
             {"status", {{"state", state}, {"seq", sequence_}, {"coldLeftS", 0}}}}
            .dump());
  }
  /// Ends: accepts no connection, runs nothing and reports nothing more.
  void End() {
    reporting_ = false;
    ended_ = true;
    listener_.Close();
  }

 private:
  void Serve(Socket& connection) {
    for (;;) {
      Message request;
      if (ReadMessage(connection, request, Clock::now() + std::chrono::hours(1)) !=
          Ending::kWhole) {
        return;
      }
      if (ended_) {
        connection.Reset();
        return;
      }
      const std::string instance = "X-Instance-Id: " + id_ + "\r\n";
      if (request.target() == "/healthz") {
        if (!connection.Send(ResponseText("200 OK", instance, ""))) return;
        continue;
      }
      const std::string expected = request.Field("x-expect-instance");
      if (!expected.empty() && expected != id_) {
        if (!connection.Send(ResponseText("421 Misdirected Request", instance, ""))) return;
        continue;
      }
      record_.Line("server %s runs %s (%s)", id_.c_str(), request.Field("x-attempt-id").c_str(),
                   request.start.c_str());
      work_(*this, connection, request);
      if (!connection.open()) return;
    }
  }

  Store& store_;
  Record& record_;
  std::string id_;
  std::string service_;
  std::string zone_;
  Work work_;
  std::int64_t born_ms_;
  std::mutex mutex_;
  std::string state_;
  std::int64_t sequence_ = 0;
  std::atomic<bool> reporting_{true};
  std::atomic<bool> ended_{false};
  Listener listener_;
};

/// The answer of a sound server.
inline std::string SealedResponse(const Message& request, const std::string& body,
                                  const std::string& fields = {}) {
  return ResponseText("200 OK",
                      "X-Attempt-Id: " + request.Field("x-attempt-id") +
                          "\r\nX-Response-Seal: 3e1b.07.5a2." + std::to_string(body.size()) +
                          ".0.c9f2a4d1\r\nX-Server-Load: 1,0,9\r\nKeep-Alive: timeout=10\r\n" +
                          fields,
                      body);
}

/// The gateway: the program of the deploy file, as a process of its own.
class Gateway {
 public:
  /// All its listeners use `ip`, which no other process of the case uses.
  Gateway(std::string ip, std::string name, std::string folder)
      : ip_(std::move(ip)), name_(std::move(name)), folder_(std::move(folder)) {
    std::vector<int> held;
    for (std::uint16_t& port : ports_) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
      if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        std::exit(kNotRun);
      }
      socklen_t size = sizeof(address);
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
      port = ntohs(address.sin_port);
      held.push_back(fd);
    }
    for (const int fd : held) ::close(fd);
  }
  ~Gateway() { End(); }
  /// Kills the process if it still runs.
  void End() {
    if (pid_ > 0 && !Ended()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
      ended_ = true;
    }
  }
  [[nodiscard]] std::string control() const { return ip_ + ":" + std::to_string(ports_[3]); }
  [[nodiscard]] const std::string& ip() const noexcept { return ip_; }
  [[nodiscard]] std::uint16_t front() const noexcept { return ports_[0]; }
  [[nodiscard]] std::uint16_t directory() const noexcept { return ports_[2]; }

  /// Settings as a site of the pages has them.
  void Start(const std::string& store, const std::string& seeds) {
    const std::string path = folder_ + "/" + name_ + ".conf";
    const auto at = [this](int i) { return ip_ + ":" + std::to_string(ports_[i]); };
    std::ofstream(path) << "node=" << name_ << "\nrole=gateway\nmachineClass=edge\n"
                        << "serves=edge,directory,control\nip=" << ip_
                        << "\nzone=fukuoka-a\nregion=fukuoka\nzones.fukuoka-a=fukuoka\n"
                        << "zones.fukuoka-b=fukuoka\nlisten.front=" << at(0)
                        << "\nlisten.ready=" << at(1) << "\nlisten.directory=" << at(2)
                        << "\nlisten.control=" << at(3)
                        << "\ninternalPorts=7660,7675\nseeds=" << seeds
                        << "\nbootstrap=true\ninTolerance=false\nlimits.cpuShare=0.2\n"
                        << "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
                        << "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
                        << "entry=directory\nheartbeatS=1.5\n"
                        << "contracts=base,drain,config,cost,retry,recover,places,platform\n"
                        << "tolerate.nodes=1\ntolerate.zones=1\ntolerate.regions=1\n"
                        << "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactS=4\n"
                        << "bounds.ackS=5\nbounds.syncS=4\nbounds.drainS=2.5\nbounds.graceS=6\n"
                        << "bounds.lossSlackS=0.2\nbounds.configS=2.5\nbounds.downgradeS=0.25\n"
                        << "bounds.skewMaxS=6\nbounds.retryBudget=0.2\nbounds.budgetWindowS=10\n"
                        << "bounds.budgetSlack=58\nbounds.coldOverage=1.5\nbounds.coldSlack=5\n"
                        << "bounds.evacuateS=5\nbounds.recoveryS=15\nbounds.ttl_max_s=5\n"
                        << "bounds.maxShift=0.15\nprovider.address=" << store
                        << "\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000\n"
                        << "provider.historyS=20\nprovider.valueBytes=1048576\n"
                        << "provider.ttlMinS=1\n";
    std::string program = "target/vanilladeck-gateway";
    std::string setting = "VANILLADECK_SETTINGS=" + path;
    std::vector<char*> environment;
    for (char** it = environ; *it != nullptr; ++it) environment.push_back(*it);
    environment.push_back(setting.data());
    environment.push_back(nullptr);
    char* arguments[] = {program.data(), nullptr};
    const std::string log = folder_ + "/" + name_ + ".log";
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    ended_ = false;
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with this program, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execve(program.c_str(), arguments, environment.data());
      _exit(127);
    }
    ::close(out);
    if (pid_ < 0) std::exit(kNotRun);
  }
  void Signal(int number) const { kill(pid_, number); }
  /// True if the process has ended by itself or by a signal.
  bool Ended() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  [[nodiscard]] int wait_status() const noexcept { return status_; }
  [[nodiscard]] bool WaitUntilReady(milliseconds time) {
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      Socket socket = Socket::Connect(ip_, ports_[1]);
      Message response;
      if (socket.open() && socket.Send("GET /-/readyz HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n") &&
          ReadMessage(socket, response, Clock::now() + std::chrono::seconds(1)) == Ending::kWhole &&
          response.status() == 200) {
        return true;
      }
      SleepFor(milliseconds(50));
    }
    return false;
  }

 private:
  std::string ip_;
  std::string name_;
  std::string folder_;
  std::uint16_t ports_[4] = {};
  pid_t pid_ = 0;
  int status_ = 0;
  bool ended_ = false;
};

/// A loopback address of this process alone, since the port of the metrics is fixed.
inline std::string OwnAddress(int n) {
  const int pid = getpid();
  return "127." + std::to_string(100 + pid / 250 % 100) + "." + std::to_string(pid % 250) + "." +
         std::to_string(1 + n);
}

inline Json Route(const std::string& prefix, const std::string& kind, const std::string& service,
                  double timeout_s, double slo_s, int priority) {
  return {{"type", "routes"},
          {"metadata", {{"name", "r" + prefix}}},
          {"spec",
           {{"host", "a.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeoutS", timeout_s},
            {"sloS", slo_s},
            {"priority", priority},
            {"backend", service},
            {"attempts", 2},
            {"sessionAffinity", false},
            {"allowedRegions", Json::array()}}}};
}
inline Json Service(const std::string& name) {
  return {{"type", "backends"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"healthPath", "/healthz"},
            {"maxConns", 330},
            {"protocol", "h1"},
            {"tls", false},
            {"coldS", 3.0},
            {"coldPerS", 8.8}}}};
}
inline Json Limits() {
  return {{"type", "limits"},
          {"metadata", Json::object()},
          {"spec",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutS", 3},
            {"idleTimeoutS", 15}}}};
}
inline std::string Config(const std::string& version, std::vector<Json> resources) {
  resources.push_back(Limits());
  return Json{{"version", version}, {"resources", resources}}.dump();
}

/// Ends the case with its result; threads of the stand-ins may still wait.
[[noreturn]] inline void Finish(const std::vector<Gateway*>& gateways, int code) {
  for (Gateway* it : gateways) it->End();
  std::fflush(nullptr);
  _exit(code);
}

inline bool Troubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
