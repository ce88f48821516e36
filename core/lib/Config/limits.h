#pragma once

#include "objectreader.h"

#include "primrosebridge/Model/fleet.h"

#include <cstddef>
#include <cstdint>

namespace PrimroseBridge {

// Limits of the configuration document, which docs/configuration.md lists. Each list limit is several times the largest fleet that
// the system is designed for, so that a document normally exceeds maxConfigurationBytes before it exceeds a list limit.

constexpr std::size_t maxRegions = 64;
constexpr std::size_t maxZonesPerRegion = 64;
constexpr std::size_t maxWorkers = 4000;
constexpr std::size_t maxOrganisations = 2000;
constexpr std::size_t maxJobClasses = 1000;
constexpr std::size_t maxGuarantees = 1000;
constexpr std::size_t maxPeers = 1000;
constexpr std::size_t maxNameBytes = 128;

/// The upper limit is 2^53 - 1, the largest whole number that JSON parsers of other languages represent exactly.
constexpr IntegerRange versionRange{0, 9007199254740991};
constexpr IntegerRange coresRange{1, 4096};
constexpr IntegerRange memoryMbRange{1, 64 * 1024 * 1024};
constexpr IntegerRange workerAcceleratorsRange{0, maxAcceleratorsPerWorker};
/// The upper limits of a shape are those of a gang with 32 members, each as large as the largest worker.
constexpr IntegerRange shapeAcceleratorsRange{0, 32 * maxAcceleratorsPerWorker};
constexpr IntegerRange shapeCoresRange{1, 32 * 4096};
constexpr IntegerRange shapeMemoryMbRange{1, 32LL * 64 * 1024 * 1024};
/// The upper limit is the number of accelerators of the largest fleet: 4000 workers with 32 accelerators each.
constexpr IntegerRange quotaRange{0, 128000};
constexpr IntegerRange queueLimitRange{1, 100000};
constexpr IntegerRange runTimeMsRange{1, 30LL * 24 * 60 * 60 * 1000};
constexpr IntegerRange maxAttemptsRange{1, 20};
constexpr IntegerRange guaranteeCountRange{1, 1000};
constexpr IntegerRange reclaimMsRange{0, 60 * 60 * 1000};
constexpr IntegerRange priorityRange{0, 1000000};
constexpr IntegerRange portRange{1, 65535};
constexpr IntegerRange httpThreadsRange{2, 128};
constexpr NumberRange organisationWeightRange{0.001, 1000};
constexpr NumberRange objectiveWeightRange{0, 1};

/// Default of the maximum run time of a job class, as a multiple of its expected run time. Declared run times are wrong by a factor
/// of up to 10.
constexpr std::int64_t defaultMaxRunTimeFactor = 10;

} // namespace PrimroseBridge
