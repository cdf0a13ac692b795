#include "job.h"

#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"

void
job_free(job_t *job)
{
	g_bytes_unref(job->body);
	g_free(job);
}

static GBytes *
call_encode(const peer_call_t *call, GError **error)
{
	switch (call->kind) {
	case PEER_CALL_HEARTBEAT:
		return heartbeat_encode(&call->heartbeat, error);
	case PEER_CALL_FETCH:
		return fetch_encode(&call->fetch, error);
	case PEER_CALL_BORROW:
		return borrow_request_encode(&call->borrow, error);
	case PEER_CALL_RETURN:
		return return_encode(&call->give_back, error);
	}
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "no peer call has kind %d; use one of peer_call_kind_t",
	    (int)call->kind);
	return NULL;
}

job_t *
job_create(
    const peer_call_t *call, peer_done_t done, void *user, GError **error)
{
	GBytes *body = call_encode(call, error);
	job_t *job;

	if (body == NULL)
		return NULL;
	job = g_new0(job_t, 1);
	job->kind = call->kind;
	job->body = body;
	job->queued_at = clock_now();
	job->done = done;
	job->user = user;
	if (call->kind == PEER_CALL_FETCH)
		job->fetch = call->fetch;
	if (call->kind == PEER_CALL_HEARTBEAT)
		job->sent_at = call->heartbeat.sent_at;
	return job;
}

void
job_complete(job_t *job, const peer_result_t *result, const GError *error)
{
	if (job->done != NULL)
		job->done(result, error, job->user);
	job_free(job);
}

void
job_drop(job_t *job, const char *reason, const GError *cause)
{
	g_autoptr(GError) error = NULL;

	counter_increment("peer_dropped", "reason", reason);
	if (cause == NULL) {
		g_set_error(&error, CS_ERROR, CS_ERROR_IO,
		    "call to the peer was not sent (%s); ask another peer or "
		    "try later",
		    reason);
		cause = error;
	}
	job_complete(job, NULL, cause);
}

static bool
fetch_matches(const job_t *job, const fetch_reply_t *reply)
{
	return reply->kind == job->fetch.kind &&
	       (reply->version == 0 ||
		   reply->version >= job->fetch.min_version);
}

static bool
heartbeat_matches(const job_t *job, const peer_result_t *result)
{
	return strcmp(result->heartbeat.sender, result->from.name) == 0 &&
	       result->heartbeat.incarnation == result->from.incarnation &&
	       result->heartbeat.sent_at == job->sent_at;
}

static bool
result_mismatch(GError **error)
{
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "reply of the peer doesn't fit the call; run the same version of "
	    "the program on both instances");
	return false;
}

bool
job_decode(
    const job_t *job, GBytes *body, peer_result_t *result, GError **error)
{
	size_t len;
	const void *data = g_bytes_get_data(body, &len);

	switch (job->kind) {
	case PEER_CALL_HEARTBEAT:
		return heartbeat_decode(data, len, &result->heartbeat, error) &&
		       (heartbeat_matches(job, result) ||
			   result_mismatch(error));
	case PEER_CALL_FETCH:
		return fetch_reply_decode(data, len, &result->fetch, error) &&
		       (fetch_matches(job, &result->fetch) ||
			   result_mismatch(error));
	case PEER_CALL_BORROW:
		return borrow_reply_decode(data, len, &result->borrow, error);
	case PEER_CALL_RETURN:
		return len == 0 || result_mismatch(error);
	}
	return result_mismatch(error);
}
