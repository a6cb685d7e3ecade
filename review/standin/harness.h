// Stand-ins of the platform's store, of servers and of clients, and control of the project's processes, for the scripts of this
// review. All addresses are loopback addresses and all ports are free ones. Each connection has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void SleepS(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// What was sent, answered and run, with the time in seconds since the start.
class Record {
 public:
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f  ", Now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

inline Record& TheRecord() {
  static Record record;
  return record;
}
#define LOG(...) ::review::TheRecord().Line(__VA_ARGS__)

inline bool SameText(const std::string& a, const std::string& b) { return strcasecmp(a.c_str(), b.c_str()) == 0; }

struct Message {
  std::string start;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& it : headers) {
      if (SameText(it.first, name)) return it.second;
    }
    return {};
  }
  bool Has(const std::string& name) const {
    return std::any_of(headers.begin(), headers.end(), [&](const auto& it) { return SameText(it.first, name); });
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

// A TCP connection with blocking calls.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {
    const int on = 1;
    (void)setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  bool Write(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads a message with a length, in chunks, or (a response only) up to the end. False at the end or after `timeout_s`.
  bool Read(Message& message, double timeout_s, bool response) {
    const double end = Now() + timeout_s;
    message = Message();
    std::size_t head_end = 0;
    while ((head_end = buf_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) return false;
    }
    std::string head = buf_.substr(0, head_end + 2);
    buf_.erase(0, head_end + 4);
    std::size_t at = 0;
    bool first = true;
    while (at < head.size()) {
      const auto line_end = head.find("\r\n", at);
      const std::string line = head.substr(at, line_end - at);
      at = line_end + 2;
      if (first) {
        message.start = line;
        first = false;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
    if (SameText(message.Header("Transfer-Encoding"), "chunked")) return ReadChunks(message, end);
    if (message.Has("Content-Length")) {
      const auto size = static_cast<std::size_t>(std::atoll(message.Header("Content-Length").c_str()));
      while (buf_.size() < size) {
        if (!Fill(end)) return false;
      }
      message.body = buf_.substr(0, size);
      buf_.erase(0, size);
      return true;
    }
    if (!response || message.Status() == 204 || message.Status() == 304 || message.Status() < 200) return true;
    while (Fill(end)) {
    }
    message.body = std::move(buf_);
    buf_.clear();
    return ended_;
  }
  // True if the peer closes within `timeout_s`.
  bool WaitClosed(double timeout_s) {
    const double end = Now() + timeout_s;
    while (Fill(end)) {
    }
    return ended_ || reset_;
  }
  bool open() const { return !ended_ && !reset_; }
  bool was_reset() const { return reset_; }
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  // Closes with a reset.
  void Reset() {
    const linger hard{1, 0};
    (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }

 private:
  bool Fill(double end) {
    const double left = end - Now();
    if (left <= 0 || fd_ < 0) return false;
    pollfd it{fd_, POLLIN, 0};
    if (poll(&it, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char data[65536];
    const ssize_t n = recv(fd_, data, sizeof(data), 0);
    if (n == 0) ended_ = true;
    if (n < 0) reset_ = true;
    if (n <= 0) return false;
    buf_.append(data, static_cast<std::size_t>(n));
    return true;
  }
  bool ReadChunks(Message& message, double end) {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buf_.find("\r\n")) == std::string::npos) {
        if (!Fill(end)) return false;
      }
      const auto size = std::strtoul(buf_.c_str(), nullptr, 16);
      while (buf_.size() < line_end + 2 + size + 2) {
        if (!Fill(end)) return false;
      }
      message.body += buf_.substr(line_end + 2, size);
      buf_.erase(0, line_end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  int fd_;
  std::string buf_;
  bool ended_ = false;
  bool reset_ = false;
};
using ConnPtr = std::shared_ptr<Conn>;

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  auto address = AddressOf(ip, 0);
  socklen_t size = sizeof(address);
  int port = 0;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    port = ntohs(address.sin_port);
  }
  close(fd);
  return port;
}

// Connects within a second; null on failure.
inline ConnPtr Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const auto address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Conn>(fd);
}

// Accepts connections and serves each on a thread.
class Listener {
 public:
  Listener(std::string ip, std::function<void(const ConnPtr&)> serve) : ip_(std::move(ip)), serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    (void)setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = AddressOf(ip_, 0);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd_, 512) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      std::perror("listen");
      std::_Exit(kCouldNotRun);
    }
    port_ = ntohs(address.sin_port);
    std::thread([this] {
      for (;;) {
        const int fd = accept(fd_, nullptr, nullptr);
        if (fd < 0) return;
        std::thread([serve = serve_, conn = std::make_shared<Conn>(fd)] { serve(conn); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  std::function<void(const ConnPtr&)> serve_;
  int fd_ = -1;
  int port_ = 0;
};

inline std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned n = 0;
    for (std::size_t k = 0; k < 3; ++k) n = (n << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    text += digits[(n >> 18U) & 63U];
    text += digits[(n >> 12U) & 63U];
    text += i + 1 < bytes.size() ? digits[(n >> 6U) & 63U] : '=';
    text += i + 2 < bytes.size() ? digits[n & 63U] : '=';
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  unsigned n = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) break;
    n = (n << 6U) | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((n >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return bytes;
}

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

// The platform's store (PROTOCOL.md, "The platform's metadata store"). Each machine has a door of its own (a listener), so that the
// store can turn single machines away.
class Store {
 public:
  enum class Mode { kServe, kSilent, kBusy };

  explicit Store(std::string ip) : ip_(std::move(ip)) {
    std::thread([this] {
      for (;;) {
        SleepS(0.02);
        const std::lock_guard lock(mutex_);
        ExpireLeases();
      }
    }).detach();
  }

  // Adds a door; returns its number.
  int AddDoor(const std::string& name) {
    const std::lock_guard lock(mutex_);
    const int door = static_cast<int>(doors_.size());
    doors_.push_back({name, Mode::kServe, 0, nullptr, {}});
    doors_.back().listener = std::make_unique<Listener>(ip_, [this, door](const ConnPtr& conn) { Serve(door, conn); });
    return door;
  }
  std::string AddressOfDoor(int door) {
    const std::lock_guard lock(mutex_);
    return doors_[static_cast<std::size_t>(door)].listener->address();
  }
  void SetMode(int door, Mode mode) {
    const std::lock_guard lock(mutex_);
    doors_[static_cast<std::size_t>(door)].mode = mode;
    changed_.notify_all();
  }
  // The whole store is silent; leases pause (PROTOCOL.md: "While the store is down, leases either pause or expire").
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    if (down && !down_) down_since_ = Now();
    if (!down && down_) {
      for (auto& it : leases_) it.second.ends += Now() - down_since_;
    }
    down_ = down;
    for (auto& it : doors_) it.mode = down ? Mode::kSilent : Mode::kServe;
    changed_.notify_all();
    LOG("store: %s", down ? "down, silent" : "up");
  }
  std::int64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutItem(key, value, 0);
    LOG("store: put %s rev %lld %s", key.c_str(), static_cast<long long>(revision_), value.size() < 300 ? value.c_str() : "...");
    return revision_;
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    RemoveItem(key);
  }
  bool Has(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return items_.count(key) > 0;
  }
  std::string Value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    return it == items_.end() ? std::string() : it->second.value;
  }
  // Calls that arrived at a door so far.
  int Calls(int door) {
    const std::lock_guard lock(mutex_);
    return doors_[static_cast<std::size_t>(door)].calls;
  }
  std::string LastCall(int door) {
    const std::lock_guard lock(mutex_);
    return doors_[static_cast<std::size_t>(door)].last_call;
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
    std::int64_t revision = 0;
    bool tombstone = false;
    Item item;
  };
  struct Lease {
    double ttl = 0;
    double ends = 0;
  };
  struct Door {
    std::string name;
    Mode mode;
    int calls;
    std::unique_ptr<Listener> listener;
    std::string last_call;
  };

  void PutItem(const std::string& key, const std::string& value, std::int64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0) item.created = revision_;
    item.lease = lease;
    events_.push_back({key, revision_, false, item});
    changed_.notify_all();
  }
  void RemoveItem(const std::string& key) {
    if (items_.erase(key) == 0) return;
    events_.push_back({key, ++revision_, true, {}});
    LOG("store: removed %s rev %lld", key.c_str(), static_cast<long long>(revision_));
    changed_.notify_all();
  }
  void ExpireLeases() {
    if (down_) return;
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends > Now()) {
        ++it;
        continue;
      }
      const auto lease = it->first;
      it = leases_.erase(it);
      RemoveOfLease(lease);
    }
  }
  void RemoveOfLease(std::int64_t lease) {
    std::vector<std::string> keys;
    for (const auto& it : items_) {
      if (it.second.lease == lease) keys.push_back(it.first);
    }
    for (const auto& it : keys) RemoveItem(it);
  }
  static json JsonOf(const std::string& key, const Item& item) {
    return {{"key", key}, {"value", Base64(item.value)}, {"rev", item.revision}, {"created", item.created}, {"lease", item.lease}};
  }
  static std::string Parameter(const std::string& target, const std::string& name) {
    const auto question = target.find('?');
    if (question == std::string::npos) return {};
    std::string query = "&" + target.substr(question + 1) + "&";
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 2;
    return Unescape(query.substr(begin, query.find('&', begin) - begin));
  }
  static bool Respond(const ConnPtr& conn, int status, const std::string& body) {
    return conn->Write("HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void Serve(int door, const ConnPtr& conn) {
    Message request;
    while (conn->Read(request, 1000, false)) {
      Mode mode;
      {
        const std::lock_guard lock(mutex_);
        auto& it = doors_[static_cast<std::size_t>(door)];
        ++it.calls;
        it.last_call = request.start;
        mode = it.mode;
      }
      if (mode == Mode::kBusy) {
        if (!Respond(conn, 503, "")) return;
        continue;
      }
      std::string body;
      int status = 0;
      if (mode == Mode::kServe) status = Answer(door, request, body);
      if (status == 0) {
        // A connection on which a response is lost returns nothing further.
        (void)conn->WaitClosed(1000);
        return;
      }
      if (!Respond(conn, status, body)) return;
    }
  }
  // The status, or 0 if the response is lost.
  int Answer(int door, const Message& request, std::string& body) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    if (path == "/-/kv-range") {
      const std::string prefix = Parameter(target, "prefix");
      const std::string after = Parameter(target, "after");
      json items = json::array();
      bool more = false;
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) != 0 || key <= after) continue;
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(JsonOf(key, item));
      }
      body = json{{"items", items}, {"hasMore", more}, {"currentRev", revision_}}.dump();
      return 200;
    }
    if (path == "/-/kv-watch") {
      const std::string prefix = Parameter(target, "prefix");
      const auto after = std::atoll(Parameter(target, "after").c_str());
      const double end = Now() + std::atof(Parameter(target, "waitMs").c_str()) / 1000;
      json events = json::array();
      for (;;) {
        if (doors_[static_cast<std::size_t>(door)].mode != Mode::kServe) return 0;
        for (const Event& it : events_) {
          if (it.revision <= after || it.key.rfind(prefix, 0) != 0) continue;
          events.push_back(it.tombstone ? json{{"key", it.key}, {"rev", it.revision}, {"tombstone", true}}
                                        : JsonOf(it.key, it.item));
        }
        if (!events.empty() || Now() >= end) break;
        changed_.wait_for(lock, std::chrono::duration<double>(end - Now()));
      }
      body = json{{"events", events}, {"currentRev", revision_}}.dump();
      return 200;
    }
    if (path == "/-/kv-lease") {
      const double ttl = json::parse(request.body)["ttlS_time"].get<double>();
      const auto id = ++last_lease_;
      leases_[id] = {ttl, Now() + ttl};
      body = json{{"lease", id}, {"ttlS_time", ttl}}.dump();
      return 200;
    }
    if (path.rfind("/-/kv-keep/", 0) == 0) {
      const auto it = leases_.find(std::atoll(path.c_str() + 11));
      if (it == leases_.end()) return 404;
      it->second.ends = Now() + it->second.ttl;
      body = json{{"ttlS_time", it->second.ttl}}.dump();
      return 200;
    }
    if (path == "/-/kv-txn") {
      const json call = json::parse(request.body);
      for (const auto& it : call["expect"]) {
        const auto item = items_.find(it["key"].get<std::string>());
        if ((item == items_.end() ? 0 : item->second.revision) != it["rev"].get<std::int64_t>()) {
          body = "{\"items\":[]}";
          return 412;
        }
      }
      for (const auto& it : call["setKeys"]) {
        const auto lease = it.value("lease", std::int64_t{0});
        if (lease != 0 && leases_.count(lease) == 0) return 404;
      }
      for (const auto& it : call["setKeys"]) {
        PutItem(it["key"].get<std::string>(), FromBase64(it["value"].get<std::string>()), it.value("lease", std::int64_t{0}));
        LOG("store: %s puts %s", doors_[static_cast<std::size_t>(door)].name.c_str(), it["key"].get<std::string>().c_str());
      }
      for (const auto& it : call["deleteKeys"]) RemoveItem(it.get<std::string>());
      body = json{{"rev", revision_}}.dump();
      return 200;
    }
    return 404;
  }

  std::string ip_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Door> doors_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 7000;
  bool down_ = false;
  double down_since_ = 0;
};

