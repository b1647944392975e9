// Names of the records in the state service.
#pragma once
#include <cstdint>
#include <string>

#include "base/types.h"

namespace zd {

namespace keys {
inline const std::string live = "z/";
std::string job(const JobId& id);
std::string page(const JobId& id, std::uint32_t n);
std::string small_page(const JobId& id, std::uint32_t n);
std::string final_state(const JobId& id);
std::string node(const NodeName& n);
std::string part(std::uint32_t k);
std::string team(const TeamName& t);
inline const std::string supplier = "z/s";
inline const std::string types = "z/f";
// What a controller's version of the program understands, and the format level that the fleet writes.
std::string known_format(const NodeName& n);
inline const std::string format_level = "z/l";
// The job whose page this is the key of; empty for other keys.
JobId job_of_page(const std::string& key);
}  // namespace keys

}  // namespace zd
