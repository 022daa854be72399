#pragma once

#include "Core/EnumNames.h"
#include "Core/Random.h"
#include "Core/Time.h"
#include "Node/Timer.h"
#include "soak/SoakSite.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace robinrun::soak {

/// \brief What a fault does.
enum class FaultKind {
    HarmLink,
    KillNode,
    PauseNode,
    StopNode,
    ReloadNode,
    HarmStore,
    ForgetHistory,
    ReplaceBackend,
    CrashBackend,
    SlowBackend,
    FillBackend,
    ChangeConfiguration,
};

} // namespace robinrun::soak

template <> struct robinrun::EnumNames<robinrun::soak::FaultKind> {
    static constexpr std::array<std::string_view, 12> names { "harm-link", "kill-node", "pause-node",
        "stop-node", "reload-node", "harm-store", "forget-history", "replace-backend", "crash-backend",
        "slow-backend", "fill-backend", "change-configuration" };
};

namespace robinrun::soak {

/// \brief Draws faults from a seed, one after the other, so that they overlap and come in series, and undoes
/// them. The same seed draws the same faults; what they meet depends on the machine.
class FaultPlan {
public:
    FaultPlan(SoakSite& site, std::uint64_t seed);

    /// \brief Begins to draw faults; stops after \a length and undoes what is left.
    void run(Duration length);

    /// \returns what was done, a line each.
    const std::vector<std::string>& story() const { return m_story; }

private:
    void next();
    void apply(FaultKind kind, Duration length);
    void harmLink(SoakSite::Host& host, Duration length);
    void harmStore(Duration length);
    void pause(SoakSite::Host& host, Duration length);
    /// \brief Other writers and freezes in series come beside the other faults, drawn apart from them.
    void nextBeside();
    void writeForeign(SoakSite::Host& host);
    void freezeInSeries(SoakSite::Host& host);
    /// \brief Backend servers that name limits or leave by their answers, drawn apart from the other faults.
    void nextStatement();
    /// \brief What the operator and the store do, drawn apart from the other faults.
    void nextOfOperator();
    void undoAll();
    void later(Duration delay, std::function<void()> f);
    void note(const std::string& text);
    SoakSite::Host& anyHost();
    Duration between(Duration least, Duration most);

    SoakSite* m_site;
    Random m_random;
    Random m_forgets; ///< which links forget their connections
    Random m_beside; ///< other writers and freezes in series
    Instant m_started;
    Instant m_end {};
    Timer m_next;
    Random m_operator;
    Random m_statements; ///< of backend servers
    Timer m_nextBeside;
    Timer m_nextOfOperator;
    Timer m_nextStatement;
    std::vector<Timer> m_later;
    std::vector<std::string> m_story;
};

} // namespace robinrun::soak
