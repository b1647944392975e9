// Names of the records in the state service.
#pragma once
#include <cstdint>
#include <string>

#include "base/types.h"

namespace zincdyke {

namespace keys {
inline const std::string live = "z/";
std::string job(const JobId& id);
std::string page(const JobId& id, std::uint32_t n);
std::string small_page(const JobId& id, std::uint32_t n);
std::string final_state(const JobId& id);
std::string node(const NodeName& n);
std::string shard(std::uint32_t k);
std::string team_lock(const TeamName& t);
inline const std::string autoscaler_leader = "z/s";
inline const std::string machine_types = "z/f";
// What a controller's version of the program understands, and the format level that the fleet writes.
std::string known_format(const NodeName& n);
inline const std::string format_level = "z/l";
// The job whose page this is the key of; empty for other keys.
JobId job_of_page(const std::string& key);
}  // namespace keys

}  // namespace zincdyke
