#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/throw_bad_result_access.hpp>
#include <boost/outcome/success_failure.hpp>

namespace robinrun {

/// \brief What a static factory function returns: a \a T, or the layer's own error \a E.
///
/// Reading the wrong side throws `boost::outcome_v2::bad_result_access`.
template <class T, class E>
using Result
    = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::throw_bad_result_access<E, void>>;

/// \returns a value that converts to any failed Result with the error type \a E.
template <class E> auto failure(E error)
{
    return boost::outcome_v2::failure(std::move(error));
}

} // namespace robinrun
