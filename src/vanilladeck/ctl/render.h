#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// Text for people made from the JSON answers of the operators' listeners.
namespace vanilladeck::ctl {

/// Columns padded to their widest cell; the first row is the heading.
[[nodiscard]] std::string RenderTable(const std::vector<std::vector<std::string>>& rows);

[[nodiscard]] std::string RenderStatus(const nlohmann::json& status);
[[nodiscard]] std::string RenderHistory(const nlohmann::json& history);
[[nodiscard]] std::string RenderExplanation(const nlohmann::json& explanation);
[[nodiscard]] std::string RenderApply(const nlohmann::json& answer);
/// `{"error","message"}` answers.
[[nodiscard]] std::string RenderError(const nlohmann::json& answer);

/// Text of the field; numbers are printed, missing ones are empty.
[[nodiscard]] std::string Field(const nlohmann::json& json, const char* key);

}  // namespace vanilladeck::ctl
