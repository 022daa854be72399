#include "Node/JsonText.h"

#include "Core/Log.h"

#include <google/protobuf/util/json_util.h>
#include <regex>
#include <yaml-cpp/yaml.h>

namespace robinrun {
namespace {

    namespace pb = google::protobuf;

    /// \returns whether a plain scalar stands for itself in JSON: a number, true, false or null.
    bool isBare(const YAML::Node& node)
    {
        static const std::regex number(R"(-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?)");
        if (node.Tag() == "!")
            return false; // it was quoted
        const auto& s = node.Scalar();
        return s == "true" || s == "false" || s == "null" || std::regex_match(s, number);
    }

    std::string toJsonText(const YAML::Node& node)
    {
        if (node.IsScalar())
            return isBare(node) ? node.Scalar() : '"' + escapeJson(node.Scalar()) + '"';
        if (node.IsSequence()) {
            std::string out;
            for (const auto& it : node)
                out += (out.empty() ? "" : ",") + toJsonText(it);
            return "[" + out + "]";
        }
        if (node.IsMap()) {
            std::string out;
            for (const auto& it : node)
                out += (out.empty() ? "\"" : ",\"") + escapeJson(it.first.Scalar())
                    + "\":" + toJsonText(it.second);
            return "{" + out + "}";
        }
        return "null";
    }

    std::string parseJson(const std::string& json, pb::Message& message)
    {
        const auto status = pb::util::JsonStringToMessage(json, &message);
        return status.ok() ? "" : std::string(status.message().data(), status.message().size());
    }

    /// \brief Lets every field that \a patch names be cleared in \a message, down into messages that stand in
    /// both.
    void clearNamed(const YAML::Node& patch, pb::Message& message)
    {
        const auto* descriptor = message.GetDescriptor();
        const auto* reflection = message.GetReflection();
        for (const auto& it : patch) {
            const auto* field = descriptor->FindFieldByName(it.first.Scalar());
            if (!field)
                continue;
            const bool isNested = it.second.IsMap() && !field->is_repeated()
                && field->cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE
                && reflection->HasField(message, field);
            if (isNested)
                clearNamed(it.second, *reflection->MutableMessage(&message, field));
            else
                reflection->ClearField(&message, field);
        }
    }

} // namespace

std::string toJson(const pb::Message& message)
{
    std::string out;
    pb::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    pb::util::MessageToJsonString(message, &out, options);
    return out;
}

std::string fromText(const std::string& text, pb::Message& message)
{
    try {
        const auto node = YAML::Load(text);
        if (!node.IsMap())
            return "a map (JSON object) is expected";
        return parseJson(toJsonText(node), message);
    } catch (const YAML::Exception& ex) {
        return "line " + std::to_string(ex.mark.line + 1) + ": " + ex.msg;
    }
}

std::string mergePatch(const std::string& patch, pb::Message& message)
{
    try {
        const auto node = YAML::Load(patch);
        if (!node.IsMap())
            return "a map (JSON object) is expected";
        const std::unique_ptr<pb::Message> named(message.New());
        auto fault = parseJson(toJsonText(node), *named);
        if (!fault.empty())
            return fault;
        clearNamed(node, message);
        message.MergeFrom(*named);
        return "";
    } catch (const YAML::Exception& ex) {
        return "line " + std::to_string(ex.mark.line + 1) + ": " + ex.msg;
    }
}

} // namespace robinrun
