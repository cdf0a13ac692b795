#include "dispatch.h"

#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "generated/peer.h"

G_STATIC_ASSERT(DISPATCH_RECORD_BYTES == PEER_CALL_BYTES + 512);

typedef struct {
	struct rpc_msg msg;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	peer_call call;
} request_t;

/* Runs a handler. Returns the reply's body, or NULL when in doesn't decode or
 * its handler's answer is not allowed. */
typedef GBytes *(*run_t)(dispatch_t *dispatch, const peer_sender_t *from,
    const peer_call *call, GError **error);

static GByteArray *
reply_encode(struct rpc_msg *msg, size_t size)
{
	GByteArray *bytes = g_byte_array_new();
	XDR xdr;

	g_byte_array_set_size(bytes, (guint)size);
	xdrmem_create(&xdr, (char *)bytes->data, (u_int)size, XDR_ENCODE);
	if (!xdr_replymsg(&xdr, msg)) {
		g_byte_array_unref(bytes);
		return NULL;
	}
	g_byte_array_set_size(bytes, xdr_getpos(&xdr));
	return bytes;
}

static GByteArray *
reply_accepted(uint32_t xid, enum accept_stat status, peer_reply *reply)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};
	size_t size = 256;

	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = status;
	if (status == PROG_MISMATCH) {
		msg.acpted_rply.ar_vers.low = PEER_VERSION;
		msg.acpted_rply.ar_vers.high = PEER_VERSION;
	}
	if (reply != NULL) {
		msg.acpted_rply.ar_results.where = (char *)reply;
		msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_peer_reply;
		size += xdr_sizeof((xdrproc_t)xdr_peer_reply, reply);
	}
	return reply_encode(&msg, size);
}

static GByteArray *
reply_auth_error(uint32_t xid)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};

	msg.rm_reply.rp_stat = MSG_DENIED;
	msg.rjcted_rply.rj_stat = AUTH_ERROR;
	msg.rjcted_rply.rj_why = AUTH_REJECTEDCRED;
	return reply_encode(&msg, 256);
}

static GByteArray *
reply_sealed(const dispatch_t *dispatch, const request_t *request,
    peer_status status, uint64_t session, GBytes *body)
{
	const peer_call *call = &request->call;
	size_t len = 0;
	peer_reply reply = {
	    .sender = (char *)dispatch->self.name,
	    .incarnation = dispatch->self.incarnation,
	    .sequence = call->sequence,
	    .time_us = g_get_real_time(),
	    .session = session,
	    .status = status,
	};

	if (body != NULL) {
		reply.body.body_val = (char *)g_bytes_get_data(body, &len);
		reply.body.body_len = (u_int)len;
	}
	envelope_seal_reply(&dispatch->keys,
	    (uint32_t)request->msg.rm_call.cb_proc, call, &reply);
	return reply_accepted(request->msg.rm_xid, SUCCESS, &reply);
}

static GBytes *
run_heartbeat(dispatch_t *dispatch, const peer_sender_t *from,
    const peer_call *call, GError **error)
{
	heartbeat_t in, reply = {0};

	if (!heartbeat_decode(
		call->body.body_val, call->body.body_len, &in, error))
		return NULL;
	if (strcmp(in.sender, from->name) != 0 ||
	    in.incarnation != from->incarnation) {
		g_set_error(error, CS_ERROR, CS_ERROR_AUTH,
		    "heartbeat names another sender than its envelope");
		return NULL;
	}
	dispatch->handlers.on_heartbeat(&in, &reply, dispatch->handlers.user);
	g_strlcpy(reply.sender, dispatch->self.name, sizeof(reply.sender));
	reply.incarnation = dispatch->self.incarnation;
	reply.sent_at = in.sent_at;
	return heartbeat_encode(&reply, error);
}

static GBytes *
run_fetch(dispatch_t *dispatch, const peer_sender_t *from,
    const peer_call *call, GError **error)
{
	fetch_t in;
	fetch_reply_t reply = {0};
	GBytes *body;

	if (!fetch_decode(call->body.body_val, call->body.body_len, &in, error))
		return NULL;
	reply.kind = in.kind;
	dispatch->handlers.on_fetch(from, &in, &reply, dispatch->handlers.user);
	body = fetch_reply_encode(&reply, error);
	fetch_reply_clear(&reply);
	return body;
}

static GBytes *
run_borrow(dispatch_t *dispatch, const peer_sender_t *from,
    const peer_call *call, GError **error)
{
	borrow_request_t in;
	borrow_reply_t reply = {0};

	if (!borrow_request_decode(
		call->body.body_val, call->body.body_len, &in, error))
		return NULL;
	dispatch->handlers.on_borrow(
	    from, &in, &reply, dispatch->handlers.user);
	return borrow_reply_encode(&reply, error);
}

