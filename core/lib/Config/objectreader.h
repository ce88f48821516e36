#pragma once

#include "document.h"
#include "faultlist.h"

#include "primrosebridge/Model/id.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Accepted values of a whole number, both ends included.
struct IntegerRange {
    const std::int64_t m_min;
    const std::int64_t m_max;

    bool operator==(const IntegerRange &) const = default;
};

/// Accepted values of a number, both ends included.
struct NumberRange {
    const double m_min;
    const double m_max;

    bool operator==(const NumberRange &) const = default;
};

/// Reads the members of one JSON object and reports what is wrong with them.
///
/// A function that reports a fault returns a value that satisfies the field's limits, so that reading goes on and all
/// faults are found in one run. A field without a default is required. Not thread-safe.
class ObjectReader
{
public:
    /// Reads @p node, which is at @p path; reports a fault if it is no object. The node and the list must outlive this.
    ObjectReader(const JsonNode &node, std::string path, FaultList &faults);

    /// A text; empty after a fault without a default.
    std::string text(std::string_view name, const std::optional<std::string> &defaultValue = std::nullopt);
    /// A whole number within @p range.
    std::int64_t integer(std::string_view name, const IntegerRange &range, std::optional<std::int64_t> defaultValue = std::nullopt);
    /// A number within @p range.
    double number(std::string_view name, const NumberRange &range, std::optional<double> defaultValue = std::nullopt);
    /// true or false.
    bool boolean(std::string_view name, bool defaultValue);

    /// The fields of an object member; if it is missing, its own required fields are reported as missing.
    ObjectReader object(std::string_view name);

    /// The elements of a list; an absent list is empty.
    const JsonArray &list(std::string_view name, std::size_t maxElements);

    /// An identifier of the given type.
    template<class Tag>
    Id<Tag> identifier(std::string_view name)
    {
        const auto path = pathOf(name);
        const auto read = text(name);
        auto id = Id<Tag>::create(read);
        if (!id.ok() && !m_faults.hasRelatedFault(path)) {
            m_faults.add(path, "is " + quoteTruncated(read) + ": " + id.error().message(), id.error().remedy());
        }
        return id.ok() ? id.value() : Id<Tag>::create("invalid").value();
    }

    /// True if the member is present.
    [[nodiscard]] bool has(std::string_view name) const;

    /// JSON pointer of a member.
    [[nodiscard]] std::string pathOf(std::string_view name) const;

    /// JSON pointer of the object.
    [[nodiscard]] const std::string &path() const;

    /// Where faults are reported.
    [[nodiscard]] FaultList &faults() const;

    /// Reports each member that no function above has asked for, with the nearest name that one has asked for.
    void reportUnknownMembers() const;

private:
    ObjectReader(const JsonObject *members, bool reportMissing, std::string path, FaultList &faults);

    const JsonNode *find(std::string_view name);
    const JsonNode *findOrReportMissing(std::string_view name, bool required, const std::string &expected);
    void reportInvalidValue(std::string_view name, const JsonNode &node, const std::string &expected);

    const JsonObject *m_members; ///< nullptr if there is no object to read.
    bool m_reportMissing; ///< False if the object itself was reported.
    std::string m_path;
    FaultList &m_faults;
    std::vector<std::string_view> m_knownNames; ///< Names asked for; callers pass string literals.
};

} // namespace PrimroseBridge
