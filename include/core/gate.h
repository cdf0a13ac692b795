#ifndef CORE_GATE_H
#define CORE_GATE_H

#include <glib.h>
#include <stdbool.h>

#include "core/heartbeat.h"
#include "core/refusal.h"
#include "core/snapshot.h"

/*
 * The decisions of one instance: takes events (a request's head, its body, an
 * answer, a message of a peer, a tick) and returns actions for the code that
 * does the I/O. It keeps a table of flights, the requests in progress. No
 * locking: the caller serializes all calls.
 */
typedef struct gate gate_t;

/* Handle of a flight: slot and generation. 0 is no flight. */
typedef uint64_t flight_id_t;

#define URL_LIMIT 512

typedef struct {
	const char *instance;
	const char *zone;
	incarnation_t incarnation;
	const uint8_t (*secrets)[32]; /* fleet secrets; the first signs */
	size_t n_secrets;
	uint64_t seed;
	unsigned int queue_limit;
	time_us_t now;
} gate_options_t;

/* What is known once the head of a request was read. */
typedef struct {
	const char *method;
	const char *service;
	const char *path;	 /* path at the target, starts with '/' */
	const uint8_t *key_hash; /* NULL: no key */
	const char *hop_team;	 /* team named by another instance, or NULL */
	bool forwarded;
	time_us_t deadline;
	void *user;
} gate_head_t;

/* What is known once the body was read. */
typedef struct {
	int64_t cost; /* tokens to reserve */
	uint64_t prefix_hash;
	uint8_t digest[DIGEST_BYTES];
	const char *ticket; /* NULL: none */
	int64_t wall_s;
} gate_body_t;

typedef enum {
	FLIGHT_OK,	  /* the answer is whole */
	FLIGHT_UNSENT,	  /* no byte was written to the target */
	FLIGHT_LOST,	  /* the target closed the connection */
	FLIGHT_TIMEOUT,	  /* the target made no progress */
	FLIGHT_CANCELLED, /* cancelled by us */
} flight_result_t;

/* How an attempt at a target or another instance ended. */
typedef struct {
	flight_result_t result;
	int status;
	int64_t used;	  /* tokens, -1: not known, charges what was reserved */
	size_t delivered; /* bytes of the answer given to the caller so far */
	int reported_load; /* requests that the target says it holds, or -1 */
	const char *content_type;
	const char *answer; /* of an order, to be sent again on a repeat */
	size_t answer_len;
	bool forward_not_run; /* another instance said that it did not run */
} flight_outcome_t;

typedef enum {
	ACTION_REFUSE,	 /* answer with an error; the flight is over */
	ACTION_SEND,	 /* send to a target */
	ACTION_FORWARD,	 /* pass on to another instance */
	ACTION_REPLAY,	 /* answer with a remembered answer; flight is over */
	ACTION_DONE,	 /* the answer was whole; the flight is over */
	ACTION_CANCEL,	 /* end the running answer with an error; over */
	ACTION_BORROW,	 /* ask a peer for a loan */
	ACTION_RETURN,	 /* give a loan back */
	ACTION_FETCH,	 /* ask a peer for a newer list */
	ACTION_HEARTBEAT /* send a heartbeat to a peer */
} action_kind_t;

typedef struct {
	action_kind_t kind;
	flight_id_t flight;
	void *user;
	union {
		struct {
			refusal_t reason;
			time_us_t retry_after; /* 0: none */
		} refuse;		       /* also of ACTION_CANCEL */
		struct {
			char url[URL_LIMIT]; /* of the target, without path */
			bool single_send;
			bool retry;
		} send;
		struct {
			char http[NAME_LIMIT + 1]; /* address:port */
			char team[NAME_LIMIT + 1];
			bool single_send;
		} forward;
		struct {
			int status;
			char content_type[128];
			GBytes *answer; /* NULL: only the status is known */
		} replay;
		struct {
			char peer[NAME_LIMIT + 1];
			char team[NAME_LIMIT + 1];
			share_t share;
			int64_t tokens;
			uint64_t request_id;
		} borrow;
		struct {
			char peer[NAME_LIMIT + 1];
			char team[NAME_LIMIT + 1];
			uint64_t loan_id;
			share_t share;
		} give_back;
		struct {
			char peer[NAME_LIMIT + 1];
			list_kind_t list;
			uint64_t version;
		} fetch;
		struct {
			char peer[NAME_LIMIT + 1];
		} heartbeat;
	} u;
} gate_action_t;

/* Facts about a flight that the I/O side needs. */
typedef struct {
	char team[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1]; /* home region, or "" */
	bool engine;
	bool order;
	bool idempotent;
} flight_info_t;

gate_t *gate_create(const gate_options_t *options);
void gate_destroy(gate_t *gate);

/*
 * Opens a flight from a request's head. Returns REFUSAL_NONE and sets *flight,
 * or the reason for refusing before the body is read.
 */
refusal_t gate_open(
    gate_t *gate, const gate_head_t *head, time_us_t now, flight_id_t *flight);

bool gate_flight_info(
    const gate_t *gate, flight_id_t flight, flight_info_t *info);

/* The body is read: decides what happens to the flight, at once or later. */
void gate_submit(gate_t *gate, flight_id_t flight, const gate_body_t *body,
    time_us_t now, GArray *actions);

/* An attempt ended: decides between retry and end. */
void gate_result(gate_t *gate, flight_id_t flight,
    const flight_outcome_t *outcome, time_us_t now, GArray *actions);

/*
 * The caller is gone, or its request was malformed. A flight without a running
 * attempt ends silently; a running one is cancelled by ACTION_CANCEL unless it
 * is an order, which runs to its end so that a repeat learns its outcome.
 */
void gate_abort(
    gate_t *gate, flight_id_t flight, time_us_t now, GArray *actions);

/* Timers: queue, waits for tokens, loans, heartbeats. Call every 50 ms. */
void gate_tick(gate_t *gate, time_us_t now, GArray *actions);

#endif