static GBytes *
run_return(dispatch_t *dispatch, const peer_sender_t *from,
    const peer_call *call, GError **error)
{
	return_t in;

	if (!return_decode(
		call->body.body_val, call->body.body_len, &in, error))
		return NULL;
	dispatch->handlers.on_return(from, &in, dispatch->handlers.user);
	return g_bytes_new(NULL, 0);
}

static run_t
run_find(unsigned long procedure)
{
	switch (procedure) {
	case PEER_HEARTBEAT:
		return run_heartbeat;
	case PEER_FETCH_LIST:
		return run_fetch;
	case PEER_BORROW:
		return run_borrow;
	case PEER_RETURN:
		return run_return;
	default:
		return NULL;
	}
}

/* Returns SUCCESS when the RPC header names a procedure of this program. */
static enum accept_stat
header_check(const struct rpc_msg *msg)
{
	if (msg->rm_call.cb_prog != PEER_PROGRAM)
		return PROG_UNAVAIL;
	if (msg->rm_call.cb_vers != PEER_VERSION)
		return PROG_MISMATCH;
	if (run_find(msg->rm_call.cb_proc) == NULL)
		return PROC_UNAVAIL;
	return SUCCESS;
}

/* The MAC and the session are right: runs the handler. */
static void
request_run(
    dispatch_t *dispatch, const request_t *request, dispatch_result_t *result)
{
	g_autoptr(GError) error = NULL;
	run_t run = run_find(request->msg.rm_call.cb_proc);
	GBytes *body = run(dispatch, &result->sender, &request->call, &error);

	if (body == NULL) {
		result->refused =
		    g_error_matches(error, CS_ERROR, CS_ERROR_AUTH)
			? "sender"
			: "malformed";
		result->reply =
		    reply_accepted(request->msg.rm_xid, GARBAGE_ARGS, NULL);
		return;
	}
	result->reply = reply_sealed(
	    dispatch, request, PEER_STATUS_DONE, request->call.session, body);
	g_bytes_unref(body);
}

static void
request_judge(
    dispatch_t *dispatch, const request_t *request, dispatch_result_t *result)
{
	uint32_t procedure = (uint32_t)request->msg.rm_call.cb_proc;
	uint64_t session;

	if (!envelope_check_call(
		&dispatch->keys, procedure, &request->call, NULL)) {
		result->refused = "unauthentic";
		result->reply = reply_auth_error(request->msg.rm_xid);
		return;
	}
	result->authentic = true;
	switch (replay_guard_check(dispatch->guard, &request->call, &session)) {
	case REPLAY_FRESH:
		request_run(dispatch, request, result);
		return;
	case REPLAY_CHALLENGE:
		counter_increment("peer_challenges", NULL, NULL);
		result->reply = reply_sealed(
		    dispatch, request, PEER_STATUS_CHALLENGE, session, NULL);
		return;
	case REPLAY_REPEATED:
		break;
	}
	result->refused = "replayed";
	result->reply = reply_auth_error(request->msg.rm_xid);
}

static bool
call_valid(const peer_call *call)
{
	return peer_name_valid(call->sender) && call->incarnation != 0 &&
	       call->sequence != 0;
}

dispatch_result_t
dispatch_record(dispatch_t *dispatch, const uint8_t *record, size_t len)
{
	dispatch_result_t result = {0};
	request_t request = {0};
	enum accept_stat header;
	XDR xdr;

	request.msg.rm_call.cb_cred.oa_base = request.cred;
	request.msg.rm_call.cb_verf.oa_base = request.verf;
	xdrmem_create(&xdr, (char *)record, (u_int)len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &request.msg)) {
		result.refused = "malformed";
		return result;
	}
	header = header_check(&request.msg);
	if (header != SUCCESS) {
		result.refused = "malformed";
		result.reply = reply_accepted(request.msg.rm_xid, header, NULL);
		return result;
	}
	if (xdr_peer_call(&xdr, &request.call) && xdr_getpos(&xdr) == len &&
	    call_valid(&request.call)) {
		g_strlcpy(result.sender.name, request.call.sender,
		    sizeof(result.sender.name));
		result.sender.incarnation = request.call.incarnation;
		request_judge(dispatch, &request, &result);
	} else {
		result.refused = "malformed";
		result.reply =
		    reply_accepted(request.msg.rm_xid, GARBAGE_ARGS, NULL);
	}
	xdr_free((xdrproc_t)xdr_peer_call, &request.call);
	return result;
}
