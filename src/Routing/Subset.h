#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Chooses the subset of the upstreams of a large service that one ingress sends calls to.
///
/// Upstreams and ingresses are each spaced evenly on a ring, in the order of the hashes of their names. An
/// ingress uses the `size` upstreams that follow its own position. The numbers of ingresses of the upstreams
/// differ by one or two at most. When an upstream or ingress is added or removed, a subset changes by about
/// one member. Cost: O(n log n), on changes of membership only.
/// \param upstreams names, in any order.
/// \param ingresses names of all ingresses. If \a self is not among them, the hash of \a self alone gives its
/// position.
/// \param self name of the ingress.
/// \param size number of upstreams in the subset.
/// \returns indexes into \a upstreams; all of them if there are at most \a size.
std::vector<std::size_t> chooseSubset(const std::vector<std::string>& upstreams,
    const std::vector<std::string>& ingresses, const std::string& self, std::size_t size);

} // namespace robinrun
