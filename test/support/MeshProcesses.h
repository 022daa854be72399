#pragma once

#include "ChildProcess.h"
#include "MeshFixture.h"
#include "SettingsTemplate.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace robinrun::support {

/// \brief What a host has for its node.
struct HostLimits {
    std::uint64_t memoryMegabytes = 260;
    std::size_t descriptors = 4096;
};

/// \brief Nodes that run as processes with the settings of the deploy folder. Their store and their backend
/// servers are on the loop of the test.
class MeshProcesses : public MeshFixture {
public:
    /// \param name of the folder for settings and logs, which is unique to this process and removed at the
    /// end.
    MeshProcesses(const std::string& name, HostLimits limits)
        : m_folder(
            std::filesystem::temp_directory_path() / ("robinrun-" + name + "-" + std::to_string(getpid())))
        , m_limits(limits)
    {
        std::filesystem::create_directories(m_folder);
    }
    ~MeshProcesses()
    {
        nodes.clear();
        std::filesystem::remove_all(m_folder);
    }
    MeshProcesses(const MeshProcesses&) = delete;
    MeshProcesses& operator=(const MeshProcesses&) = delete;

    /// \returns a configuration that allows bodies of \a bytes.
    static std::string configurationWithBodies(int version, std::size_t bytes)
    {
        auto text = configuration(version);
        const std::string former = R"("max_body_bytes":65536)";
        return text.replace(text.find(former), former.size(), R"("max_body_bytes":)" + std::to_string(bytes));
    }

    /// \brief Starts the node of \a place, which is one of newPlace().
    void startProcess(Place place)
    {
        const auto& s = place.settings;
        const auto file = m_folder / (s.name + ".yaml");
        auto text = fillTemplate(readFile(std::string(SOURCE_FOLDER) + "/deploy/node.yaml"),
            { { "node", s.name }, { "zone", s.dataHall }, { "region", s.region }, { "service", s.service },
                { "app_addr", s.backend }, { "ip", "127.0.0.1" }, { "port_range.0", portOf(s.listen.peers) },
                { "port_range.1", portOf(s.listen.metrics) }, { "listen.outbound", s.listen.callers },
                { "listen.readiness", s.listen.readiness }, { "listen.control", s.listen.announcements },
                { "provider.address", store.address }, { "provider.writes_per_s", "400" },
                { "provider.reads_per_s", "2000" }, { "limits.cpu_share", "1.0" },
                { "limits.link_mbps", "1000.0" },
                { "limits.memory_mb", std::to_string(m_limits.memoryMegabytes) },
                { "limits.max_fds", std::to_string(m_limits.descriptors) },
                { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_slack", "58" } });
        const std::string folder = "charts: charts";
        text.replace(text.find(folder), folder.size(), "charts: " + std::string(SOURCE_FOLDER) + "/charts");
        std::ofstream(file) << text;
        nodes.push_back(std::make_unique<ChildProcess>(
            std::vector<std::string> {
                std::string(PROGRAM_FOLDER) + "/robinrun-mesh", "--settings", file.string() },
            m_folder / (s.name + ".log")));
        places.push_back(std::move(place));
    }

    std::vector<std::unique_ptr<ChildProcess>> nodes;

private:
    std::filesystem::path m_folder;
    HostLimits m_limits;
};

} // namespace robinrun::support
