// Logging on standard error, in key=value form.
#pragma once
#include <spdlog/spdlog.h>

namespace zd::log {
using spdlog::debug;
using spdlog::error;
using spdlog::info;
using spdlog::warn;
void setup(const std::string& node);
}  // namespace zd::log
