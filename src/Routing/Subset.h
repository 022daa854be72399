#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace robinrun {

/// \brief Chooses the upstreams that one ingress keeps connections to, for a large service.
///
/// Upstreams and ingresses each lie evenly on a ring, in the order of the hash of their name; an ingress
/// takes the `size` upstreams that follow its own place. All upstreams get the same number of ingresses to
/// within one or two, and when one upstream or ingress comes or goes a subset changes by about one member.
/// Cost: O(n log n), on changes of membership only.
/// \param upstreams names; any order.
/// \param ingresses names of all nodes; must contain \a self, else \a self is placed by its hash alone.
/// \returns indexes into \a upstreams: all of them when there are no more than \a size.
std::vector<std::size_t> chooseSubset(const std::vector<std::string>& upstreams,
    const std::vector<std::string>& ingresses, const std::string& self, std::size_t size);

} // namespace robinrun
