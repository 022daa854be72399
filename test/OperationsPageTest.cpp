#include "support/ChildProcess.h"
#include "support/MeshFixture.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

/// \file Follows docs/OPERATIONS.md with its own commands, on the logs of real nodes that run as processes.

using namespace robinrun;
using support::FakeBackend;
using support::MeshFixture;

namespace {

std::string textOf(const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

/// \returns the commands that the page gives under \a heading, a line each.
std::vector<std::string> commandsUnder(const std::string& heading)
{
    std::istringstream page(textOf(std::filesystem::path(SOURCE_FOLDER) / "docs" / "OPERATIONS.md"));
    std::vector<std::string> out;
    std::string line;
    while (std::getline(page, line) && line != "### " + heading) { }
    while (std::getline(page, line) && line != "```sh") { }
    while (std::getline(page, line) && line != "```")
        out.push_back(line);
    REQUIRE_FALSE(out.empty());
    return out;
}

/// \brief Two nodes as processes: callers call at the first, whose service is `other`; the backend server of
/// `shop` is beside the second.
class RealSite : public MeshFixture {
public:
    /// \param target latency of the routes in ms.
    explicit RealSite(const std::string& target)
        : m_folder(std::filesystem::temp_directory_path() / ("robinrun-page-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        store.put("keyed.op", "config", configuration(1, "shop", target));
        addProcess("other");
        addProcess("shop");
        untilServed(0);
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            untilLogged(i, R"("event":"started")");
    }
    ~RealSite()
    {
        m_nodes.clear();
        std::filesystem::remove_all(m_folder);
    }
    RealSite(const RealSite&) = delete;
    RealSite& operator=(const RealSite&) = delete;

    FakeBackend& shop() { return *places[1].backend; }

    void kill(std::size_t i) { m_nodes[i]->signal(SIGKILL); }

    /// \brief Sends a purchase that the backend server holds.
    void startPurchase()
    {
        shop().holds = true;
        start(places[0].settings.listen.callers, request("POST", "/buy/x"));
        until([&] { return shop().held.size() == 1; });
    }

    void untilAnswered()
    {
        until([&] { return reply.has_value(); });
    }

    /// \brief Waits until node \a i has written \a text: it writes its lines now and then.
    void untilLogged(std::size_t i, const std::string& text)
    {
        for (int tries = 0; tries < 500; ++tries) {
            if (textOf(logFile(i)).find(text) != std::string::npos)
                return;
            pass(20ms);
        }
        FAIL("node " << i << " has not logged " << text);
    }

    void untilRequestLogged(std::size_t i)
    {
        untilLogged(i, R"("request":"q)" + std::to_string(lastRequest) + '"');
    }

    /// \returns what the page's commands under \a heading print for the last request.
    std::string follow(const std::string& heading) const
    {
        std::string out;
        for (const auto& it : commandsUnder(heading))
            out += run("ID=q" + std::to_string(lastRequest) + "; LOGS='" + logFile(0) + " " + logFile(1)
                + "'; " + it);
        return out;
    }

private:
    std::string logFile(std::size_t i) const { return m_folder / ("n" + std::to_string(i) + ".log"); }

    static std::string run(const std::string& command)
    {
        const auto line = "PATH=" + std::string(PROGRAM_FOLDER) + ":$PATH; " + command;
        const std::unique_ptr<std::FILE, int (*)(std::FILE*)> pipe(popen(line.c_str(), "r"), &pclose);
        std::string out;
        char buf[4096];
        for (auto n = std::fread(buf, 1, sizeof(buf), pipe.get()); n > 0;
             n = std::fread(buf, 1, sizeof(buf), pipe.get()))
            out.append(buf, n);
        return out;
    }

    void addProcess(const std::string& service)
    {
        auto place = newPlace(service);
        const auto& s = place.settings;
        const auto file = m_folder / (s.name + ".yaml");
        std::ofstream(file) << "node: " << s.name << "\ndata_hall: " << s.dataHall << "\nregion: " << s.region
                            << "\nservice: " << s.service << "\nbackend: " << s.backend
                            << "\ncharts: " << SOURCE_FOLDER
                            << "/charts\ndrain_timeout: 1s\nlame_duck: 50ms\nlisten: {callers: '"
                            << s.listen.callers << "', readiness: '" << s.listen.readiness
                            << "', announcements: '" << s.listen.announcements << "', peers: '"
                            << s.listen.peers << "', metrics: '" << s.listen.metrics
                            << "'}\nstore: {address: '" << store.address
                            << "', timeout: 1s}\nretries: {ratio: 0.2, slack: 20}\npeers: {heartbeat: 300ms, "
                               "contact_every: 200ms}\nchoice: {policy: timely}\nlog: {format: json, "
                               "sample_one_in: 1}\n";
        m_nodes.push_back(std::make_unique<support::ChildProcess>(
            std::vector<std::string> {
                std::string(PROGRAM_FOLDER) + "/robinrun-mesh", "--settings", file.string() },
            logFile(places.size())));
        places.push_back(std::move(place));
    }

    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<support::ChildProcess>> m_nodes;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("The page leads from a refused request to the upstream that leaves", "[page]")
{
    RealSite f("5000");
    REQUIRE(f.announce(1, "draining", 10) == 200);
    f.untilLogged(1, R"("state":"draining")");
    REQUIRE(f.call(0, "POST", "/buy/x").status == 503);
    f.untilRequestLogged(0);
    const auto found = f.follow("Refused though capacity seemed free");
    INFO(found);
    REQUIRE(contains(found, "request-refused"));
    REQUIRE((contains(found, "reason=no-upstream") || contains(found, "reason=leaving")));
    REQUIRE(contains(found, R"("event":"upstream-announced","upstream":"i-n1","state":"draining")"));
}

TEST_CASE("The page leads from an unknown outcome to the node that was killed", "[page]")
{
    RealSite f("5000");
    f.startPurchase();
    f.kill(1);
    f.untilAnswered();
    REQUIRE(f.reply->status == 504);
    f.untilRequestLogged(0);
    f.untilLogged(0, R"("event":"peer-lost")");
    const auto found = f.follow("Outcome unknown");
    INFO(found);
    REQUIRE(contains(found, "reason=owner-lost"));
    REQUIRE(contains(found, "repeatable=0"));
    REQUIRE(contains(found, R"("event":"peer-lost")"));
    REQUIRE(contains(found, R"("source":"n1","event":"started")"));
    REQUIRE_FALSE(contains(found, R"("source":"n1","event":"stopped")"));
}

TEST_CASE("The page leads from a late answer to the slow backend server", "[page]")
{
    RealSite f("500");
    f.startPurchase();
    f.pass(600ms);
    f.shop().answer(0);
    f.untilAnswered();
    REQUIRE(f.reply->status == 200);
    f.untilRequestLogged(0);
    f.untilRequestLogged(1);
    const auto found = f.follow("Late");
    INFO(found);
    REQUIRE(contains(found, "late=1"));
    const auto held = found.find("held_ms=");
    REQUIRE(held != std::string::npos);
    REQUIRE(std::stoi(found.substr(held + std::string("held_ms=").size())) >= 600);
    REQUIRE(contains(found, R"("event":"configuration-adopted")"));
}
