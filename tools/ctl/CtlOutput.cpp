#include "ctl/CtlOutput.h"

#include "Http/HttpStatus.h"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace robinrun::ctl {
namespace {

    using namespace httpStatus;

    std::string summaryOf(const YAML::Node& item)
    {
        std::ostringstream out;
        if (const auto it = item["service"])
            out << "deadline=" << it["deadline_ms"] << "ms classes=" << it["classes"].size();
        else if (const auto upstream = item["upstream"])
            out << upstream["service"] << " at " << upstream["address"] << " in " << upstream["data_hall"]
                << " slots=" << upstream["slots"] << (upstream["leaving"].as<bool>(false) ? " leaving" : "");
        else if (const auto group = item["group"])
            out << "shares=" << group["shares"].size();
        return out.str();
    }

    void printTable(const YAML::Node& items)
    {
        std::cout << std::left << std::setw(34) << "NAME" << std::setw(10) << "VERSION"
                  << "WHAT\n";
        for (const auto& it : items)
            std::cout << std::setw(34) << it["name"].as<std::string>() << std::setw(10)
                      << it["version"].as<std::string>() << summaryOf(it) << "\n";
    }

    void emit(const YAML::Node& node, YAML::Emitter& out)
    {
        if (node.IsMap()) {
            out << YAML::BeginMap;
            for (const auto& field : node) {
                out << YAML::Key << field.first.Scalar() << YAML::Value;
                emit(field.second, out);
            }
            out << YAML::EndMap;
        } else if (node.IsSequence()) {
            out << YAML::BeginSeq;
            for (const auto& element : node)
                emit(element, out);
            out << YAML::EndSeq;
        } else {
            out << node.Scalar();
        }
    }

} // namespace

std::optional<HttpReply> show(const Result<HttpReply, HttpError>& reply, const CtlOptions& options)
{
    if (!reply) {
        fail(options.server + ": " + std::string(nameOf(reply.error().kind)));
        return std::nullopt;
    }
    if (reply.value().status >= firstError) {
        fail("status " + std::to_string(reply.value().status) + ": " + reply.value().body);
        return std::nullopt;
    }
    return reply.value();
}

void print(const std::string& json, const CtlOptions& options)
{
    if (options.output == "json") {
        std::cout << json;
        return;
    }
    const auto node = YAML::Load(json);
    if (options.output == "table" && node["items"])
        return printTable(node["items"]);
    YAML::Emitter out;
    out.SetMapFormat(YAML::Block);
    out.SetSeqFormat(YAML::Block);
    emit(node, out);
    std::cout << out.c_str() << "\n";
}

} // namespace robinrun::ctl
