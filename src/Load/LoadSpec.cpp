#include "Load/LoadSpec.h"

namespace robinrun {
namespace {

    LoadStream readStream(YamlReader reader)
    {
        LoadStream out;
        out.group = reader.text("group");
        out.credential = reader.text("credential");
        out.service = reader.text("service");
        out.callClass = reader.text("class");
        out.method = reader.text("method", "GET");
        out.path = reader.text("path");
        out.rate = reader.number("rate", 0.01, 1e6, 1);
        out.answerBytes = reader.bytes("answer", 0, 4U << 20U, 200);
        out.deadlineMs
            = static_cast<std::uint64_t>(reader.duration("deadline", 0us, 10min, 0us).count() / 1000);
        out.once = reader.choice("once", OnceWay::None);
        out.repeat = reader.number("repeat", 0, 1, 0);
        out.retriesUnknown = reader.flag("retries_unknown", false);
        reader.finish();
        return out;
    }

} // namespace

Result<LoadSpec, std::vector<SettingsError>> LoadSpec::load(const std::string& file)
{
    auto reader = YamlReader::open(file);
    if (!reader.errors().empty())
        return failure(reader.errors());
    LoadSpec out;
    out.duration = reader.duration("duration", 100ms, 1h, 10s);
    out.warmUp = reader.duration("warm_up", 0us, 1h, 0us);
    out.seed = reader.count("seed", 0, 1000000000, 1);
    out.ingresses = reader.addresses("ingresses");
    out.backends = reader.addresses("backends");
    out.direct = reader.addresses("direct");
    out.directRate = reader.number("direct_rate", 0, 1e6, 0);
    for (auto& it : reader.sections("streams"))
        out.streams.push_back(readStream(std::move(it)));
    if (out.ingresses.empty())
        reader.fail("ingresses", "at least one is needed");
    reader.finish();
    if (!reader.errors().empty())
        return failure(reader.errors());
    return out;
}

} // namespace robinrun
