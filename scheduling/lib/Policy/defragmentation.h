#pragma once

#include "passcontext.h"

namespace PrimroseBridge {

/// Checkpoints running work if that frees a large shape and is worth it by the two weights of the deployment.
///
/// The gain is the accelerators of the shape times the time for which they would otherwise stay unusable; the loss is the
/// accelerators moved times the pause of a move. One plan is carried out at a time. Thread-safe.
void defragment(const PassContext &context, PassDraft &draft);

} // namespace PrimroseBridge
