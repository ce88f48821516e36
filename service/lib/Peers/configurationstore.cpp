#include "primrosebridge/Peers/configurationstore.h"

#include "primrosebridge/Config/reader.h"
#include "primrosebridge/Store/storeclient.h"

#include <algorithm>
#include <optional>

namespace PrimroseBridge {

static std::string historyKey(std::int64_t version)
{
    return std::string(historyPrefix) + std::to_string(version);
}

static Result<Configuration> checkDocument(const std::string &document)
{
    const auto read = readConfiguration(document);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        return Error(ErrorKind::InvalidArgument, "the configuration has faults: " + describeFaults(*faults), "correct every fault and send it again");
    }
    return std::get<Configuration>(read);
}

// The configuration key as it was read: version 0 and revision 0 if it does not exist.
struct CurrentKey {
    const std::int64_t m_version;
    const std::int64_t m_modRevision;
    const std::string m_document;
};

// Unavailable if the store does not answer: a read that is lost has changed nothing.
static Result<CurrentKey> readCurrent(StoreClient &store)
{
    const auto read = store.get(std::string(configurationKey));
    if (!read.ok()) {
        return Error(ErrorKind::Unavailable, "the store does not show the version in force: " + read.error().message(), "retry", std::chrono::seconds(1));
    }
    const auto &stored = read.value();
    if (!stored) {
        return CurrentKey{0, 0, {}};
    }
    const auto configuration = checkDocument(stored->m_value);
    if (!configuration.ok()) {
        return Error(ErrorKind::Internal, "the stored configuration cannot be read: " + configuration.error().message(), "run the release that published it");
    }
    return CurrentKey{configuration.value().m_version, stored->m_modRevision, stored->m_value};
}

static Error conflict(std::int64_t inForce, std::int64_t expected)
{
    return Error(ErrorKind::Conflict,
                 "version " + std::to_string(inForce) + " is in force, not version " + std::to_string(expected),
                 "read version " + std::to_string(inForce) + ", make the change in it and publish again");
}

static Transaction publication(const CurrentKey &current, const StoredConfiguration &next)
{
    const std::string key(configurationKey);
    const auto target = current.m_modRevision == 0 ? CompareTarget::CreateRevision : CompareTarget::ModRevision;
    std::vector<std::string> outdated;
    if (next.m_version > keptVersions) {
        outdated.push_back(historyKey(next.m_version - keptVersions));
    }
    return Transaction{
        .m_compares = {Compare{key, target, current.m_modRevision}},
        .m_puts = {Put{key, next.m_document, 0}, Put{historyKey(next.m_version), next.m_document, 0}},
        .m_deletes = std::move(outdated),
        .m_readsOnFailure = {},
    };
}

// Whether this version was written with this text. The history keeps it also if a later version is in force by now. An equal text that another
// operator has published under the same version cannot be told apart and means the same.
static Result<bool> isStored(StoreClient &store, const StoredConfiguration &version)
{
    const auto read = store.get(historyKey(version.m_version));
    if (!read.ok()) {
        return read.error();
    }
    return read.value() && read.value()->m_value == version.m_document;
}

// The result of one attempt; empty if its answer was lost and reading back has not shown the version.
static std::optional<Result<StoredConfiguration>> tryPublish(StoreClient &store, const CurrentKey &current, const StoredConfiguration &next)
{
    const auto committed = store.commit(publication(current, next));
    if (committed.ok() && committed.value().m_succeeded) {
        return next;
    }
    if (!committed.ok() && committed.error().kind() != ErrorKind::DeadlineExceeded) {
        return committed.error();
    }
    const auto stored = isStored(store, next);
    if (stored.ok() && stored.value()) {
        return next;
    }
    if (!committed.ok() || !stored.ok()) {
        return std::nullopt;
    }
    const auto winner = readCurrent(store);
    return winner.ok() ? conflict(winner.value().m_version, current.m_version) : winner.error();
}

static Result<StoredConfiguration> settle(StoreClient &store, const CurrentKey &current, const StoredConfiguration &next)
{
    // Repeating is safe: the comparison lets only one of the attempts take effect, and a delayed one is found by reading back.
    constexpr int attempts = 3;
    bool answerLost = false;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto result = tryPublish(store, current, next);
        const bool notWritten = result && !result->ok() && result->error().kind() == ErrorKind::Unavailable;
        if (result && !(notWritten && answerLost)) {
            return *result;
        }
        answerLost = true;
    }
    return Error(ErrorKind::DeadlineExceeded,
                 "the store did not answer whether version " + std::to_string(next.m_version) + " was written",
                 "read the version in force before publishing again");
}

Result<StoredConfiguration> publishConfiguration(StoreClient &store, const std::string &document, std::int64_t expectedVersion)
{
    const auto configuration = checkDocument(document);
    if (!configuration.ok()) {
        return configuration.error();
    }
    const auto current = readCurrent(store);
    if (!current.ok()) {
        return current.error();
    }
    if (current.value().m_version != expectedVersion) {
        return conflict(current.value().m_version, expectedVersion);
    }
    const std::int64_t version = expectedVersion + 1;
    const StoredConfiguration next{version, writeConfiguration(withVersion(configuration.value(), version))};
    if (next.m_document.size() > maxConfigurationBytes) {
        return Error(ErrorKind::TooLarge,
                     "the configuration has " + std::to_string(next.m_document.size()) + " bytes with its defaults filled in",
                     "keep it below " + std::to_string(maxConfigurationBytes) + " bytes");
    }
    return settle(store, current.value(), next);
}

Result<std::vector<StoredConfiguration>> readHistory(StoreClient &store, std::size_t limit)
{
    constexpr std::size_t maxHistoryBytes = 8 * 1024 * 1024;
    const auto current = readCurrent(store);
    if (!current.ok()) {
        return current.error();
    }
    std::vector<StoredConfiguration> newestFirst;
    std::size_t bytes = 0;
    for (auto version = current.value().m_version; version > 0 && newestFirst.size() < limit && bytes < maxHistoryBytes; --version) {
        const auto read = readHistoryVersion(store, version);
        if (!read.ok() && read.error().kind() == ErrorKind::NotFound) {
            break;
        }
        if (!read.ok()) {
            return read.error();
        }
        newestFirst.push_back(read.value());
        bytes += read.value().m_document.size();
    }
    return std::vector<StoredConfiguration>(newestFirst.rbegin(), newestFirst.rend());
}

Result<StoredConfiguration> readHistoryVersion(StoreClient &store, std::int64_t version)
{
    const auto read = store.get(historyKey(version));
    if (!read.ok()) {
        return read.error();
    }
    if (!read.value()) {
        return Error(ErrorKind::NotFound, "version " + std::to_string(version) + " is not stored", "choose one that the history lists");
    }
    return StoredConfiguration{version, read.value()->m_value};
}

} // namespace PrimroseBridge