// A server (PROTOCOL.md, "Servers" and "Service discovery").
class Server {
 public:
  // Handles a request that this server has accepted; false closes the connection.
  using Handler = std::function<bool(Server&, const ConnPtr&, const Message&)>;

  Server(Store& store, std::string ip, std::string id, std::string service, std::string zone, Handler handler)
      : store_(store), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), handler_(std::move(handler)),
        born_(WallMs()), listener_(std::move(ip), [this](const ConnPtr& conn) { Serve(conn); }) {}

  void Report(const std::string& state) {
    store_.Put("servers/" + id_, json{{"address", listener_.address()},
                                      {"born", born_},
                                      {"info", {{"backend", service_}, {"version", "v1"}, {"zone", zone_}, {"slots", 9}}},
                                      {"status", {{"state", state}, {"seq", ++sequence_}, {"coldLeftS", 0}}}}
                                     .dump());
  }
  void Leave() { store_.Remove("servers/" + id_); }
  const std::string& id() const { return id_; }

  static std::string Text(const Message& request, int status, const std::string& body, const std::string& fields = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Attempt-Id: " + request.Header("X-Attempt-Id") +
           "\r\nX-Response-Seal: seal." + request.Header("X-Attempt-Id") + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  void Serve(const ConnPtr& conn) {
    Message request;
    while (conn->Read(request, 1000, false)) {
      const std::string expected = request.Header("X-Expect-Instance");
      if (!expected.empty() && expected != id_) {
        if (!conn->Write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
      if (!handler_(*this, conn, request)) return;
    }
  }

  Store& store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  Handler handler_;
  std::int64_t born_;
  std::int64_t sequence_ = 0;
  Listener listener_;
};

struct Zone {
  std::string name;
  std::string region;
};

// The program of the deploy file's role `gateway`, run as the platform runs it.
class Gateway {
 public:
  Gateway(Store& store, std::string node, const Zone& zone, const std::vector<Zone>& zones, std::string ip)
      : node_(std::move(node)), ip_(std::move(ip)), door_(store.AddDoor(node_)) {
    char path[] = "/tmp/review-XXXXXX";
    directory_ = mkdtemp(path);
    front_ = FreePort(ip_);
    ready_ = FreePort(ip_);
    control_ = FreePort(ip_);
    lookup_ = FreePort(ip_);
    settings_ = "node=" + node_ + "\nrole=gateway\nmachineClass=edge\nserves=edge,control,directory\nip=" + ip_ + "\nzone=" + zone.name +
                "\nregion=" + zone.region + "\n";
    for (const Zone& it : zones) settings_ += "zones." + it.name + "=" + it.region + "\n";
    settings_ += "listen.front=" + ip_ + ":" + std::to_string(front_) + "\nlisten.ready=" + ip_ + ":" + std::to_string(ready_) +
                 "\nlisten.control=" + control() + "\nlisten.directory=" + ip_ + ":" + std::to_string(lookup_) +
                 "\nbootstrap=true\nlimits.cpuShare=0.2\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
                 "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=directory\nheartbeatS=1.5\n"
                 "tolerate.nodes=1\ntolerate.zones=1\ntolerate.regions=1\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactS=4\n"
                 "bounds.ackS=5\nbounds.syncS=4\nbounds.drainS=2.5\nbounds.graceS=6\nbounds.lossSlackS=0.2\nbounds.configS=2.5\n"
                 "bounds.downgradeS=0.25\nbounds.skewMaxS=6\nbounds.retryBudget=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=58\n"
                 "bounds.coldOverage=1.5\nbounds.coldSlack=5\nbounds.evacuateS=5\nbounds.recoveryS=15\nbounds.ttl_max_s=5\n"
                 "bounds.maxShift=0.15\nprovider.address=" +
                 store.AddressOfDoor(door_) +
                 "\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\n"
                 "provider.valueBytes=1048576\nprovider.ttlMinS=1\n";
  }
  ~Gateway() { Kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start(const std::string& seeds = {}) {
    std::FILE* file = std::fopen((directory_ + "/settings.conf").c_str(), "w");
    std::fprintf(file, "%sseeds=%s\n", settings_.c_str(), seeds.c_str());
    std::fclose(file);
    // All that needs memory is prepared before the fork, since other threads may hold the allocator's lock.
    std::string program = "target/vanilladeck-gateway";
    if (const char* other = std::getenv("GATEWAY")) program = other;
    std::string variable = "VANILLADECK_SETTINGS=" + directory_ + "/settings.conf";
    std::vector<char*> variables{variable.data()};
    for (char** it = environ; *it != nullptr; ++it) variables.push_back(*it);
    variables.push_back(nullptr);
    char* arguments[] = {program.data(), nullptr};
    const std::string log = directory_ + "/out";
    pid_ = fork();
    if (pid_ == 0) {
      (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 4096; ++fd) close(fd);
      execve(program.c_str(), arguments, variables.data());
      _exit(127);
    }
    LOG("%s: started, process %d, front %s:%d", node_.c_str(), static_cast<int>(pid_), ip_.c_str(), front_);
  }
  void Signal(int number) {
    LOG("%s: signal %d", node_.c_str(), number);
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    (void)waitpid(pid_, nullptr, 0);
    LOG("%s: killed", node_.c_str());
    pid_ = -1;
    RemoveFiles();
  }
  // True once the process has ended; `status` is that of `waitpid`.
  bool Ended(int& status) {
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  bool IsReady() const {
    const auto conn = Connect(ip_, ready_);
    Message answer;
    return conn && conn->Write("GET /-/readyz HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n") && conn->Read(answer, 1, true) &&
           answer.Status() == 200;
  }
  bool WaitReady(double timeout_s) const {
    const double end = Now() + timeout_s;
    while (Now() < end) {
      if (IsReady()) return true;
      SleepS(0.05);
    }
    return false;
  }
  // Addresses of an answer of the directory; empty on failure.
  std::vector<std::string> Resolve(const std::string& host, const Zone& zone) const {
    const auto conn = Connect(ip_, lookup_);
    Message answer;
    if (!conn || !conn->Write("GET /-/resolve?name=" + host + "&region=" + zone.region + "&zone=" + zone.name +
                              " HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n")) {
      return {};
    }
    if (!conn->Read(answer, 1, true) || answer.Status() != 200) return {};
    return json::parse(answer.body)["addresses"].get<std::vector<std::string>>();
  }
  const std::string& node() const { return node_; }
  const std::string& ip() const { return ip_; }
  int front() const { return front_; }
  std::string front_address() const { return ip_ + ":" + std::to_string(front_); }
  std::string control() const { return ip_ + ":" + std::to_string(control_); }
  int door() const { return door_; }
  pid_t pid() const { return pid_; }

 private:
  void RemoveFiles() const {
    if (std::getenv("KEEP_LOGS") != nullptr) return;
    (void)unlink((directory_ + "/settings.conf").c_str());
    (void)unlink((directory_ + "/out").c_str());
    (void)rmdir(directory_.c_str());
  }

  std::string node_;
  std::string ip_;
  int door_;
  std::string directory_;
  std::string settings_;
  int front_ = 0;
  int ready_ = 0;
  int control_ = 0;
  int lookup_ = 0;
  pid_t pid_ = -1;
};

inline json RouteOf(const std::string& name, const std::string& host, const std::string& prefix, const std::string& kind,
                    const std::string& backend, double timeout_s, double slo_s) {
  return {{"type", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", host},
            {"prefix", prefix},
            {"kind", kind},
            {"timeoutS", timeout_s},
            {"sloS", slo_s},
            {"priority", 1},
            {"backend", backend},
            {"attempts", 2},
            {"sessionAffinity", true},
            {"allowedRegions", json::array()}}}};
}

inline std::string ConfigOf(int version, json resources, const std::vector<std::string>& backends) {
  for (const auto& it : backends) {
    resources.push_back({{"type", "backends"},
                         {"metadata", {{"name", it}}},
                         {"spec",
                          {{"healthPath", "/healthz"},
                           {"maxConns", 330},
                           {"protocol", "h1"},
                           {"tls", false},
                           {"coldS", 3.0},
                           {"coldPerS", 8.8}}}});
  }
  resources.push_back({{"type", "limits"},
                       {"metadata", json::object()},
                       {"spec", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}}}});
  char text[16];
  std::snprintf(text, sizeof(text), "%08x", static_cast<unsigned>(version));
  return json{{"version", text}, {"resources", resources}}.dump();
}

inline std::string RequestText(const std::string& method, const std::string& host, const std::string& path, const std::string& id,
                               int deadline_ms, const std::string& body = {}) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
