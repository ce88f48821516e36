#include "forwardclient.h"

#include "forwardcodec.h"
#include "limits.h"

#include "primrosebridge/Wire/address.h"
#include "primrosebridge/Wire/error.h"

#include <grpcpp/client_context.h>

#include <algorithm>

namespace PrimroseBridge {

namespace wire = primrosebridge::wire;

static bool hasEffect(ForwardKind kind)
{
    return kind == ForwardKind::Submit || kind == ForwardKind::Cancel;
}

static Result<ForwardAnswer> readAnswer(const wire::ForwardReply &reply, const ForwardCall &call, const std::string &address)
{
    auto answer = decodeForwardAnswer(reply);
    const bool unreadable = !answer.ok() && !reply.has_error();
    if (unreadable && hasEffect(call.m_kind)) {
        return Error(ErrorKind::DeadlineExceeded,
                     "the answer of " + address + " cannot be read; the owner may have taken the call",
                     "ask for the state of the request before sending it again");
    }
    return answer;
}

Result<ForwardAnswer> forwardTo(PeerState &state, const std::string &address, const ForwardCall &call)
{
    const auto checked = checkAddress("owner address", address);
    if (!checked.ok()) {
        return checked.error();
    }
    const auto connection = state.m_connections.get(address);
    grpc::ClientContext context;
    const RegisteredCall registered(state.m_calls, context);
    if (!registered.accepted()) {
        return Error(ErrorKind::Unavailable, "this process is stopping", "send the call to another VM", Duration(0));
    }
    if (!waitConnected(*connection, connectDeadline)) {
        return Error(ErrorKind::Unavailable, "the owner at " + address + " cannot be reached", "retry after the given time", connectDeadline);
    }
    context.set_deadline(std::chrono::system_clock::now() + std::clamp(call.m_wait, Duration(0), maxForwardWait) + forwardMargin);
    wire::ForwardRequest request;
    encodeForwardCall(call, &request);
    wire::ForwardReply reply;
    const auto status = connection->m_stub->Forward(&context, request, &reply);
    if (!status.ok()) {
        return hasEffect(call.m_kind) ? errorOfWrite(status, address) : errorOfRead(status, address);
    }
    return readAnswer(reply, call, address);
}

} // namespace PrimroseBridge
