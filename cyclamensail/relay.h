#ifndef CYCLAMENSAIL_RELAY_H
#define CYCLAMENSAIL_RELAY_H

#include <glib.h>
#include <pthread.h>

#include "internal.h"
#include "sse.h"

#define SERVICE_PREFIX "/v1/services/"
#define REQUEST_ID_LIMIT 64

/*
 * One request between the caller's exchange and the attempts to get an answer.
 * The exchange, the gate's flight and a running attempt hold a reference each.
 */
typedef struct relay relay_t;

struct relay {
	gint refs;
	pthread_mutex_t lock;
	daemon_t *daemon;
	exchange_t *exchange;
	gate_request_handle_t flight;
	gate_request_info_t info;
	char request_id[REQUEST_ID_LIMIT + 1];
	char service[NAME_LIMIT + 1];
	char *path; /* escaped path and query at the target */
	char *hop;  /* header of another instance, or NULL */
	char *ticket;
	GPtrArray *headers; /* lines that go to the target */
	body_facts_t body;
	time_us_t started_at;

	/* Protected by lock. */
	transfer_t *transfer;
	sse_t sse;
	GString *capture;
	int status;
	char content_type[128];
	size_t delivered;
	int reported_load;
	bool begun;	/* the head of the answer was given to the caller */
	bool over;	/* the caller's answer is complete */
	bool mismatch;	/* a resumed answer is not the same kind of stream */
	bool forwarded; /* the running attempt goes to another instance */
	execution_t forward_ran; /* what the other instance said */
};

relay_t *relay_ref(relay_t *relay);
void relay_unref(relay_t *relay);

/* Gives the head of the answer to the caller; lock is held. */
void relay_begin(relay_t *relay);

/* Start an attempt at a target, or at another instance, as the gate decided. */
void attempt_send(relay_t *relay, const gate_action_t *action);
void attempt_forward(relay_t *relay, const gate_action_t *action);

#endif
