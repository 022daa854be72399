#pragma once

#include "Mesh/Configuration.h"
#include "Mesh/MeshFormats.h"
#include "Platform/RecordStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinrun {

/// \brief Holds the configuration in force at this node. Its version only increases while the process runs.
///
/// The original text is kept too, for peers that cannot reach the store. Cost: memory for the text, as
/// written and parsed.
class ConfigHolder {
public:
    /// \brief Adopts \a text if it is a newer version than the one in force. A text that cannot be parsed is
    /// logged, and the configuration in force stays.
    /// \param text the configuration as written.
    /// \param source where the text came from, for the log.
    /// \param formats reads the text.
    /// \returns whether the text was adopted. Cost: the full text is parsed unless it equals the one in
    /// force.
    bool adoptIfNewer(std::string_view text, std::string_view source, const MeshFormats& formats);

    /// \brief Adopts the record with the highest version that can be parsed, regardless of the order of \a
    /// records. Texts without a version are tried first, so that they are logged.
    /// \returns whether a record was adopted.
    bool adoptNewest(
        const std::vector<KeyedRecord>& records, std::string_view source, const MeshFormats& formats);

    bool hasConfiguration() const { return m_current.has_value(); }
    std::uint64_t version() const { return m_current ? m_current->version : 0; }
    const std::optional<Configuration>& current() const { return m_current; }
    const std::string& text() const { return m_text; }

private:
    enum class AdoptionResult {
        Unreadable,
        NotNewer, ///< parsed, but not newer than the version in force
        Adopted,
    };

    AdoptionResult tryAdopt(std::string_view text, std::string_view source, const MeshFormats& formats);

    std::optional<Configuration> m_current;
    std::string m_text;
};

} // namespace robinrun
