#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>

namespace zincdyke::log {
void setup(const std::string& node) {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    auto logger = std::make_shared<spdlog::logger>(node, sink);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l node=%n %v");
    const char* level = std::getenv("LOG_LEVEL");
    logger->set_level(spdlog::level::from_str(level != nullptr ? level : "info"));
    logger->flush_on(spdlog::level::debug);
    spdlog::set_default_logger(std::move(logger));
}
}  // namespace zincdyke::log
