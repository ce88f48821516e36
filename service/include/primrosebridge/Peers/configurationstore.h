#pragma once

#include "primrosebridge/Model/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

class StoreClient;

/// Keys below this prefix tell every process what is in force: the configuration and the owners of the zones.
constexpr std::string_view controlPrefix = "primrosebridge/control/";
/// The configuration document in force.
constexpr std::string_view configurationKey = "primrosebridge/control/configuration";
/// Followed by a zone: the owner of that zone.
constexpr std::string_view ownersPrefix = "primrosebridge/control/owners/";
/// Followed by a version: the document of that version.
constexpr std::string_view historyPrefix = "primrosebridge/history/";

/// Versions that the store keeps; publishing removes the one before them. At 420 changes a day they reach back a day.
constexpr std::int64_t keptVersions = 500;

/// One version of the configuration document as the store holds it.
struct StoredConfiguration {
    const std::int64_t m_version;
    const std::string m_document;

    bool operator==(const StoredConfiguration &) const = default;
};

/// Checks @p document, gives it the version after @p expectedVersion and writes it together with its history entry in one transaction. The text
/// is written anew from the checked values, without comments. Returns what is then in force.
///
/// Errors: InvalidArgument names every fault of the document. Conflict names the version in force if it is not @p expectedVersion (0 before the
/// first version). Unavailable means that nothing was written. DeadlineExceeded means that a lost answer could not be settled by reading back
/// within three attempts, so the version may yet come into force. Blocks; thread-safe.
Result<StoredConfiguration> publishConfiguration(StoreClient &store, const std::string &document, std::int64_t expectedVersion);

/// The newest versions that the store holds, oldest first: at most @p limit of them and, beyond the newest, at most 8 MiB of text. Errors are
/// those of StoreClient::get(). Blocks; thread-safe.
Result<std::vector<StoredConfiguration>> readHistory(StoreClient &store, std::size_t limit = 50);

/// One version from the history; NotFound if the store does not hold it. Blocks; thread-safe.
Result<StoredConfiguration> readHistoryVersion(StoreClient &store, std::int64_t version);

} // namespace PrimroseBridge
