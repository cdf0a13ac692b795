#ifndef PEER_JOB_H
#define PEER_JOB_H

#include "peer/client.h"

/* A call from peer_client_send to its callback. */
typedef struct {
	peer_call_kind_t kind;
	GBytes *body;
	fetch_t fetch;	   /* PEER_CALL_FETCH */
	time_us_t sent_at; /* PEER_CALL_HEARTBEAT */
	time_us_t queued_at;
	const char *dropped; /* reason, when it must not be sent */
	peer_done_t done;
	void *user;
} job_t;

/* Encodes the call. Returns NULL and sets error when it isn't valid. */
job_t *job_create(
    const peer_call_t *call, peer_done_t done, void *user, GError **error);
void job_free(job_t *job);

/* Calls back and frees the job. */
void job_complete(job_t *job, const peer_result_t *result, const GError *error);

/* Completes a job that was never sent, with cause or an error that names the
 * reason. */
void job_drop(job_t *job, const char *reason, const GError *cause);

/* Fills result from an authentic reply body. */
bool job_decode(
    const job_t *job, GBytes *body, peer_result_t *result, GError **error);

#endif
