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

constexpr std::size_t most_memory = std::size_t{4} * 1024 * 1024;
constexpr int most_steps = 2'000'000;
constexpr std::size_t most_script = std::size_t{256} * 1024;

struct Bound {
    std::size_t used = 0;
};

// Lua's allocator: an interface like realloc's.
void* bounded_alloc(void* ud, void* ptr, std::size_t old_size, std::size_t new_size) {
    auto* b = static_cast<Bound*>(ud);
    std::size_t held = ptr != nullptr ? old_size : 0;
    if (new_size == 0) {
        b->used -= held;
        std::free(ptr);
        return nullptr;
    }
    if (new_size > held && b->used + (new_size - held) > most_memory) return nullptr;
    void* p = std::realloc(ptr, new_size);
    if (p != nullptr) b->used += new_size - held;
    return p;
}

struct Field {
    const char* name;
    double Policy::*at;
    double low, high;
};
constexpr Field fields[] = {
    {"idle_keep_s", &Policy::min_idle_s, 0, 86400},
    {"idle_keep_boots", &Policy::min_idle_boot_times, 0, 100},
    {"silent_keep_s", &Policy::silent_grace_s, 0, 86400},
    {"boot_limit", &Policy::boot_timeout_factor, 1, 100},
    {"refused_pause_s", &Policy::no_capacity_pause_s, 1, 3600},
    {"patience", &Policy::max_wait_factor, 0, 100},
    {"reserve", &Policy::standby_factor, 0, 100},
    {"preempt_loss_s", &Policy::max_lost_work_s, 0, 86400},
};

// The setting of this name; throws when there is none.
const Field& field_named(const std::string& key, const std::string& script) {
    for (const auto& field : fields)
        if (key == field.name) return field;
    throw PolicyError(Code::unknown_setting, key, script + ": unknown setting '" + key + "'");
}

}  // namespace

Policy parse_policy(const std::string& script, const std::string& name) {
    if (script.size() > most_script)
        throw PolicyError(Code::script_too_large, "", name + ": script is over 256 KiB");
    Bound bound;
    std::unique_ptr<lua_State, decltype(&lua_close)> state(lua_newstate(bounded_alloc, &bound), lua_close);
    if (!state) throw PolicyError(Code::out_of_memory, "", name + ": no memory for Lua");
    lua_State* L = state.get();
    // Calculation only: no files, no processes, no loading of further code.
    luaL_requiref(L, "math", luaopen_math, 1);
    luaL_requiref(L, "string", luaopen_string, 1);
    luaL_requiref(L, "table", luaopen_table, 1);
    lua_settop(L, 0);
    lua_sethook(
        L, [](lua_State* l, lua_Debug*) { luaL_error(l, "runs too long"); }, LUA_MASKCOUNT, most_steps);
    if (luaL_loadbufferx(L, script.data(), script.size(), name.c_str(), "t") != LUA_OK ||
        lua_pcall(L, 0, 1, 0) != LUA_OK) {
        const char* why = lua_tostring(L, -1);
        throw PolicyError(Code::script_failed, "", name + ": " + (why != nullptr ? why : "failed"));
    }
    if (!lua_istable(L, -1))
        throw PolicyError(Code::not_a_table, "", name + ": must return a table of settings");
    Policy p;
    // lua_next is safe here: the table's keys are not touched, and a script's metatables are not consulted.
    for (lua_pushnil(L); lua_next(L, -2) != 0; lua_pop(L, 1)) {
        if (lua_type(L, -2) != LUA_TSTRING)
            throw PolicyError(Code::unknown_setting, "", name + ": keys must be names of settings");
        std::string key = lua_tostring(L, -2);
        const Field& field = field_named(key, name);
        double v = lua_type(L, -1) == LUA_TNUMBER ? lua_tonumber(L, -1) : std::nan("");
        if (!(v >= field.low && v <= field.high)) {
            std::ostringstream s;
            s << name << ": setting '" << key << "' must be a number from " << field.low << " to "
              << field.high;
            throw PolicyError(Code::invalid_value, key, s.str());
        }
        p.*(field.at) = v;
    }
    return p;
}

Policy load_policy(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw PolicyError(Code::unreadable_file, "", "cannot read policy file '" + path + "'");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_policy(text.str(), path);
}

}  // namespace zincdyke
