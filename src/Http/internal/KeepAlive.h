#pragma once

#include "Core/Time.h"
#include "Http/HttpTypes.h"

namespace robinrun::internal {

/// \returns for how long a connection may rest after \a reply: \a standard, or less if the server says that
/// it closes it earlier (`Keep-Alive: timeout=5`). A request must not meet that close, and the server says
/// whole seconds; so a second less than it says, or half where it says only one.
Duration keptFor(const HttpReply& reply, Duration standard);

} // namespace robinrun::internal
