#pragma once

#include "Core/Log.h"
#include "Core/Result.h"
#include "Core/Time.h"
#include "Routing/Choice.h"
#include "Settings/YamlReader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace robinrun {

/// \brief All that a node is told by its settings file. Each field's meaning, unit and default:
/// docs/OPERATING.md.
struct NodeSettings {
    std::string name; ///< of the host, as on the platform's list
    std::string dataHall;
    std::string region;
    std::string upstream; ///< id of the upstream this node owns; "" for a node that owns none
    std::string chartsFolder;

    struct {
        std::string callers;
        std::string operators;
        std::string peers;
    } listen;

    struct {
        std::string log;
        std::string hosts;
        Duration timeout {};
    } platform;

    std::map<std::string, std::string> operatorTokens; ///< name: SHA-256 of the token, hex

    struct {
        LogLevel level {};
        LogFormat format {};
        bool access = false;
    } log;

    struct {
        std::uint64_t body = 0; ///< bytes
        std::uint64_t headers = 0; ///< bytes
        std::uint64_t calls = 0; ///< in progress at the ingress
        std::uint64_t ticketMemory = 0; ///< bytes
    } limits;

    struct {
        ChoiceKind kind {};
        std::uint64_t subset = 0; ///< upstreams of a service to keep connections to
        Duration hallRoundTrip {}; ///< first guess, until measured
        Duration regionRoundTrip {};
        Duration attemptTimeout {}; ///< after which a repeatable call may be sent to another upstream
    } choice;

    struct {
        std::uint64_t partitions = 0; ///< claim streams; the same on all nodes
        double appendsPerSecond = 0; ///< of this node
        Duration gather {};
        Duration decideWithin {};
        Duration keyLifetime {};
        Duration clockSkew {};
    } claims;

    struct {
        std::uint64_t readers = 0; ///< per data hall
        std::uint64_t fanOut = 0;
        Duration digestEvery {};
        double bytesPerSecond = 0; ///< budget of control traffic sent
        Duration writeWait {}; ///< how long the API waits for the fate of a change
    } control;

    Duration drainTimeout {};

    /// \brief Reads and checks \a file whole. The error side holds every error, in the order of the file's
    /// sections.
    static Result<NodeSettings, std::vector<SettingsError>> load(const std::string& file);
};

} // namespace robinrun
