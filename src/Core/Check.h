#pragma once

#include <stdexcept>
#include <string>

namespace robinrun {

/// \brief A precondition of a public function was broken by its caller: a defect in the program.
class PreconditionError : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// \brief Asserts a precondition at a module's boundary, in every build.
/// \throws PreconditionError naming \a what.
inline void require(bool holds, const char* what)
{
    if (!holds)
        throw PreconditionError(std::string("precondition broken: ") + what);
}

} // namespace robinrun
