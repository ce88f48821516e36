#include "primrosebridge/Fleetservice/fleetmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

namespace PrimroseBridge {

namespace {

template<class Kind>
struct FleetMetricInfo {
    Kind m_kind;
    const char *m_name;
    const char *m_help;
    std::array<const char *, 2> m_labels = {}; // Unused elements are null.
};

} // namespace

static constexpr std::array<FleetMetricInfo<FleetCounter>, 16> counterInfos = {{
    {FleetCounter::CallsAnswered, "primrosebridge_fleet_calls_total", "Calls of callers answered", {"status"}},
    {FleetCounter::StartOrdersAnswered, "primrosebridge_fleet_start_orders_total", "Start orders by the worker's answer", {"answer"}},
    {FleetCounter::RunsEnded, "primrosebridge_fleet_runs_ended_total", "Runs by how they ended", {"how"}},
    {FleetCounter::StopsOrdered, "primrosebridge_fleet_stops_total", "Stop orders by reason", {"reason"}},
    {FleetCounter::WorkerCallsUnanswered, "primrosebridge_fleet_worker_calls_unanswered_total", "Calls to workers without an answer", {"call"}},
    {FleetCounter::RunsOutlivedLeases, "primrosebridge_fleet_runs_outlived_leases_total", "Runs listed after the end of their leases"},
    {FleetCounter::EndsMissing, "primrosebridge_fleet_ends_missing_total", "Lists of run ends in which unacknowledged numbers are missing"},
    {FleetCounter::TasksReleased, "primrosebridge_fleet_tasks_released_total", "Tasks placed again without an end of their run", {"reason"}},
    {FleetCounter::TasksPlacedAgain,
     "primrosebridge_fleet_tasks_placed_again_total",
     "Starts of tasks whose former run was released without the word of its worker",
     {"belief"}},
    {FleetCounter::JobsEnded, "primrosebridge_fleet_jobs_ended_total", "Jobs by recorded outcome", {"outcome"}},
    {FleetCounter::Takeovers, "primrosebridge_fleet_takeovers_total", "Times that this VM became the owner"},
    {FleetCounter::RecordsRefused, "primrosebridge_fleet_records_refused_total", "Records that the store refused for what they hold"},
    {FleetCounter::RecordsSkipped, "primrosebridge_fleet_records_skipped_total", "Entries of the store that could not be read"},
    {FleetCounter::StartsHeld, "primrosebridge_fleet_starts_held_total", "Starts held back because of zone drains", {"reason"}},
    {FleetCounter::StepsPutOff, "primrosebridge_fleet_steps_put_off_total", "Steps put off under shortage", {"queue"}},
    {FleetCounter::StepWaitSeconds, "primrosebridge_fleet_step_wait_seconds_total", "Time that steps had tasks without a place", {"rank", "reason"}},
}};

static constexpr std::array<FleetMetricInfo<FleetHistogram>, 5> histogramInfos = {{
    {FleetHistogram::CallSeconds, "primrosebridge_fleet_call_seconds", "Time to answer a caller's call"},
    {FleetHistogram::SubmissionDelaySeconds, "primrosebridge_fleet_queue_seconds", "Time from acceptance until the owner knows a job"},
    {FleetHistogram::StartOrderSeconds, "primrosebridge_fleet_order_seconds", "Time from a start order to its answer"},
    {FleetHistogram::JobSeconds, "primrosebridge_fleet_job_seconds", "Time from acceptance to the recorded outcome"},
    {FleetHistogram::PassSeconds, "primrosebridge_fleet_pass_seconds", "Time of one placement pass"},
}};

static constexpr std::array<FleetMetricInfo<FleetGauge>, 18> gaugeInfos = {{
    {FleetGauge::OwnsFleet, "primrosebridge_fleet_owner", "1 while this VM owns the fleet"},
    {FleetGauge::ActiveJobs, "primrosebridge_fleet_active_jobs", "Jobs that have not ended"},
    {FleetGauge::WaitingSteps, "primrosebridge_fleet_waiting_steps", "Steps that are ready and could not be placed"},
    {FleetGauge::Workers, "primrosebridge_fleet_workers", "Workers that the owner knows"},
    {FleetGauge::LongestWaitSeconds, "primrosebridge_fleet_longest_wait_seconds", "Longest time that a step has had tasks without a place"},
    {FleetGauge::FreeAccelerators, "primrosebridge_fleet_free_accelerators", "Free accelerators of usable workers"},
    {FleetGauge::DrainedZones, "primrosebridge_fleet_drained_zones", "Zones that the operator has asked to drain"},
    {FleetGauge::SlowMachines, "primrosebridge_fleet_slow_machines", "Machines on which tasks take longer than on equal ones"},
    {FleetGauge::FastMachines, "primrosebridge_fleet_fast_machines", "Machines on which tasks take less time than on equal ones"},
    {FleetGauge::ReservedAccelerators, "primrosebridge_fleet_kept_accelerators", "Free accelerators that only urgent work may take"},
    {FleetGauge::LockedJobs, "primrosebridge_fleet_locked_jobs", "Jobs that start nothing until silent workers have answered"},
    {FleetGauge::ConfigurationVersion, "primrosebridge_fleet_configuration_version", "Version of the configuration in force"},
    {FleetGauge::StoreReads, "primrosebridge_fleet_store_reads", "Read calls to the store since the start"},
    {FleetGauge::StoreWrites, "primrosebridge_fleet_store_writes", "Write calls to the store since the start"},
    {FleetGauge::StoreRenewals, "primrosebridge_fleet_store_renewals", "Lease renewals since the start"},
    {FleetGauge::StoreWatches, "primrosebridge_fleet_store_watches", "Watch calls since the start"},
    {FleetGauge::StoreFailures, "primrosebridge_fleet_store_failures", "Calls to the store without a usable answer since the start"},
    {FleetGauge::LogLinesDropped, "primrosebridge_fleet_log_lines_dropped", "Log lines dropped since the start"},
}};

struct FleetMetrics::Private {
    prometheus::Registry m_registry;
    std::map<FleetCounter, std::pair<prometheus::Family<prometheus::Counter> *, std::array<const char *, 2>>> m_counters;
    std::map<FleetHistogram, prometheus::Histogram *> m_histograms;
    std::map<FleetGauge, prometheus::Gauge *> m_gauges;
};

FleetMetrics::FleetMetrics()
    : m_private(std::make_unique<Private>())
{
    static const prometheus::Histogram::BucketBoundaries buckets = {0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100};
    auto &registry = m_private->m_registry;
    for (const auto &info : counterInfos) {
        m_private->m_counters[info.m_kind] = {&prometheus::BuildCounter().Name(info.m_name).Help(info.m_help).Register(registry), info.m_labels};
    }
    for (const auto &info : histogramInfos) {
        m_private->m_histograms[info.m_kind] = &prometheus::BuildHistogram().Name(info.m_name).Help(info.m_help).Register(registry).Add({}, buckets);
    }
    for (const auto &info : gaugeInfos) {
        m_private->m_gauges[info.m_kind] = &prometheus::BuildGauge().Name(info.m_name).Help(info.m_help).Register(registry).Add({});
    }
}

FleetMetrics &FleetMetrics::instance()
{
    // Never destroyed, because threads use the metrics until the process ends.
    static auto *metrics = new FleetMetrics;
    return *metrics;
}

void FleetMetrics::increment(FleetCounter counter, std::string_view label)
{
    add(counter, 1.0, {label});
}

void FleetMetrics::add(FleetCounter counter, double amount, std::initializer_list<std::string_view> labels)
{
    const auto &[family, names] = m_private->m_counters.at(counter);
    std::map<std::string, std::string> values;
    const auto *name = names.begin();
    for (const auto label : labels) {
        if (name != names.end() && *name) {
            values.emplace(*name++, label);
        }
    }
    family->Add(values).Increment(amount);
}

void FleetMetrics::observe(FleetHistogram histogram, double seconds)
{
    m_private->m_histograms.at(histogram)->Observe(seconds);
}

void FleetMetrics::set(FleetGauge gauge, double value)
{
    m_private->m_gauges.at(gauge)->Set(value);
}

std::string FleetMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_private->m_registry.Collect());
}

} // namespace PrimroseBridge
