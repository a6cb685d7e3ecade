#include "vanilladeck/telemetry/event.h"

#include <glog/logging.h>

#include <string>

namespace vanilladeck::telemetry {

void Log(Event event, std::string_view detail) {
  const EventProperties& properties = Properties(event);
  std::string line = "VD" + std::to_string(properties.number) + " ";
  line += properties.name;
  line += ": ";
  line += properties.text;
  if (!detail.empty()) {
    line += ": ";
    line += detail;
  }
  switch (properties.severity) {
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
