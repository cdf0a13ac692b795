#ifndef CYCLAMENSAIL_REQUEST_H
#define CYCLAMENSAIL_REQUEST_H

#include <glib.h>
#include <pthread.h>

#include "internal.h"
#include "sse.h"

#define SERVICE_PREFIX "/v1/services/"
#define REQUEST_ID_LIMIT 64

/*
 * State of one request, from the caller's exchange to the attempts at a target
 * or another instance. The exchange, the gate and a running attempt hold one
 * reference each.
 */
typedef struct daemon_request daemon_request_t;

struct daemon_request {
	gint refs;
	pthread_mutex_t lock;
	daemon_t *daemon;
	exchange_t *exchange;
	gate_request_handle_t handle;
	gate_request_info_t info;
	char request_id[REQUEST_ID_LIMIT + 1];
	char service[NAME_LIMIT + 1];
	char *path; /* escaped path and query for the target */
	char *hop;  /* hop header of a forwarded request, or NULL */
	char *ticket;
	GPtrArray *headers; /* header lines for the target */
	body_info_t body;
	time_us_t started_at;

	/* Protected by lock. */
	transfer_t *transfer;
	sse_t sse;
	GString *capture;
	int status;
	char content_type[128];
	size_t delivered;
	int reported_load;
	bool answer_started;  /* the answer's head was sent to the caller */
	bool answer_ended;    /* nothing more is sent to the caller */
	bool resume_mismatch; /* a resumed answer has another status or type */
	bool forwarded;	      /* the running attempt goes to another instance */
	execution_t forward_execution; /* as reported by the other instance */
};

daemon_request_t *daemon_request_ref(daemon_request_t *request);
void daemon_request_unref(daemon_request_t *request);

/* Sends the head of the answer to the caller; lock is held. */
void daemon_request_start_answer(daemon_request_t *request);

/* Start an attempt at the target or the instance that the gate chose. */
void attempt_send(daemon_request_t *request, const gate_action_t *action);
void attempt_forward(daemon_request_t *request, const gate_action_t *action);

#endif
