#pragma once

#include <map>
#include <string>

namespace robinrun::support {

/// \returns the whole text of the file at \a path. \throws std::runtime_error.
std::string readFile(const std::string& path);

/// \returns the part of an ip:port behind the colon.
std::string portOf(const std::string& address);

/// \brief Fills the gaps of a settings template as the platform does; a section stands if its field is given.
/// \throws std::runtime_error if a gap has no field.
std::string fillTemplate(std::string text, const std::map<std::string, std::string>& fields);

} // namespace robinrun::support
