#include "vanilladeck/telemetry/event_stream.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::telemetry {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;
// Longer lines are truncated, so that a string sent by a client cannot fill the buffer.
constexpr std::size_t kMaxLineBytes = 4096;

}  // namespace

EventStream::EventStream(int fd, std::string instance, StreamLimits limits)
    : fd_(fd), instance_(std::move(instance)), limits_(limits) {}

bool EventStream::Sampled(std::string_view request_id) noexcept {
  return core::Hash64(request_id) % kSampleEvery == 0;
}

void EventStream::Write(StreamEvent event, const nlohmann::ordered_json& fields) {
  const auto index = static_cast<std::size_t>(event);
  const std::int64_t wall_ms = core::RuntimeClock::WallMs();
  RateWindow& window = windows_[index];
  if (window.second != wall_ms / kMsPerSecond) window = {wall_ms / kMsPerSecond, 0};
  if (++window.lines > limits_.max_lines_per_second || buffer_.size() >= limits_.buffer_bytes) {
    ++dropped_[index];
    ++dropped_total_;
    any_dropped_ = true;
    return;
  }
  nlohmann::ordered_json line{
      {"t", wall_ms}, {"event", kStreamEventNames[index]}, {"instance", instance_}};
  line.update(fields);
  std::string text = line.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
  if (text.size() > kMaxLineBytes) {
    line = {{"t", wall_ms},
            {"event", kStreamEventNames[index]},
            {"instance", instance_},
            {"cut", text.substr(0, kMaxLineBytes / 2)}};
    text = line.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
  }
  Append(text);
}

void EventStream::Append(const std::string& line) {
  buffer_ += line;
  buffer_ += '\n';
}

void EventStream::Flush() {
  if (any_dropped_ && buffer_.size() < limits_.buffer_bytes / 2) {
    nlohmann::ordered_json line{
        {"t", core::RuntimeClock::WallMs()}, {"event", "dropped"}, {"instance", instance_}};
    for (std::size_t i = 0; i < dropped_.size(); ++i) {
      if (dropped_[i] > 0) line[std::string(kStreamEventNames[i])] = dropped_[i];
    }
    dropped_.fill(0);
    any_dropped_ = false;
    Append(line.dump());
  }
  while (!buffer_.empty()) {
    // The descriptor is shared with other processes, so it is polled rather than set to
    // O_NONBLOCK. A writable pipe accepts PIPE_BUF bytes without blocking.
    constexpr std::size_t kChunkBytes = 4096;
    pollfd poll_fd{fd_, POLLOUT, 0};
    if (poll(&poll_fd, 1, 0) <= 0 || (poll_fd.revents & POLLOUT) == 0) return;
    const ssize_t n = write(fd_, buffer_.data(), std::min(buffer_.size(), kChunkBytes));
    if (n <= 0) return;
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace vanilladeck::telemetry
