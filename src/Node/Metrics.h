#pragma once

#include "Core/EnumNames.h"
#include "Core/Time.h"
#include "Node/GroupCounts.h"
#include "Queueing/Refusal.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/mpl/placeholders.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace robinrun {

namespace internal {

    /// Upper bounds of the histograms' buckets, in seconds; the last bucket has none.
    inline constexpr std::array<double, 20> bucketBounds { 0.0001, 0.0002, 0.0003, 0.0005, 0.0008, 0.0011,
        0.002, 0.003, 0.005, 0.008, 0.012, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.5, 1, 5 };

    /// \brief A histogram over fixed bounds as a Boost accumulator, since Prometheus wants the same buckets
    /// everywhere.
    template <class Sample> struct FixedHistogramImpl : boost::accumulators::accumulator_base {
        using result_type = const std::array<std::uint64_t, bucketBounds.size() + 1>&;

        template <class Args> explicit FixedHistogramImpl(const Args&) { }

        template <class Args> void operator()(const Args& args)
        {
            const Sample x = args[boost::accumulators::sample];
            std::size_t i = 0;
            while (i < bucketBounds.size() && x > bucketBounds[i])
                ++i;
            ++m_counts[i];
        }

        result_type result(boost::accumulators::dont_care) const { return m_counts; }

    private:
        std::array<std::uint64_t, bucketBounds.size() + 1> m_counts {};
    };

    /// \brief Boost.Accumulators' name of the feature.
    struct FixedHistogramTag : boost::accumulators::depends_on<> {
        using impl = FixedHistogramImpl<boost::mpl::_1>;
    };

    using Histogram = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max, FixedHistogramTag>>;

} // namespace internal

/// \brief What a caller was told of its call.
enum class CallOutcome {
    Answered,
    NotRun,
    Unknown,
    Rejected, ///< never became a call: bad request, unknown service or credential
    HungUp,
};

template <> struct EnumNames<CallOutcome> {
    static constexpr std::array<std::string_view, 5> names { "answered", "not-run", "unknown", "rejected",
        "hung-up" };
};

/// \brief One finished call, for the metrics.
struct CallSample {
    std::string_view group;
    std::string_view callClass;
    CallOutcome outcome = CallOutcome::Answered;
    Reason reason = Reason::None;
    bool isNested = false;
    bool isServed = false; ///< answered by a backend server, and not with a server error
    Duration total {}; ///< from the whole request to the answer
    Duration queued {}; ///< waiting at the owner
    Duration held {}; ///< slot time
};

/// \brief Counts and histograms, written out in Prometheus' text form.
///
/// Groups beyond the first that were seen share the series of the group "others", so that what is held and
/// told stays bounded. Cost: a call about 0.3 us; a pair of group and class about 1 KB.
class Metrics {
public:
    void call(const CallSample& sample);

    /// \brief Adds to a named count. \param series name with its labels, as in
    /// `robinrun_retries_total{kind="hedge"}`.
    void count(const std::string& series, double n = 1) { m_counts[series] += n; }

    /// \brief A value read when metrics are asked for.
    void gauge(const std::string& series, std::function<double()> read)
    {
        m_gauges[series] = std::move(read);
    }

    /// \returns all of it as Prometheus text.
    std::string text() const;

private:
    struct Series {
        internal::Histogram latency;
        internal::Histogram queueing;
        internal::Histogram added;
        std::array<std::uint64_t, countOf<CallOutcome>()> outcomes {};
    };
    using Key = std::pair<std::string, std::string>;
    static constexpr std::size_t mostGroups = 20;

    /// \returns the name under which \a group is counted.
    std::string_view seriesOf(std::string_view group);

    std::set<std::string, std::less<>> m_groups; ///< that have series of their own

    std::map<Key, Series, std::less<>> m_calls;
    GroupCounts m_groupCounts;
    std::array<std::uint64_t, countOf<Reason>()> m_reasons {};
    std::map<std::string, double> m_counts;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace robinrun
