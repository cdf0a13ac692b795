#include "exchange.h"

#include <ck_pr.h>
#include <string.h>

#include "common/error.h"

#define HEADER_BYTES 512

/* One count for the process, so that clients of the same peer differ. */
static uint64_t last_sequence;

size_t
exchange_reply_limit(peer_call_kind_t kind)
{
	size_t body =
	    kind == PEER_CALL_FETCH ? PEER_REPLY_BYTES : PEER_CALL_BYTES;

	return body + HEADER_BYTES;
}

GByteArray *
exchange_seal(exchange_t *exchange, peer_call_kind_t kind, uint32_t xid,
    uint64_t session, const peer_sender_t *self, const envelope_keys_t *keys,
    GBytes *body, GError **error)
{
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = CALL};
	GByteArray *record = g_byte_array_new();
	size_t len;
	const void *data = g_bytes_get_data(body, &len);
	size_t size = len + HEADER_BYTES;
	peer_call *call = &exchange->call;
	XDR xdr;

	exchange->kind = kind;
	exchange->xid = xid;
	*call = (peer_call){.sender = (char *)self->name,
	    .incarnation = self->incarnation,
	    .sequence = ck_pr_faa_64(&last_sequence, 1) + 1,
	    .time_us = g_get_real_time(),
	    .session = session,
	    .body = {(u_int)len, (char *)data}};
	envelope_seal_call(keys, (uint32_t)kind, call);
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = PEER_PROGRAM;
	msg.rm_call.cb_vers = PEER_VERSION;
	msg.rm_call.cb_proc = (rpcproc_t)kind;
	msg.rm_call.cb_cred = _null_auth;
	msg.rm_call.cb_verf = _null_auth;
	g_byte_array_set_size(record, (guint)size);
	xdrmem_create(&xdr, (char *)record->data, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &msg) && xdr_peer_call(&xdr, call)) {
		g_byte_array_set_size(record, xdr_getpos(&xdr));
	} else {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "peer call of %zu bytes is too long; the limit is %d", len,
		    PEER_CALL_BYTES);
		g_byte_array_unref(record);
		record = NULL;
	}
	/* They belong to the caller and aren't needed for the reply. */
	call->sender = NULL;
	call->body.body_len = 0;
	call->body.body_val = NULL;
	return record;
}

bool
exchange_is_other(const exchange_t *exchange, const uint8_t *record, size_t len)
{
	uint32_t xid;

	if (len < sizeof(xid))
		return false;
	memcpy(&xid, record, sizeof(xid));
	return g_ntohl(xid) != exchange->xid;
}

/* Sets the error for a reply that has no usable result. */
static void
status_error(enum clnt_stat status, const char *address, GError **error)
{
	cs_error_t code = CS_ERROR_IO;
	const char *remedy = "try again later or ask another peer";

	if (status == RPC_AUTHERROR) {
		code = CS_ERROR_AUTH;
		remedy = "give both instances the same fleet secret";
	} else if (status == RPC_CANTDECODEARGS ||
		   status == RPC_PROGVERSMISMATCH ||
		   status == RPC_CANTDECODERES) {
		code = CS_ERROR_SYNTAX;
		remedy = "run the same version of the program on both";
	}
	g_set_error(error, CS_ERROR, code, "call to peer %s failed: %s; %s",
	    address, clnt_sperrno(status), remedy);
}

static enum clnt_stat
record_decode(const uint8_t *record, size_t len, peer_reply *reply)
{
	struct rpc_msg msg = {0};
	struct rpc_err failed = {0};
	char verifier[MAX_AUTH_BYTES];
	XDR xdr;

	memset(reply, 0, sizeof(*reply));
	msg.acpted_rply.ar_verf.oa_base = verifier;
	msg.acpted_rply.ar_results.where = (char *)reply;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_peer_reply;
	xdrmem_create(&xdr, (char *)record, (u_int)len, XDR_DECODE);
	if (!xdr_replymsg(&xdr, &msg) || xdr_getpos(&xdr) != len)
		return RPC_CANTDECODERES;
	_seterr_reply(&msg, &failed);
	return failed.re_status;
}

static exchange_verdict_t
reply_take(const peer_reply *wire, exchange_reply_t *reply)
{
	reply->session = wire->session;
	if (wire->status != PEER_STATUS_DONE)
		return EXCHANGE_CHALLENGE;
	g_strlcpy(reply->from.name, wire->sender, sizeof(reply->from.name));
	reply->from.incarnation = wire->incarnation;
	reply->body = g_bytes_new(wire->body.body_val, wire->body.body_len);
	return EXCHANGE_DONE;
}

exchange_verdict_t
exchange_open(const exchange_t *exchange, const envelope_keys_t *keys,
    const char *address, const uint8_t *record, size_t len,
    exchange_reply_t *reply, GError **error)
{
	exchange_verdict_t verdict = EXCHANGE_FAILED;
	const peer_call *call = &exchange->call;
	peer_reply wire;
	enum clnt_stat status = record_decode(record, len, &wire);

	memset(reply, 0, sizeof(*reply));
	if (status != RPC_SUCCESS)
		status_error(status, address, error);
	else if (wire.sequence == call->sequence &&
		 peer_name_valid(wire.sender) && wire.incarnation != 0 &&
		 envelope_check_reply(
		     keys, (uint32_t)exchange->kind, call, &wire, NULL))
		verdict = reply_take(&wire, reply);
	else
		g_set_error(error, CS_ERROR, CS_ERROR_AUTH,
		    "reply of peer %s is not authentic; give both instances "
		    "the same fleet secret",
		    address);
	xdr_free((xdrproc_t)xdr_peer_reply, &wire);
	return verdict;
}
