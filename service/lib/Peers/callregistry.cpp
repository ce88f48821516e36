#include "callregistry.h"

#include <grpcpp/client_context.h>

namespace PrimroseBridge {

bool CallRegistry::add(grpc::ClientContext *context)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_calls.insert(context);
    return true;
}

void CallRegistry::remove(grpc::ClientContext *context)
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(context);
}

void CallRegistry::cancelAll()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    for (auto *context : m_calls) {
        context->TryCancel();
    }
}

} // namespace PrimroseBridge
