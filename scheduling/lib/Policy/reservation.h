#pragma once

#include "passcontext.h"

namespace PrimroseBridge {

/// Bit i is set if reservation i keeps @p job off its position, because the job would not end in time by its estimate or could
/// not be removed if the estimate is wrong. Firm reservations are not in the free capacity at all. Thread-safe.
unsigned blockingReservations(const PassContext &context, const PassDraft &draft, int job, int level);

/// The free capacity that @p job may use: without the blocking reservations and, if @p spareUnits, without positions that
/// guarantees of other organisations are planned on. Thread-safe.
Capacity viewFor(const PassContext &context, const PassDraft &draft, int job, unsigned blocking, bool spareUnits);

/// Reserves for the oldest job of several accelerators, among those of the best level, that does not fit at present. Small jobs
/// of organisations with a lower share, which are decided first, would otherwise take its place. Thread-safe.
void reserveForOldestLarge(const PassContext &context, PassDraft &draft, const std::vector<int> &levels);

/// True if an estimate-based reservation exists already. Thread-safe.
bool hasReservation(const PassDraft &draft);

/// Reserves the position at which @p job can start first by the estimates of the running work; none if it never fits.
/// Thread-safe.
void reserve(const PassContext &context, PassDraft &draft, int job);

} // namespace PrimroseBridge
