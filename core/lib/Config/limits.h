#pragma once

#include "objectreader.h"

#include "primrosebridge/Model/fleet.h"

#include <cstddef>
#include <cstdint>

namespace PrimroseBridge {

// Limits of the configuration document. docs/configuration.md lists them. Each list limit is several times the target
// scale of the design page, so that a document within maxConfigurationBytes is normally refused for its size first.

constexpr std::size_t maxRegions = 64;
constexpr std::size_t maxZonesPerRegion = 64;
constexpr std::size_t maxWorkers = 4000;
constexpr std::size_t maxOrganisations = 2000;
constexpr std::size_t maxJobClasses = 1000;
constexpr std::size_t maxGuarantees = 1000;
constexpr std::size_t maxPeers = 1000;
constexpr std::size_t maxNameBytes = 128;

/// JSON readers in other languages keep whole numbers exact up to 2^53 - 1.
constexpr IntegerRange versionRange{0, 9007199254740991};
constexpr IntegerRange coresRange{1, 4096};
constexpr IntegerRange memoryMbRange{1, 64 * 1024 * 1024};
constexpr IntegerRange workerAcceleratorsRange{0, maxAcceleratorsPerWorker};
/// A gang of 32 members with 32 accelerators each.
constexpr IntegerRange shapeAcceleratorsRange{0, 32 * maxAcceleratorsPerWorker};
constexpr IntegerRange shapeCoresRange{1, 32 * 4096};
constexpr IntegerRange shapeMemoryMbRange{1, 32LL * 64 * 1024 * 1024};
/// All accelerators of the largest fleet.
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

/// Declared run times are wrong by factors of up to 10, so a class without a limit gets ten times the expected time.
constexpr std::int64_t defaultMaxRunTimeFactor = 10;

} // namespace PrimroseBridge
