#pragma once

#include "Core/Log.h"
#include "Core/Result.h"
#include "Core/Time.h"
#include "Routing/ChoicePolicy.h"
#include "Settings/Mechanism.h"
#include "Settings/YamlReader.h"

#include <cstddef>
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
    std::string service; ///< of that upstream, where it is known beforehand; ""
    double capacity = 0; ///< cores that the node may use; 0: not known
    double memoryMegabytes = 0; ///< that the process may have; 0: not known
    double linkMegabits = 0; ///< that the host's network link carries in a second; 0: not known
    std::string chartsFolder;

    struct {
        std::string callers;
        std::string operators;
        std::string peers; ///< by which peers reach and know this node
        std::string peersBind; ///< bound in its place, where they reach it through a relay; "" for the same
        std::string readiness; ///< "" where nobody asks
        std::string announcements; ///< of the backend server beside this node
        std::string metrics; ///< "" for none but those of the operators' port
    } listen;

    struct {
        std::string log;
        std::string hosts;
        Duration timeout {};
    } platform;

    /// A keyed store in which nodes meet. With one, there is no host list and no log of changes.
    struct {
        std::string address; ///< "" for none
        double writesPerSecond = 0; ///< of all nodes together
        double readsPerSecond = 0;
        Duration timeout {};
    } store;

    std::string backend; ///< address of the backend server beside this node, where it announces itself

    /// What all nodes together may send again, as the deployment bounds it.
    struct {
        double ratio = 0; ///< retries for each call to a service
        double slack = 0; ///< on top of it, in each window
    } retries;

    struct {
        Duration heartbeat {}; ///< on links; two that stay out end one
        Duration longestReconnect {};
        std::uint64_t contacts = 0; ///< peers that are told of changes at once
        /// A node that hears so many others follow the configuration leaves it to them.
        std::uint64_t followers = 0;
        Duration contactEvery {};
        Duration unreachableAfter {}; ///< a contact that could not be reached for so long is marked as such
        Duration forgetAfter {}; ///< a contact that could not be reached for so long is taken for gone
    } peers;

    /// How credentials of calling groups are taken away, as the deployment bounds it.
    struct {
        bool isStrict = false; ///< a node that can't prove that a credential still counts refuses it
        Duration revokeWithin {}; ///< how old the proof of a configuration may be that credentials rest on
    } credentials;

    /// How exactly the rates of calling groups are kept over all nodes, as the deployment bounds it.
    struct {
        Duration window {}; ///< any of this length counts
        double over = 0; ///< part of what a group may make in it, on top of that
        double slack = 0; ///< calls on top of that
    } rates;

    /// How many calls a faulty version may get while it is rolled out, as the deployment bounds it.
    struct {
        double share = 0.1; ///< of the service's calls, from the order to its end
        double slack = 50; ///< calls on top of that
    } rollouts;

    std::map<std::string, std::string> operatorTokens; ///< name: SHA-256 of the token, hex

    struct {
        LogLevel level {};
        LogFormat format {};
        bool access = false;
        double linesPerSecond = 0; ///< bound on lines; errors are dropped last
        std::uint64_t sampleOneIn = 1; ///< of calls that went well, so many are logged once; by their id
    } log;

    struct {
        std::uint64_t body = 0; ///< bytes
        std::uint64_t headers = 0; ///< bytes
        std::uint64_t calls = 0; ///< in progress at the ingress
        std::uint64_t ticketMemory = 0; ///< bytes
        std::uint64_t descriptors = 0; ///< that the process may have open; 0: as many as the system allows it
    } limits;

    struct {
        ChoicePolicyKind kind {};
        std::uint64_t subset = 0; ///< upstreams of a service to keep connections to
        Duration hallRoundTrip {}; ///< first guess, until measured
        Duration regionRoundTrip {};
        /// What an answer from another data hall is worth less, as a part of one in time: its bytes have a
        /// price.
        double farLoss = TimelyChoice::Options {}.farLoss;
        Duration attemptTimeout {}; ///< after which a repeatable call may be sent to another upstream
    } choice;

    struct {
        ConcurrencyLimitKind
            limit {}; ///< how the node finds out how many calls its backend server should run at once
        double usableShare = 1; ///< of the slots, where the limit is fixed or starts there
        WarmUpPacerKind coldPace {}; ///< how calls to a cold backend server are spread over time
        double coldFactor = 1; ///< of the calls a second that its service says it bears
        double coldBurst = 0; ///< calls on top of that, in any second
    } admission;

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

    Experiments experiments; ///< mechanisms switched off, to measure what they are worth

    Duration drainTimeout {};
    Duration lameDuck {}; ///< after a stop is asked for, calls are still taken: callers learn of it late

    /// \returns the bytes that the bodies of requests and of replies may take, one half each.
    std::size_t bodyMemory() const;

    /// \returns how many connections of callers may be open. The rest of the descriptors is for peers, the
    /// backend server and the store.
    std::size_t callerConnections() const;

    /// \brief Reads and checks \a file whole. The error side holds every error, in the order of the file's
    /// sections.
    static Result<NodeSettings, std::vector<SettingsError>> load(const std::string& file);
};

} // namespace robinrun
