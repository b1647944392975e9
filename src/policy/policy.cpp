#include "policy/policy.h"

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <lua.hpp>
#include <memory>
#include <sstream>

namespace zincdyke {
namespace {

using Code = PolicyError::Code;

constexpr std::size_t max_memory_bytes = std::size_t{4} * 1024 * 1024;
constexpr int max_instructions = 2'000'000;
constexpr std::size_t max_script_bytes = std::size_t{256} * 1024;

struct MemoryUsage {
    std::size_t used_bytes = 0;
};

// Allocates memory for Lua (see lua_Alloc in the Lua manual). Returns null if the interpreter would use more
// than `max_memory_bytes`. `user_data` points to the interpreter's MemoryUsage.
void* allocate_limited(void* user_data, void* old_block, std::size_t old_size, std::size_t new_size) {
    auto* usage = static_cast<MemoryUsage*>(user_data);
    // If there is no old block, Lua passes the type of the new object as `old_size`.
    std::size_t old_bytes = old_block != nullptr ? old_size : 0;
    if (new_size == 0) {
        usage->used_bytes -= old_bytes;
        std::free(old_block);
        return nullptr;
    }
    if (new_size > old_bytes && usage->used_bytes + (new_size - old_bytes) > max_memory_bytes) return nullptr;
    void* new_block = std::realloc(old_block, new_size);
    if (new_block != nullptr) usage->used_bytes += new_size - old_bytes;
    return new_block;
}

// Maps a setting's name in the policy script to its member of Policy, and defines its allowed range.
struct SettingDefinition {
    const char* name;
    double Policy::*member;
    double min_value, max_value;
};
constexpr SettingDefinition setting_definitions[] = {
    {"idle_keep_s", &Policy::min_idle_s, 0, 86400},
    {"idle_keep_boots", &Policy::min_idle_boot_times, 0, 100},
    {"silent_keep_s", &Policy::silent_grace_s, 0, 86400},
    {"boot_limit", &Policy::boot_timeout_factor, 1, 100},
    {"refused_pause_s", &Policy::no_capacity_pause_s, 1, 3600},
    {"patience", &Policy::max_wait_factor, 0, 100},
    {"reserve", &Policy::standby_factor, 0, 100},
    {"preempt_loss_s", &Policy::max_lost_work_s, 0, 86400},
};

// Returns the setting that is named `key` in policy scripts. Throws PolicyError if there is none.
const SettingDefinition& find_setting(const std::string& key, const std::string& script_name) {
    for (const auto& setting : setting_definitions)
        if (key == setting.name) return setting;
    throw PolicyError(Code::unknown_setting, key, script_name + ": unknown setting '" + key + "'");
}

}  // namespace

Policy parse_policy(const std::string& script, const std::string& name) {
    if (script.size() > max_script_bytes)
        throw PolicyError(Code::script_too_large, "", name + ": script is over 256 KiB");
    MemoryUsage usage;
    std::unique_ptr<lua_State, decltype(&lua_close)> owner(lua_newstate(allocate_limited, &usage), lua_close);
    if (!owner) throw PolicyError(Code::out_of_memory, "", name + ": not enough memory for Lua");
    lua_State* lua = owner.get();
    // Scripts get only these libraries: none of them can access files or processes, or load other code.
    luaL_requiref(lua, "math", luaopen_math, 1);
    luaL_requiref(lua, "string", luaopen_string, 1);
    luaL_requiref(lua, "table", luaopen_table, 1);
    lua_settop(lua, 0);
    lua_sethook(
        lua, [](lua_State* running, lua_Debug*) { luaL_error(running, "runs too long"); }, LUA_MASKCOUNT,
        max_instructions);
    if (luaL_loadbufferx(lua, script.data(), script.size(), name.c_str(), "t") != LUA_OK ||
        lua_pcall(lua, 0, 1, 0) != LUA_OK) {
        const char* error = lua_tostring(lua, -1);
        throw PolicyError(Code::script_failed, "",
                          name + ": " + (error != nullptr ? error : "script failed"));
    }
    if (!lua_istable(lua, -1))
        throw PolicyError(Code::not_a_table, "", name + ": must return a table of settings");
    Policy policy;
    // The loop must not assign to the table's fields: that would disturb lua_next.
    for (lua_pushnil(lua); lua_next(lua, -2) != 0; lua_pop(lua, 1)) {
        if (lua_type(lua, -2) != LUA_TSTRING)
            throw PolicyError(Code::unknown_setting, "", name + ": keys must be names of settings");
        std::string key = lua_tostring(lua, -2);
        const SettingDefinition& setting = find_setting(key, name);
        double value = lua_type(lua, -1) == LUA_TNUMBER ? lua_tonumber(lua, -1) : std::nan("");
        if (!(value >= setting.min_value && value <= setting.max_value)) {
            std::ostringstream message;
            message << name << ": setting '" << key << "' must be a number from " << setting.min_value
                    << " to " << setting.max_value;
            throw PolicyError(Code::invalid_value, key, message.str());
        }
        policy.*(setting.member) = value;
    }
    return policy;
}

Policy load_policy(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw PolicyError(Code::unreadable_file, "", "cannot read policy file '" + path + "'");
    std::ostringstream script;
    script << file.rdbuf();
    return parse_policy(script.str(), path);
}

}  // namespace zincdyke
