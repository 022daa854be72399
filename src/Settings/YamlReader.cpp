#include "Settings/YamlReader.h"

#include "Config/Validator.h"

#include <cmath>
#include <cstdlib>

namespace robinrun {

std::string SettingsError::text() const
{
    auto s = file + ":" + std::to_string(line) + ": ";
    if (!field.empty())
        s += field + ": ";
    return s + message;
}

YamlReader::YamlReader(const YAML::Node& node, std::string file, std::string path,
    std::shared_ptr<std::vector<SettingsError>> errors)
    : m_node(node)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_errors(std::move(errors))
{
}

YamlReader YamlReader::open(const std::string& file)
{
    auto errors = std::make_shared<std::vector<SettingsError>>();
    YAML::Node node(YAML::NodeType::Map);
    try {
        node = YAML::LoadFile(file);
        if (!node.IsMap())
            errors->push_back({ file, node.Mark().line + 1, "", "a map of settings is expected" });
    } catch (const YAML::BadFile&) {
        errors->push_back({ file, 0, "", "can't be read" });
    } catch (const YAML::Exception& ex) {
        errors->push_back({ file, ex.mark.line + 1, "", ex.msg });
    }
    if (!node.IsMap())
        node = YAML::Node(YAML::NodeType::Map);
    return { node, file, "", errors };
}

std::string YamlReader::pathOf(const std::string& field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void YamlReader::fail(const std::string& field, const std::string& message)
{
    const YAML::Node node = std::as_const(m_node)[field];
    const int line = node.IsDefined() ? node.Mark().line : m_node.Mark().line;
    m_errors->push_back({ m_file, line + 1, pathOf(field), message });
}

YAML::Node YamlReader::get(const std::string& field)
{
    m_known.insert(field);
    const YAML::Node node = std::as_const(m_node)[field];
    return node.IsDefined() ? node : YAML::Node(YAML::NodeType::Undefined);
}

YamlReader YamlReader::section(const std::string& field)
{
    auto node = get(field);
    if (node.IsDefined() && !node.IsMap())
        fail(field, "a map is expected");
    if (!node.IsDefined() || !node.IsMap())
        node = YAML::Node(YAML::NodeType::Map);
    return { node, m_file, pathOf(field), m_errors };
}

std::string YamlReader::text(const std::string& field, const std::optional<std::string>& standard)
{
    const auto node = get(field);
    if (!node.IsDefined()) {
        if (!standard)
            fail(field, "is missing");
        return standard.value_or("");
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        fail(field, "a text is expected");
        return standard.value_or("");
    }
    return node.Scalar();
}

std::string YamlReader::address(const std::string& field, const std::optional<std::string>& standard)
{
    auto s = text(field, standard);
    if (!s.empty() && !isIpv4Endpoint(s))
        fail(field, "'" + s + "' is not an IPv4 address and port");
    return s;
}

double YamlReader::number(const std::string& field, double min, double max, double standard)
{
    const auto node = get(field);
    if (!node.IsDefined())
        return standard;
    double x = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, x) || !std::isfinite(x)) {
        fail(field, "a number is expected");
        return standard;
    }
    if (x < min || x > max) {
        fail(field, "must be from " + std::to_string(min) + " to " + std::to_string(max));
        return standard;
    }
    return x;
}

std::uint64_t YamlReader::count(
    const std::string& field, std::uint64_t min, std::uint64_t max, std::uint64_t standard)
{
    const double x
        = number(field, static_cast<double>(min), static_cast<double>(max), static_cast<double>(standard));
    if (x != std::floor(x)) {
        fail(field, "a whole number is expected");
        return standard;
    }
    return static_cast<std::uint64_t>(x);
}

bool YamlReader::flag(const std::string& field, bool standard)
{
    const auto node = get(field);
    if (!node.IsDefined())
        return standard;
    bool x = standard;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, x))
        fail(field, "true or false is expected");
    return x;
}

