#include "primrosebridge/Records/codec.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;

std::string requestEntryKey(const RequestKey &key)
{
    return "primrosebridge/requests/" + key.text();
}

std::string activePrefix(const ZoneId &zone)
{
    return "primrosebridge/active/" + zone.text() + '/';
}

std::string activeKey(const ZoneId &zone, const RequestKey &key)
{
    return activePrefix(zone) + key.text();
}

static Json encodeShape(const Shape &shape)
{
    return {
        {"accelerators", shape.m_accelerators},
        {"adjacency", adjacencyName(shape.m_adjacency)},
        {"cores", shape.m_cores},
        {"memoryMb", shape.m_memoryMb},
    };
}

static Shape decodeShape(const Json &json)
{
    return Shape{
        .m_accelerators = json.at("accelerators").get<int>(),
        .m_adjacency = adjacencyFromName(json.at("adjacency").get<std::string>()).value(),
        .m_cores = json.at("cores").get<int>(),
        .m_memoryMb = json.at("memoryMb").get<std::int64_t>(),
    };
}

static Json encodeJobClass(const JobClass &jobClass)
{
    return {
        {"id", jobClass.m_id.text()},
        {"tier", tierName(jobClass.m_tier)},
        {"shape", encodeShape(jobClass.m_shape)},
        {"idempotent", jobClass.m_idempotent},
        {"durable", jobClass.m_durable},
        {"checkpointable", jobClass.m_checkpointable},
        {"restartable", jobClass.m_restartable},
        {"expectedRunTimeMs", jobClass.m_expectedRunTime.count()},
        {"maxRunTimeMs", jobClass.m_maxRunTime.count()},
        {"maxAttempts", jobClass.m_maxAttempts},
    };
}

static JobClass decodeJobClass(const Json &json)
{
    return JobClass{
        .m_id = JobClassId::create(json.at("id").get<std::string>()).value(),
        .m_tier = tierFromName(json.at("tier").get<std::string>()).value(),
        .m_shape = decodeShape(json.at("shape")),
        .m_idempotent = json.at("idempotent").get<bool>(),
        .m_durable = json.at("durable").get<bool>(),
        .m_checkpointable = json.at("checkpointable").get<bool>(),
        .m_restartable = json.at("restartable").get<bool>(),
        .m_expectedRunTime = Duration(json.at("expectedRunTimeMs").get<long long>()),
        .m_maxRunTime = Duration(json.at("maxRunTimeMs").get<long long>()),
        .m_maxAttempts = json.at("maxAttempts").get<int>(),
    };
}

static Json encodeRequest(const Request &request)
{
    return {
        {"key", request.m_key.text()},
        {"organisation", request.m_organisation.text()},
        {"class", request.m_jobClass.text()},
        {"zone", request.m_zone.text()},
        {"payload", request.m_payload},
        {"declaredRunTimeMs", request.m_declaredRunTime.count()},
        {"submittedAtMs", toMilliseconds(request.m_submittedAt)},
    };
}

static Request decodeRequest(const Json &json)
{
    return Request{
        .m_key = RequestKey::create(json.at("key").get<std::string>()).value(),
        .m_organisation = OrganisationId::create(json.at("organisation").get<std::string>()).value(),
        .m_jobClass = JobClassId::create(json.at("class").get<std::string>()).value(),
        .m_zone = ZoneId::create(json.at("zone").get<std::string>()).value(),
        .m_payload = json.at("payload").get<std::string>(),
        .m_declaredRunTime = Duration(json.at("declaredRunTimeMs").get<long long>()),
        .m_submittedAt = fromMilliseconds(json.at("submittedAtMs").get<long long>()),
    };
}

static Json encodeMember(const MemberStatus &status)
{
    return {
        {"worker", status.m_member.m_worker.text()},
        {"accelerators", status.m_member.m_accelerators},
        {"cores", status.m_member.m_cores},
        {"memoryMb", status.m_member.m_memoryMb},
        {"incarnation", status.m_incarnation},
    };
}

static MemberStatus decodeMember(const Json &json)
{
    return MemberStatus{
        .m_member =
            GangMember{
                .m_worker = WorkerId::create(json.at("worker").get<std::string>()).value(),
                .m_accelerators = json.at("accelerators").get<AcceleratorSet>(),
                .m_cores = json.at("cores").get<int>(),
                .m_memoryMb = json.at("memoryMb").get<std::int64_t>(),
            },
        .m_incarnation = json.at("incarnation").get<std::string>(),
        .m_state = MemberState::NotKnown,
        .m_heldAt = 0,
        .m_result = {},
    };
}

