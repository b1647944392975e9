#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

int main(int argc, char** argv) {
    ::testing::InitGoogleTest(&argc, argv);
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(spdlog::level::from_str(level != nullptr ? level : "off"));
    return RUN_ALL_TESTS();
}
