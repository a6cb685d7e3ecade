#include "vanilladeck/telemetry/event.h"

#include <glog/logging.h>

#include <string>

namespace vanilladeck::telemetry {

void Log(Event event, std::string_view detail) {
  const EventKind& kind = Kind(event);
  std::string line = "VD" + std::to_string(kind.number) + " ";
  line += kind.name;
  line += ": ";
  line += kind.text;
  if (!detail.empty()) {
    line += ": ";
    line += detail;
  }
  switch (kind.severity) {
    case Severity::kInfo:
      LOG(INFO) << line;
      break;
    case Severity::kWarning:
      LOG(WARNING) << line;
      break;
    case Severity::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace vanilladeck::telemetry
