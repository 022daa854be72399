#include "Node/Metrics.h"

#include <sstream>

namespace robinrun {
namespace {

    namespace acc = boost::accumulators;

    constexpr std::string_view otherGroups = "others";

    const acc::extractor<internal::FixedHistogramTag> bucketsOf;

    void writeHistogram(
        std::ostream& out, std::string_view name, const std::string& labels, const internal::Histogram& h)
    {
        const auto& buckets = bucketsOf(h);
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < buckets.size(); ++i) {
            sum += buckets[i];
            out << name << "_bucket{" << labels << ",le=\"";
            if (i < internal::bucketBounds.size())
                out << internal::bucketBounds[i];
            else
                out << "+Inf";
            out << "\"} " << sum << '\n';
        }
        out << name << "_sum{" << labels << "} " << (acc::count(h) ? acc::sum(h) : 0) << '\n';
        out << name << "_count{" << labels << "} " << acc::count(h) << '\n';
    }

    /// \returns the name of a series without its labels.
    std::string_view baseName(std::string_view series)
    {
        return series.substr(0, series.find('{'));
    }

} // namespace

std::string_view Metrics::seriesOf(std::string_view group)
{
    if (m_groups.contains(group))
        return group;
    if (m_groups.size() >= mostGroups)
        return otherGroups;
    m_groups.emplace(group);
    return group;
}

void Metrics::call(const CallSample& sample)
{
    const Key key { std::string(seriesOf(sample.group)), std::string(sample.callClass) };
    m_groupCounts.add(sample.group, sample.isNested, sample.isServed, sample.reason);
    auto& series = m_calls[key];
    ++series.outcomes[static_cast<std::size_t>(sample.outcome)];
    if (sample.reason != Reason::None)
        ++m_reasons[static_cast<std::size_t>(sample.reason)];
    series.latency(toSeconds(sample.total));
    if (sample.outcome != CallOutcome::Answered)
        return;
    series.queueing(toSeconds(sample.queued));
    series.added(toSeconds(sample.total - sample.held));
}

std::string Metrics::text() const
{
    std::ostringstream out;
    out << "# TYPE robinrun_calls_total counter\n";
    for (const auto& [key, series] : m_calls) {
        for (std::size_t i = 0; i < series.outcomes.size(); ++i) {
            if (series.outcomes[i])
                out << "robinrun_calls_total{group=\"" << key.first << "\",class=\"" << key.second
                    << "\",outcome=\"" << nameOf(static_cast<CallOutcome>(i)) << "\"} " << series.outcomes[i]
                    << '\n';
        }
    }
    m_groupCounts.write(out);
    out << "# TYPE robinrun_refusals_total counter\n";
    for (std::size_t i = 1; i < m_reasons.size(); ++i)
        out << "robinrun_refusals_total{reason=\"" << nameOf(static_cast<Reason>(i)) << "\"} " << m_reasons[i]
            << '\n';
    for (const auto* name :
        { "robinrun_latency_seconds", "robinrun_queueing_seconds", "robinrun_added_seconds" })
        out << "# TYPE " << name << " histogram\n";
    for (const auto& [key, series] : m_calls) {
        const auto labels = "group=\"" + key.first + "\",class=\"" + key.second + "\"";
        writeHistogram(out, "robinrun_latency_seconds", labels, series.latency);
        writeHistogram(out, "robinrun_queueing_seconds", labels, series.queueing);
        writeHistogram(out, "robinrun_added_seconds", labels, series.added);
    }
    std::string_view last;
    for (const auto& [series, n] : m_counts) {
        if (baseName(series) != last)
            out << "# TYPE " << baseName(series) << " counter\n";
        last = baseName(series);
        out << series << ' ' << n << '\n';
    }
    for (const auto& [series, read] : m_gauges) {
        if (baseName(series) != last)
            out << "# TYPE " << baseName(series) << " gauge\n";
        last = baseName(series);
        out << series << ' ' << read() << '\n';
    }
    return out.str();
}

} // namespace robinrun
