#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace robinrun {

/// \brief The name of an upstream and whether it is in the ingress's data hall.
struct UpstreamLocation {
    std::string name;
    bool isNear = false; ///< whether the upstream is in the ingress's own data hall
};

/// \brief Chooses the subset of upstreams that one ingress uses, most of them near and the others far.
///
/// Near upstreams are in the ingress's own data hall, far ones in other halls. At least a third of the subset
/// is far, for when the own hall is overloaded or lost.
///
/// The near and the far upstreams are each chosen by chooseSubset() with the ingresses of the hall. So each
/// upstream is a near one for about the same number of ingresses of its hall, and the far subsets of a hall's
/// ingresses spread over all other halls. If an ingress didn't know the other ingresses, all of them would
/// choose the first upstreams by hash: at 295 nodes with subsets of 24, 64 of 144 upstreams in five halls got
/// no call at all. Cost: O(n log n), on changes of membership only.
/// \param hallIngresses names of the ingresses in the ingress's data hall, including \a self.
/// \param self name of the ingress.
/// \param size number of upstreams in the subset.
/// \returns indexes into \a upstreams.
std::vector<std::size_t> chooseHallSubset(const std::vector<UpstreamLocation>& upstreams,
    const std::vector<std::string>& hallIngresses, const std::string& self, std::size_t size);

} // namespace robinrun
