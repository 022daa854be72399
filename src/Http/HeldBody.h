#pragma once

#include "Core/MemoryBudget.h"
#include "Http/HttpTypes.h"

#include <memory>
#include <string>

namespace robinrun {

/// \brief The body of a request, and its share of the memory for bodies.
struct HeldBody {
    std::string bytes;
    MemoryBudget::Share room {};
};

/// \brief A body that the parts of one node share, so that it is there once.
using SharedBody = std::shared_ptr<const HeldBody>;

/// \returns the bytes of \a body, which keep it and its share of the memory alive.
inline SharedBytes bytesOf(const SharedBody& body)
{
    return body ? SharedBytes(body, &body->bytes) : nullptr;
}

} // namespace robinrun
