#pragma once

#include <mutex>
#include <set>

namespace grpc { // NOLINT(readability-identifier-naming): the name is the library's.
class ClientContext;
}

namespace PrimroseBridge {

/// The client calls in progress, so that a stop can end them before their deadlines.
///
/// Thread-safe.
class CallRegistry
{
public:
    /// Adds a call before it starts; false after cancelAll(). Precondition: remove() is called before @p context is destroyed.
    [[nodiscard]] bool add(grpc::ClientContext *context);
    /// Removes a call that has ended; does nothing if it was never added.
    void remove(grpc::ClientContext *context);
    /// Cancels every call in progress and refuses further ones.
    void cancelAll();

private:
    std::mutex m_mutex; // Held during TryCancel(), which does not wait, so that no context is destroyed meanwhile.
    std::set<grpc::ClientContext *> m_calls;
    bool m_closed = false;
};

/// A call that is in the registry during the lifetime of this object.
class RegisteredCall
{
public:
    RegisteredCall(CallRegistry &registry, grpc::ClientContext &context)
        : m_registry(registry)
        , m_context(context)
        , m_accepted(registry.add(&context))
    {
    }
    ~RegisteredCall()
    {
        m_registry.remove(&m_context);
    }
    RegisteredCall(const RegisteredCall &) = delete;
    RegisteredCall &operator=(const RegisteredCall &) = delete;

    /// False if the process is stopping and the call must not start.
    [[nodiscard]] bool accepted() const
    {
        return m_accepted;
    }

private:
    CallRegistry &m_registry;
    grpc::ClientContext &m_context;
    const bool m_accepted;
};

} // namespace PrimroseBridge