static Json encodeOutcome(const Outcome &outcome)
{
    return {
        {"kind", outcomeKindName(outcome.m_kind)},
        {"result", outcome.m_result},
        {"reason", outcome.m_reason},
        {"attempt", outcome.m_attempt},
    };
}

static Outcome decodeOutcome(const Json &json)
{
    return Outcome{
        .m_kind = outcomeKindFromName(json.at("kind").get<std::string>()).value(),
        .m_result = json.at("result").get<std::string>(),
        .m_reason = json.at("reason").get<std::string>(),
        .m_attempt = json.at("attempt").get<int>(),
    };
}

// Results are bytes from workers, which need not be valid UTF-8.
static std::string toText(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeJob(const Job &job)
{
    Json members = Json::array();
    for (const auto &member : job.m_members) {
        members.push_back(encodeMember(member));
    }
    return toText({
        {"request", encodeRequest(job.m_request)},
        {"jobClass", encodeJobClass(job.m_jobClass)},
        {"fence", job.m_fence},
        {"attempt", job.m_attempt},
        {"failures", job.m_failures},
        {"members", members},
        {"cancelRequested", job.m_cancelRequested},
        {"hasCheckpoint", job.m_hasCheckpoint},
    });
}

static Job decodeJobFields(const Json &json)
{
    std::vector<MemberStatus> members;
    for (const auto &member : json.at("members")) {
        members.push_back(decodeMember(member));
    }
    return Job{
        .m_request = decodeRequest(json.at("request")),
        .m_jobClass = decodeJobClass(json.at("jobClass")),
        .m_phase = JobPhase::Accepting,
        .m_stopCause = StopCause::None,
        .m_fence = json.at("fence").get<std::int64_t>(),
        .m_attempt = json.at("attempt").get<int>(),
        .m_failures = json.at("failures").get<int>(),
        .m_members = members,
        .m_startedAt = std::nullopt,
        .m_cancelRequested = json.at("cancelRequested").get<bool>(),
        .m_hasCheckpoint = json.at("hasCheckpoint").get<bool>(),
        .m_recorded = true,
        .m_outcome = Outcome{.m_kind = OutcomeKind::Pending, .m_result = {}, .m_reason = {}, .m_attempt = 0},
    };
}

static Error damagedRecord(const char *what)
{
    return Error(ErrorKind::Internal, std::string("a record in the store is damaged: ") + what, "restore the key from the store's backup or delete it");
}

Result<Job> decodeJob(const std::string &text)
{
    try {
        return decodeJobFields(Json::parse(text));
    } catch (const Json::exception &error) {
        return damagedRecord(error.what());
    } catch (const Error &error) {
        return damagedRecord(error.what());
    }
}

std::string encodeRequestEntry(const RequestEntry &entry)
{
    Json json = {
        {"zone", entry.m_zone.text()},
        {"organisation", entry.m_organisation.text()},
        {"class", entry.m_jobClass.text()},
        {"fingerprint", entry.m_fingerprint},
        {"writer", entry.m_writer},
    };
    if (entry.m_outcome) {
        json["outcome"] = encodeOutcome(*entry.m_outcome);
    }
    return toText(json);
}

static RequestEntry decodeRequestEntryFields(const Json &json)
{
    const auto outcome = json.find("outcome");
    return RequestEntry{
        .m_zone = ZoneId::create(json.at("zone").get<std::string>()).value(),
        .m_organisation = OrganisationId::create(json.at("organisation").get<std::string>()).value(),
        .m_jobClass = JobClassId::create(json.at("class").get<std::string>()).value(),
        .m_fingerprint = json.at("fingerprint").get<std::uint64_t>(),
        .m_writer = json.at("writer").get<std::string>(),
        .m_outcome = outcome == json.end() ? std::nullopt : std::optional<Outcome>(decodeOutcome(*outcome)),
    };
}

Result<RequestEntry> decodeRequestEntry(const std::string &text)
{
    try {
        return decodeRequestEntryFields(Json::parse(text));
    } catch (const Json::exception &error) {
        return damagedRecord(error.what());
    } catch (const Error &error) {
        return damagedRecord(error.what());
    }
}

} // namespace PrimroseBridge
