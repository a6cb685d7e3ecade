#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// Human-readable text from the JSON responses of the operators' listeners.
namespace vanilladeck::ctl {

/// Pads the columns to their widest cell; the first row is the heading.
[[nodiscard]] std::string RenderTable(const std::vector<std::vector<std::string>>& rows);

[[nodiscard]] std::string RenderStatus(const nlohmann::json& status);
[[nodiscard]] std::string RenderHistory(const nlohmann::json& history);
[[nodiscard]] std::string RenderExplanation(const nlohmann::json& explanation);
[[nodiscard]] std::string RenderApply(const nlohmann::json& response);
/// Renders a response of the form `{"error","message"}`.
[[nodiscard]] std::string RenderError(const nlohmann::json& response);

/// Value of the field as text; empty when the field is missing, null or an array.
[[nodiscard]] std::string Field(const nlohmann::json& json, const char* key);

}  // namespace vanilladeck::ctl
