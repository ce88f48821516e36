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

/// Accepted values of a whole number, including both limits.
struct IntegerRange {
    const std::int64_t m_min;
    const std::int64_t m_max;

    bool operator==(const IntegerRange &) const = default;
};

/// Accepted values of a number, including both limits.
struct NumberRange {
    const double m_min;
    const double m_max;

    bool operator==(const NumberRange &) const = default;
};

/// Reads the members of one JSON object and reports their faults.
///
/// A function that reports a fault returns the default or another placeholder value, so that reading continues and all faults
/// are found in one pass. A field without a default is required. Not thread-safe.
class ObjectReader
{
public:
    /// Reads from @p node, whose JSON pointer is @p path. Reports a fault if the node is not an object. The node and the fault list
    /// must outlive this object.
    ObjectReader(const JsonNode &node, std::string path, FaultList &faults);

    /// Reads a string. Returns an empty string after a fault if there is no default.
    std::string readString(std::string_view name, const std::optional<std::string> &defaultValue = std::nullopt);
    /// Reads a whole number within @p range. Returns the lower limit after a fault if there is no default.
    std::int64_t readInteger(std::string_view name, const IntegerRange &range, std::optional<std::int64_t> defaultValue = std::nullopt);
    /// Reads a number within @p range. Returns the lower limit after a fault if there is no default.
    double readNumber(std::string_view name, const NumberRange &range, std::optional<double> defaultValue = std::nullopt);
    /// Reads true or false. Returns the default after a fault.
    bool readBoolean(std::string_view name, bool defaultValue);

    /// Returns a reader for the object in a member. If the member is missing, the reader reports the required fields of the object
    /// as missing.
    ObjectReader readObject(std::string_view name);

    /// Reads a JSON array. Returns an empty array if it is missing or after a fault. An array with more than @p maxElements elements is
    /// a fault.
    const JsonArray &readArray(std::string_view name, std::size_t maxElements);

    /// Reads a required identifier of the given type. Returns the identifier "invalid" after a fault.
    template<class Tag>
    Id<Tag> readIdentifier(std::string_view name)
    {
        const auto path = pathOf(name);
        const auto read = readString(name);
        auto id = Id<Tag>::create(read);
        if (!id.ok() && !m_faults.hasRelatedFault(path)) {
            m_faults.add(path, "is " + quoteTruncated(read) + ": " + id.error().message(), id.error().remedy());
        }
        return id.ok() ? id.value() : Id<Tag>::create("invalid").value();
    }

    /// Returns true if the object has this member.
    [[nodiscard]] bool hasMember(std::string_view name) const;

    /// Returns the JSON pointer of a member.
    [[nodiscard]] std::string pathOf(std::string_view name) const;

    /// Returns the JSON pointer of the object.
    [[nodiscard]] const std::string &path() const;

    /// Returns the list to which faults are reported.
    [[nodiscard]] FaultList &faults() const;

    /// Reports a fault for each member that has not been read, and suggests the most similar known name.
    void reportUnknownMembers() const;

private:
    ObjectReader(const JsonObject *members, bool reportMissing, std::string path, FaultList &faults);

    /// Adds @p name to the known names. Returns the member's value, or nullptr if there is none.
    const JsonNode *findMember(std::string_view name);
    /// Like findMember(), but also reports a fault if the member is missing and @p required is true.
    const JsonNode *findOrReportMissing(std::string_view name, bool required, const std::string &expected);
    void reportInvalidValue(std::string_view name, const JsonNode &node, const std::string &expected);

    const JsonObject *m_members; ///< Members of the object; nullptr if there is no object.
    bool m_reportMissing; ///< False if the object itself was reported, so that its fields are not reported as missing.
    std::string m_path;
    FaultList &m_faults;
    std::vector<std::string_view> m_knownNames; ///< Names that have been read. The views refer to string literals of the callers.
};

} // namespace PrimroseBridge
