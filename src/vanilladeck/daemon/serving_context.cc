#include "vanilladeck/daemon/serving_context.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "vanilladeck/telemetry/event.h"

namespace vanilladeck::daemon {

ServingContext::ServingContext(boost::asio::io_context& io_context, Settings daemon_settings,
                               core::InstanceId self_id, core::Mailbox<ToControl>& control)
    : io(io_context),
      settings(std::move(daemon_settings)),
      self(std::move(self_id)),
      control_(control) {
  const std::string& path = settings.telemetry.spans_file;
  if (path.empty()) return;
  auto writer = telemetry::SpanWriter::Create(path, self.address);
  if (writer.has_value()) {
    spans = std::move(writer.value());
  } else {
    telemetry::Log(telemetry::Event::kSpansFileFailed, path);
  }
}

bool ServingContext::PostToControl(ToControl message) {
  if (control_.TryPush(std::move(message))) return true;
  telemetry::Log(telemetry::Event::kControlMailboxFull);
  return false;
}

std::string ServingContext::NextRequestId() {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << self.incarnation << '-' << NextId();
  return text.str();
}

core::TimePoint ServingContext::SeatsValidUntil() const noexcept {
  const std::int64_t ns = snapshot ? snapshot->seats_valid_until_ns : 0;
  return core::TimePoint(core::Duration(ns));
}

std::string ServingContext::OwnRegion() const {
  if (!HasConfiguration()) return {};
  const auto& domains = snapshot->deployment->failure_domains;
  const auto it = std::find_if(domains.begin(), domains.end(), [this](const auto& domain) {
    return domain.name == settings.failure_domain;
  });
  return it == domains.end() ? std::string{} : it->region;
}

void ServingContext::FinishSpan(telemetry::Span& span) {
  span.end = core::RuntimeClock::now();
  if (spans) spans->Write(span);
}

}  // namespace vanilladeck::daemon
