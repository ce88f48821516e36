#pragma once

#include "passcontext.h"

namespace PrimroseBridge {

/// How each guarantee stands under @p plan, in the order of ZoneState::m_guarantees. Thread-safe.
std::vector<GuaranteeStatus> guaranteeStatus(const PassContext &context, const GuaranteePlan &plan);

/// Share of the free accelerators that cannot form the largest guaranteed shape, 0 to 1; 0 if nothing is guaranteed or free.
/// Thread-safe.
double fragmentationOf(const PassContext &context, const Capacity &free);

} // namespace PrimroseBridge
