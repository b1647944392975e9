// Logging on standard error, in key=value form.
#pragma once
#include <spdlog/spdlog.h>

namespace zincdyke::log {
using spdlog::debug;
using spdlog::error;
using spdlog::info;
using spdlog::warn;
void setup(const std::string& node);
}  // namespace zincdyke::log
