#include "support/SettingsTemplate.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace robinrun::support {
namespace {

    void replaceAll(std::string& text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

} // namespace

std::string portOf(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("can't read " + path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string fillTemplate(std::string text, const std::map<std::string, std::string>& fields)
{
    for (auto at = text.find("{{#"); at != std::string::npos; at = text.find("{{#")) {
        const auto nameEnd = text.find("}}", at);
        const auto name = text.substr(at + 3, nameEnd - at - 3);
        const auto closing = "{{/" + name + "}}";
        const auto end = text.find(closing, nameEnd);
        if (end == std::string::npos)
            throw std::runtime_error("the section " + name + " of the settings template is not closed");
        const auto inner = text.substr(nameEnd + 2, end - nameEnd - 2);
        text.replace(at, end + closing.size() - at, fields.contains(name) ? inner : "");
    }
    for (const auto& [name, value] : fields)
        replaceAll(text, "{{" + name + "}}", value);
    const auto gap = text.find("{{");
    if (gap != std::string::npos)
        throw std::runtime_error("the settings template has an unknown gap: " + text.substr(gap, 40));
    return text;
}

} // namespace robinrun::support