std::optional<double> YamlReader::withUnit(const std::string& field, const std::vector<Unit>& units)
{
    const auto node = get(field);
    if (!node.IsDefined())
        return std::nullopt;
    const auto s = node.IsScalar() ? node.Scalar() : std::string();
    char* end = nullptr;
    const double x = std::strtod(s.c_str(), &end);
    const std::string_view rest = s.empty() ? "" : std::string_view(end);
    for (const auto& it : units) {
        if (end != s.c_str() && rest == it.name && std::isfinite(x))
            return x * it.factor;
    }
    std::string names;
    for (const auto& it : units)
        names += (names.empty() ? "" : ", ") + std::string(it.name);
    fail(field,
        "a number with a unit is expected (" + names + "), as in 30" + std::string(units.front().name));
    return std::nullopt;
}

Duration YamlReader::duration(const std::string& field, Duration min, Duration max, Duration standard)
{
    static const std::vector<Unit> units { { "s", 1 }, { "ms", 1e-3 }, { "us", 1e-6 }, { "min", 60 },
        { "h", 3600 } };
    const auto seconds = withUnit(field, units);
    if (!seconds)
        return standard;
    if (*seconds < toSeconds(min) || *seconds > toSeconds(max)) {
        fail(field,
            "must be from " + std::to_string(toSeconds(min)) + "s to " + std::to_string(toSeconds(max))
                + "s");
        return standard;
    }
    return fromSeconds(*seconds);
}

std::uint64_t YamlReader::bytes(
    const std::string& field, std::uint64_t min, std::uint64_t max, std::uint64_t standard)
{
    static const std::vector<Unit> units { { "KiB", 1024 }, { "B", 1 }, { "MiB", 1048576 },
        { "GiB", 1073741824 } };
    const auto n = withUnit(field, units);
    if (!n)
        return standard;
    if (*n < static_cast<double>(min) || *n > static_cast<double>(max)) {
        fail(field, "must be from " + std::to_string(min) + "B to " + std::to_string(max) + "B");
        return standard;
    }
    return static_cast<std::uint64_t>(*n);
}

std::map<std::string, std::string> YamlReader::textMap(const std::string& field)
{
    std::map<std::string, std::string> out;
    const auto node = get(field);
    if (!node.IsDefined())
        return out;
    if (!node.IsMap()) {
        fail(field, "a map of texts is expected");
        return out;
    }
    for (const auto& it : node) {
        if (it.first.IsScalar() && it.second.IsScalar())
            out[it.first.Scalar()] = it.second.Scalar();
        else
            fail(field, "'" + it.first.Scalar() + "' must be a text");
    }
    return out;
}

std::vector<std::string> YamlReader::addresses(const std::string& field)
{
    std::vector<std::string> out;
    const auto node = get(field);
    if (!node.IsDefined())
        return out;
    if (!node.IsSequence()) {
        fail(field, "a list of addresses is expected");
        return out;
    }
    for (const auto& it : node) {
        if (it.IsScalar() && isIpv4Endpoint(it.Scalar()))
            out.push_back(it.Scalar());
        else
            m_errors->push_back(
                { m_file, it.Mark().line + 1, pathOf(field), "an IPv4 address and port is expected" });
    }
    return out;
}

std::vector<YamlReader> YamlReader::sections(const std::string& field)
{
    std::vector<YamlReader> out;
    const auto node = get(field);
    if (!node.IsDefined())
        return out;
    if (!node.IsSequence()) {
        fail(field, "a list of maps is expected");
        return out;
    }
    std::size_t i = 0;
    for (const auto& it : node) {
        const auto path = pathOf(field) + "[" + std::to_string(i++) + "]";
        if (it.IsMap())
            out.push_back({ it, m_file, path, m_errors });
        else
            m_errors->push_back({ m_file, it.Mark().line + 1, path, "a map is expected" });
    }
    return out;
}

void YamlReader::finish()
{
    for (const auto& it : m_node) {
        const auto name = it.first.Scalar();
        if (!m_known.contains(name))
            m_errors->push_back({ m_file, it.first.Mark().line + 1, pathOf(name), "is not a known field" });
    }
}

} // namespace robinrun
