#pragma once

#include "primrosebridge/Model/error.h"

#include <utility>
#include <variant>

namespace PrimroseBridge {

/// A value or the Error that explains why there is none.
///
/// Functions that can fail return it. Distinct objects may be used from any thread.
template<class T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): lets a function return its value directly.
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    Result(Error error) // NOLINT(google-explicit-constructor): lets a function return its error directly.
        : m_state(std::in_place_index<1>, std::move(error))
    {
    }

    /// Returns true if there is a value. Thread-safe.
    [[nodiscard]] bool ok() const
    {
        return m_state.index() == 0;
    }

    /// Returns the value. Throws the Error if there is none. Thread-safe.
    [[nodiscard]] const T &value() const
    {
        if (const auto *error = std::get_if<1>(&m_state)) {
            throw *error;
        }
        return *std::get_if<0>(&m_state);
    }

    /// Moves the value out of this object. Throws the Error if there is none. Not thread-safe.
    [[nodiscard]] T take()
    {
        if (const auto *error = std::get_if<1>(&m_state)) {
            throw *error;
        }
        return std::move(*std::get_if<0>(&m_state));
    }

    /// Returns the error. Precondition: !ok(). Thread-safe.
    [[nodiscard]] const Error &error() const
    {
        return std::get<1>(m_state);
    }

private:
    std::variant<T, Error> m_state;
};

} // namespace PrimroseBridge
