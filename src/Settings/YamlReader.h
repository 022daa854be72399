#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace robinrun {

/// \brief What is wrong with a settings file, and where.
struct SettingsError {
    std::string file;
    int line = 0; ///< from 1; 0 when the whole file is meant
    std::string field; ///< path, as in `listen.callers`
    std::string message;
    std::string text() const;
};

/// \brief Reads one map of a settings file by field; collects every error instead of stopping at the first.
///
/// Each accessor marks its field as known; finish() reports those that no accessor asked for.
class YamlReader {
public:
    /// \brief Parses \a file. A file that can't be read leaves one error and an empty map.
    static YamlReader open(const std::string& file);

    /// \brief A map inside this one; missing: an empty map.
    YamlReader section(const std::string& field);

    std::string text(const std::string& field, const std::optional<std::string>& standard = std::nullopt);
    /// \brief `ip:port` of an IPv4 address.
    std::string address(const std::string& field, const std::optional<std::string>& standard = std::nullopt);
    std::uint64_t count(
        const std::string& field, std::uint64_t min, std::uint64_t max, std::uint64_t standard);
    double number(const std::string& field, double min, double max, double standard);
    bool flag(const std::string& field, bool standard);
    /// \brief A number with a unit: us, ms, s, min, h.
    Duration duration(const std::string& field, Duration min, Duration max, Duration standard);
    /// \brief A number with a unit: B, KiB, MiB, GiB.
    std::uint64_t bytes(
        const std::string& field, std::uint64_t min, std::uint64_t max, std::uint64_t standard);
    std::map<std::string, std::string> textMap(const std::string& field);
    std::vector<std::string> addresses(const std::string& field);
    /// \brief The maps of a list, each a section of its own.
    std::vector<YamlReader> sections(const std::string& field);

    template <class E> E choice(const std::string& field, E standard)
    {
        const auto name = text(field, std::string(nameOf(standard)));
        const auto found = parseEnum<E>(name);
        if (!found)
            fail(field, "'" + name + "' is not one of " + namesOf<E>());
        return found.value_or(standard);
    }

    /// \brief Reports fields that nobody asked for.
    void finish();

    void fail(const std::string& field, const std::string& message);

    /// \returns all errors so far, of this map and the sections of it.
    const std::vector<SettingsError>& errors() const { return *m_errors; }

private:
    YamlReader(const YAML::Node& node, std::string file, std::string path,
        std::shared_ptr<std::vector<SettingsError>> errors);

    template <class E> static std::string namesOf()
    {
        std::string all;
        for (const auto& it : EnumNames<E>::names)
            all += (all.empty() ? "" : ", ") + std::string(it);
        return all;
    }

    /// \brief A number with a unit, by a table of units and their factors.
    struct Unit {
        std::string_view name;
        double factor;
    };
    std::optional<double> withUnit(const std::string& field, const std::vector<Unit>& units);
    YAML::Node get(const std::string& field);
    std::string pathOf(const std::string& field) const;

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    std::set<std::string> m_known;
    std::shared_ptr<std::vector<SettingsError>> m_errors;
};

} // namespace robinrun
