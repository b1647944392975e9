/// Logging to standard error as key=value pairs.
#pragma once
#include <spdlog/spdlog.h>

namespace zincdyke::log {
using spdlog::debug;
using spdlog::error;
using spdlog::info;
using spdlog::warn;
/// Installs the default logger, which adds the node's name to every line. The environment variable LOG_LEVEL
/// sets the minimum level; the default is info.
void setup(const std::string& node);
}  // namespace zincdyke::log
