#pragma once

#include "Core/Time.h"
#include "Http/HttpServer.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace robinrun {

/// \brief Holds the acknowledgements of leaves until the store has the record that says so, but no longer
/// than `maxDelay`.
///
/// The acknowledgement promises that the server gets no new calls, also if all processes are killed at once.
/// Cost: O(acknowledgements held), which the connections of the port bound.
class PendingAcknowledgements {
public:
    /// An acknowledgement counts within 1 s only, and the way back takes time.
    static constexpr Duration maxDelay = 600ms;

    void add(std::unique_ptr<HttpExchange> exchange, Instant now);

    /// \brief Sends all acknowledgements.
    void sendAll();

    /// \brief Sends the acknowledgements that were held for `maxDelay`. \returns their number.
    std::size_t sendOverdue(Instant now);

private:
    struct Pending {
        std::unique_ptr<HttpExchange> exchange;
        Instant due {};
    };

    std::vector<Pending> m_pending; ///< in the order in which they are due
};

/// \brief Acknowledges the announcement of \a exchange.
void acknowledge(HttpExchange& exchange);

} // namespace robinrun
