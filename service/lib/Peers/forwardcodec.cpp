#include "forwardcodec.h"

#include "limits.h"

#include "primrosebridge/Wire/error.h"
#include "primrosebridge/Wire/peer.pb.h"
#include "primrosebridge/Wire/range.h"

#include <algorithm>
#include <cassert>

namespace PrimroseBridge {

namespace wire = primrosebridge::wire;

static wire::ForwardRequest::Kind encodeKind(ForwardKind kind)
{
    switch (kind) {
    case ForwardKind::Submit:
        return wire::ForwardRequest::SUBMIT;
    case ForwardKind::Get:
        return wire::ForwardRequest::GET;
    case ForwardKind::Cancel:
        return wire::ForwardRequest::CANCEL;
    case ForwardKind::Explain:
        return wire::ForwardRequest::EXPLAIN;
    }
    assert(false && "every kind of forwarded call has a code");
    return wire::ForwardRequest::GET;
}

// Throws InvalidArgument: a newer release may send kinds that this one does not know.
static ForwardKind decodeKind(wire::ForwardRequest::Kind kind)
{
    switch (kind) {
    case wire::ForwardRequest::SUBMIT:
        return ForwardKind::Submit;
    case wire::ForwardRequest::GET:
        return ForwardKind::Get;
    case wire::ForwardRequest::CANCEL:
        return ForwardKind::Cancel;
    case wire::ForwardRequest::EXPLAIN:
        return ForwardKind::Explain;
    default:
        throw Error(ErrorKind::InvalidArgument, "kind of forwarded call " + std::to_string(kind) + " is unknown", "run the same release on all VMs");
    }
}

void encodeForwardCall(const ForwardCall &call, wire::ForwardRequest *message)
{
    message->set_kind(encodeKind(call.m_kind));
    message->set_zone(call.m_zone.text());
    message->set_key(call.m_key.text());
    message->set_organisation(call.m_organisation.text());
    message->set_wait_ms(std::clamp(call.m_wait, Duration(0), maxForwardWait).count());
    message->set_job_class(call.m_jobClass);
    message->set_payload(call.m_payload);
    message->set_declared_run_time_ms(call.m_declaredRunTime.count());
}

static std::string checkPayload(const std::string &payload)
{
    if (payload.size() > maxRequestBytes) {
        throw Error(
            ErrorKind::TooLarge, "the payload has " + std::to_string(payload.size()) + " bytes", "send at most " + std::to_string(maxRequestBytes) + " bytes");
    }
    return payload;
}

static ForwardCall readForwardCall(const wire::ForwardRequest &message)
{
    constexpr Duration longestRunTime = std::chrono::years(1);
    const ForwardKind kind = decodeKind(message.kind());
    const bool submit = kind == ForwardKind::Submit;
    return ForwardCall{
        .m_kind = kind,
        .m_zone = ZoneId::create(message.zone()).value(),
        .m_key = RequestKey::create(message.key()).value(),
        .m_organisation = OrganisationId::create(message.organisation()).value(),
        .m_wait = Duration(checkRange("wait in ms", message.wait_ms(), 0, maxForwardWait.count()).value()),
        .m_jobClass = submit ? JobClassId::create(message.job_class()).value().text() : std::string(),
        .m_payload = checkPayload(message.payload()),
        .m_declaredRunTime = Duration(checkRange("declared run time in ms", message.declared_run_time_ms(), 0, longestRunTime.count()).value()),
    };
}

Result<ForwardCall> decodeForwardCall(const wire::ForwardRequest &message)
{
    try {
        return readForwardCall(message);
    } catch (const Error &error) {
        return error;
    }
}

void encodeForwardAnswer(const Result<ForwardAnswer> &answer, wire::ForwardReply *message)
{
    if (!answer.ok()) {
        encodeError(answer.error(), message->mutable_error());
        return;
    }
    const Outcome &outcome = answer.value().m_outcome;
    message->set_outcome(std::string(outcomeKindName(outcome.m_kind)));
    message->set_result(outcome.m_result);
    message->set_reason(outcome.m_reason);
    message->set_attempt(outcome.m_attempt);
    message->set_explanation(answer.value().m_explanation);
}

Result<ForwardAnswer> decodeForwardAnswer(const wire::ForwardReply &message)
{
    if (message.has_error()) {
        return decodeError(message.error());
    }
    const auto kind = outcomeKindFromName(message.outcome());
    if (!kind.ok() || message.attempt() < 0) {
        return Error(ErrorKind::Internal, "the owner's answer cannot be read", "run the same release on all VMs");
    }
    return ForwardAnswer{
        .m_outcome = Outcome{kind.value(), message.result(), message.reason(), message.attempt()},
        .m_explanation = message.explanation(),
    };
}

void encodeEvent(const TimelineEvent &event, wire::Event *message)
{
    message->set_id(event.m_id);
    message->set_at_ms(toMilliseconds(event.m_at));
    message->set_kind(event.m_kind);
    message->set_key(event.m_key);
    message->set_cause_process(event.m_cause.m_process);
    message->set_cause_id(event.m_cause.m_id);
    message->set_text(event.m_text);
}

static std::string emptyOrIdentifier(std::string_view what, const std::string &text)
{
    return text.empty() ? std::string() : checkIdentifier(what, text).value();
}

static TimelineEvent readEvent(const wire::Event &message)
{
    constexpr std::size_t longestText = 8192;
    return TimelineEvent{
        .m_id = checkRange("event id", message.id(), 0).value(),
        .m_at = checkInstant("event time", message.at_ms()).value(),
        .m_kind = checkIdentifier("event kind", message.kind()).value(),
        .m_key = emptyOrIdentifier("event key", message.key()),
        .m_cause = EventReference{emptyOrIdentifier("event cause", message.cause_process()), checkRange("event cause id", message.cause_id(), 0).value()},
        .m_text = message.text().substr(0, longestText),
    };
}

Result<TimelineEvent> decodeEvent(const wire::Event &message)
{
    try {
        return readEvent(message);
    } catch (const Error &error) {
        return error;
    }
}

} // namespace PrimroseBridge
