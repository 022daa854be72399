#include "ctl/CtlApply.h"

#include "Config/Validator.h"
#include "Http/HttpStatus.h"
#include "Node/JsonText.h"
#include "ctl/CtlOutput.h"
#include "resources.pb.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>
#include <iostream>
#include <sstream>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace robinrun::ctl {
namespace {

    using namespace httpStatus;

    /// \brief One document of a file to apply.
    struct Document {
        proto::Resource resource;
        int line = 0;
    };

    /// \brief Reads the whole file before anything is changed. \returns whether it is good.
    bool readDocuments(const std::string& file, std::vector<Document>& out)
    {
        bool isGood = true;
        const auto complain = [&](int line, const std::string& message) {
            std::cerr << file << ":" << line << ": " << message << "\n";
            isGood = false;
        };
        try {
            for (const auto& node : YAML::LoadAllFromFile(file)) {
                if (node.IsNull())
                    continue;
                Document document;
                document.line = node.Mark().line + 1;
                std::ostringstream text;
                text << node;
                const auto fault = fromText(text.str(), document.resource);
                if (!fault.empty()) {
                    complain(document.line, fault);
                    continue;
                }
                for (const auto& it : validate(document.resource))
                    complain(document.line, it.toString());
                out.push_back(std::move(document));
            }
        } catch (const YAML::BadFile&) {
            complain(0, "can't be read");
        } catch (const YAML::Exception& ex) {
            complain(ex.mark.line + 1, ex.msg);
        }
        return isGood;
    }

    /// \returns the resource as it is now; nothing if there is none.
    std::optional<proto::Resource> present(
        OperatorClient& client, const std::string& name, const CtlOptions& options, bool& isBad)
    {
        const auto reply = client.ask("GET", "/v1/" + name);
        if (reply.has_value() && reply.value().status == notFound)
            return std::nullopt;
        const auto shown = show(reply, options);
        proto::Resource resource;
        isBad = !shown;
        if (shown && !google::protobuf::util::JsonStringToMessage(shown->body, &resource).ok())
            isBad = fail("what the server answers for " + name + " is no resource: " + shown->body) != 0;
        return resource;
    }

    int applyOne(OperatorClient& client, const proto::Resource& wanted, const CtlOptions& options)
    {
        bool isBad = false;
        const auto now = present(client, wanted.name(), options, isBad);
        if (isBad)
            return EXIT_FAILURE;
        if (now) {
            auto same = *now;
            same.set_version(wanted.version());
            if (google::protobuf::util::MessageDifferencer::Equals(same, wanted)) {
                std::cout << wanted.name() << " unchanged\n";
                return EXIT_SUCCESS;
            }
        }
        auto version = options.version;
        if (version.empty() && wanted.version())
            version = std::to_string(wanted.version());
        if (version.empty())
            version = now ? std::to_string(now->version()) : "*";
        auto body = wanted;
        body.clear_version();
        const auto path = "/v1/" + wanted.name() + (options.isDryRun ? "?dry_run=true" : "");
        const auto reply = show(client.ask("PUT", path, toJson(body), version), options);
        if (!reply)
            return EXIT_FAILURE;
        const char* did = options.isDryRun ? " would change"
            : reply->status == accepted    ? " undecided yet"
                                           : " applied";
        std::cout << wanted.name() << did << " " << reply->body;
        return EXIT_SUCCESS;
    }

} // namespace

int apply(OperatorClient& client, const CtlOptions& options)
{
    if (options.file.empty())
        return fail("apply needs -f FILE", badUsage);
    std::vector<Document> documents;
    if (!readDocuments(options.file, documents))
        return badUsage;
    int status = EXIT_SUCCESS;
    for (const auto& it : documents)
        status = std::max(status, applyOne(client, it.resource, options));
    return status;
}

int setEmptied(OperatorClient& client, const CtlOptions& options, bool isEmptied)
{
    proto::Resource hall;
    hall.set_name("halls/" + options.words[1]);
    hall.mutable_data_hall()->set_emptied(isEmptied);
    for (const auto& it : validate(hall))
        return fail(it.toString(), badUsage);
    return applyOne(client, hall, options);
}

int remove(OperatorClient& client, const CtlOptions& options)
{
    bool isBad = false;
    const auto now = present(client, options.words[1], options, isBad);
    if (!now)
        return fail("no such resource: " + options.words[1]);
    const auto version = options.version.empty() ? std::to_string(now->version()) : options.version;
    const auto path = "/v1/" + options.words[1] + (options.isDryRun ? "?dry_run=true" : "");
    if (isBad || !show(client.ask("DELETE", path, "", version), options))
        return EXIT_FAILURE;
    std::cout << options.words[1] << (options.isDryRun ? " would be deleted\n" : " deleted\n");
    return EXIT_SUCCESS;
}

} // namespace robinrun::ctl
