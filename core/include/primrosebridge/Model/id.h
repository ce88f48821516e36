#pragma once

#include "primrosebridge/Model/result.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Maximum length of an identifier, in bytes. Identifiers are parts of store keys, which should be short.
constexpr std::size_t maxIdentifierBytes = 128;

/// Returns @p text, or an InvalidArgument error if it isn't 1 to maxIdentifierBytes characters of `a-z A-Z 0-9 . _ -`.
/// @p kind names the kind of identifier in the error message. Thread-safe.
Result<std::string> checkIdentifier(std::string_view kind, std::string_view text);

/// An identifier whose type says what kind of object it identifies.
///
/// An object is immutable; distinct objects may be used from any thread.
template<class Tag>
class Id
{
public:
    /// Returns the identifier, or an InvalidArgument error if @p text is malformed. Thread-safe.
    static Result<Id> create(std::string_view text)
    {
        auto checked = checkIdentifier(Tag::name, text);
        if (!checked.ok()) {
            return checked.error();
        }
        return Id(checked.value());
    }

    /// Returns the identifier's text, which is never empty. Thread-safe.
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

    bool operator==(const Id &) const = default;
    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.

private:
    explicit Id(std::string text)
        : m_text(std::move(text))
    {
    }

    std::string m_text;
};

struct ZoneTag {
    static constexpr std::string_view name = "availability zone";
};
struct RackTag {
    static constexpr std::string_view name = "rack";
};
struct WorkerTag {
    static constexpr std::string_view name = "worker";
};
struct OrganisationTag {
    static constexpr std::string_view name = "organisation";
};
struct JobClassTag {
    static constexpr std::string_view name = "job class";
};
struct RequestTag {
    static constexpr std::string_view name = "request key";
};
struct VmTag {
    static constexpr std::string_view name = "VM";
};

using ZoneId = Id<ZoneTag>;
using RackId = Id<RackTag>;
using WorkerId = Id<WorkerTag>;
using OrganisationId = Id<OrganisationTag>;
using JobClassId = Id<JobClassTag>;
using RequestKey = Id<RequestTag>;
using VmId = Id<VmTag>;

} // namespace PrimroseBridge

template<class Tag>
struct std::hash<PrimroseBridge::Id<Tag>> {
    std::size_t operator()(const PrimroseBridge::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
