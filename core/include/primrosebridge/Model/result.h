#pragma once

#include "primrosebridge/Model/error.h"

#include <utility>
#include <variant>

namespace PrimroseBridge {

/// A value or the Error that explains why there is none.
///
/// Returned by static factory functions. Distinct objects may be used from any thread.
template<class T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): a factory returns its value directly.
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    Result(Error error) // NOLINT(google-explicit-constructor): a factory returns its error directly.
        : m_state(std::in_place_index<1>, std::move(error))
    {
    }

    /// True if there is a value. Thread-safe.
    [[nodiscard]] bool ok() const
    {
        return m_state.index() == 0;
    }

    /// The value. Throws the Error if there is none. Thread-safe.
    [[nodiscard]] const T &value() const
    {
        if (const auto *error = std::get_if<1>(&m_state)) {
            throw *error;
        }
        return *std::get_if<0>(&m_state);
    }

    /// Moves the value out. Throws the Error if there is none. Not thread-safe; the value is left moved-from.
    [[nodiscard]] T take()
    {
        if (const auto *error = std::get_if<1>(&m_state)) {
            throw *error;
        }
        return std::move(*std::get_if<0>(&m_state));
    }

    /// The error. Precondition: !ok(). Thread-safe.
    [[nodiscard]] const Error &error() const
    {
        return std::get<1>(m_state);
    }

private:
    std::variant<T, Error> m_state;
};

} // namespace PrimroseBridge
