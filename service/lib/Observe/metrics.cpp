#include "primrosebridge/Observe/metrics.h"

#include <array>
#include <cassert>
#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace PrimroseBridge {

template<class Kind>
struct MetricInfo {
    const Kind m_kind;
    const char *const m_name;
    const char *const m_help;
    const char *const m_label; // The name of the label; empty if the metric has none.
};

static constexpr std::array<MetricInfo<Counter>, 9> counterInfos = {{
    {Counter::RequestsSubmitted, "primrosebridge_requests_submitted_total", "Requests accepted for scheduling", "job_class"},
    {Counter::Outcomes, "primrosebridge_outcomes_total", "Requests by outcome", "outcome"},
    {Counter::Decisions, "primrosebridge_decisions_total", "Scheduling decisions by deciding rule", "rule"},
    {Counter::AnswersDropped, "primrosebridge_answers_dropped_total", "Worker answers dropped by the check that failed", "check"},
    {Counter::AttemptsStarted, "primrosebridge_attempts_started_total", "Attempts of which every member started", "job_class"},
    {Counter::Retries, "primrosebridge_retries_total", "Attempts after a failed one", "tier"},
    {Counter::AdmissionsRefused, "primrosebridge_admission_refused_total", "Requests refused because a queue was full", "organisation"},
    {Counter::Takeovers, "primrosebridge_takeovers_total", "Times that this process became owner of its zone", ""},
    {Counter::StoreCalls, "primrosebridge_store_calls_total", "Calls of the platform's store", "kind"},
}};

static constexpr std::array<MetricInfo<Gauge>, 10> gaugeInfos = {{
    {Gauge::QueuedJobs, "primrosebridge_queued_jobs", "Jobs waiting for placement in the owned zone", ""},
    {Gauge::RunningJobs, "primrosebridge_running_jobs", "Jobs that occupy workers in the owned zone", ""},
    {Gauge::FreeAccelerators, "primrosebridge_free_accelerators", "Free accelerators in the owned zone", ""},
    {Gauge::Fragmentation, "primrosebridge_fragmentation_ratio", "Share of free accelerators that cannot form the largest guaranteed shape", ""},
    {Gauge::ConfigurationVersion, "primrosebridge_configuration_version", "Version of the configuration in force", ""},
    {Gauge::OwnsZone, "primrosebridge_owns_zone", "1 if this process owns its zone", ""},
    {Gauge::StoreReachable, "primrosebridge_store_reachable", "1 if the store answered within the last 3 s", ""},
    {Gauge::PeersAlive, "primrosebridge_peers_alive", "Peers that are alive", ""},
    {Gauge::ResidentMemoryBytes, "primrosebridge_resident_memory_bytes", "Resident memory of this process", ""},
    {Gauge::HeartbeatBytes, "primrosebridge_heartbeat_bytes", "Bytes sent in heartbeats since the start", ""},
}};

static constexpr std::array<MetricInfo<Histogram>, 3> histogramInfos = {{
    {Histogram::WaitSeconds, "primrosebridge_wait_seconds", "Time from submission to the start of the first attempt", "job_class"},
    {Histogram::PassSeconds, "primrosebridge_pass_seconds", "Time of one scheduling pass", ""},
    {Histogram::ReclaimSeconds, "primrosebridge_reclaim_seconds", "Time from the command to give capacity back until it is free", ""},
}};

template<class Kind, std::size_t size>
static const MetricInfo<Kind> &infoOf(const std::array<MetricInfo<Kind>, size> &infos, Kind kind)
{
    for (const auto &info : infos) {
        if (info.m_kind == kind) {
            return info;
        }
    }
    assert(false && "every metric has an entry");
    return infos.front();
}

static std::map<std::string, std::string> labelsOf(const char *label, std::string_view value)
{
    if (*label == '\0') {
        return {};
    }
    return {{label, std::string(value)}};
}

struct Metrics::Private {
    prometheus::Registry m_registry;
    std::mutex m_raiseMutex; // Makes raiseTo() atomic, which reads a counter before it raises it.
    std::map<Counter, prometheus::Family<prometheus::Counter> *> m_counters;
    std::map<Gauge, prometheus::Gauge *> m_gauges;
    std::map<Histogram, prometheus::Family<prometheus::Histogram> *> m_histograms;
};

Metrics::Metrics()
    : m_private(std::make_unique<Private>())
{
    auto &registry = m_private->m_registry;
    for (const auto &info : counterInfos) {
        m_private->m_counters[info.m_kind] = &prometheus::BuildCounter().Name(info.m_name).Help(info.m_help).Register(registry);
    }
    for (const auto &info : gaugeInfos) {
        m_private->m_gauges[info.m_kind] = &prometheus::BuildGauge().Name(info.m_name).Help(info.m_help).Register(registry).Add({});
    }
    for (const auto &info : histogramInfos) {
        m_private->m_histograms[info.m_kind] = &prometheus::BuildHistogram().Name(info.m_name).Help(info.m_help).Register(registry);
    }
}

Metrics::~Metrics() = default;

void Metrics::increment(Counter counter, std::string_view label)
{
    const auto &info = infoOf(counterInfos, counter);
    m_private->m_counters.at(counter)->Add(labelsOf(info.m_label, label)).Increment();
}

void Metrics::raiseTo(Counter counter, std::string_view label, double total)
{
    const auto &info = infoOf(counterInfos, counter);
    auto &value = m_private->m_counters.at(counter)->Add(labelsOf(info.m_label, label));
    const std::lock_guard lock(m_private->m_raiseMutex);
    if (total > value.Value()) {
        value.Increment(total - value.Value());
    }
}

void Metrics::set(Gauge gauge, double value)
{
    m_private->m_gauges.at(gauge)->Set(value);
}

void Metrics::observe(Histogram histogram, double seconds, std::string_view label)
{
    static const prometheus::Histogram::BucketBoundaries buckets = {0.0001, 0.001, 0.01, 0.1, 0.5, 1, 2, 4.5, 10, 30, 60, 300, 3600};
    const auto &info = infoOf(histogramInfos, histogram);
    m_private->m_histograms.at(histogram)->Add(labelsOf(info.m_label, label), buckets).Observe(seconds);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_private->m_registry.Collect());
}

} // namespace PrimroseBridge
