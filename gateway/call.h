#ifndef GATEWAY_CALL_H
#define GATEWAY_CALL_H

#include "internal.h"

/* How far a request is. */
typedef enum {
	CALL_READING,
	CALL_WAITING, /* in its service's queue */
	CALL_SENT,
	CALL_ENDED,
} call_state_t;

/* Where a request goes next. */
typedef struct {
	enum {
		CHOICE_TARGET,
		CHOICE_REGION, /* an instance of another region */
		CHOICE_WAIT,
		CHOICE_NOWHERE, /* nothing can serve it now */
	} kind;
	placement_t placement; /* CHOICE_TARGET */
	int region;	       /* CHOICE_REGION */
} choice_t;

struct call {
	gateway_t *gateway;
	client_t *client; /* NULL once answered or left */
	call_state_t state;
	bool from_peer;
	/* The request. */
	caller_request_t request; /* its slices are not valid any more */
	char *host;
	char *path;
	char *key;
	bool no_answer_body;
	GString *forward;
	GByteArray *body;
	bool has_body;
	char *peer_team; /* told by the instance that passed it on */
	time_us_t arrived_at;
	time_us_t ends_at;	/* deadline or the route's timeout */
	time_us_t time_left_at; /* the caller's deadline */
	ev_timer timer;
	/* What the configuration says. */
	catalog_t *catalog;
	const catalog_route_t *route;
	const catalog_service_t *service;
	const catalog_team_t *team;
	int team_index;
	int priority;
	region_set_t regions;
	double cost;
	line_t *line;
	double events; /* of the answer, as the request guesses; 0: unknown */
	/* Sends. */
	attempt_t *attempt;
	handle_t queued;
	choice_t choice; /* made by the queue's turn */
	handle_t tried[PLACEMENT_TRIED_LIMIT];
	size_t n_tried;
	unsigned n_sends;
	unsigned n_runs; /* sends that may have run */
	bool peer_tried;
	bool at_peer; /* the last send was to an instance */
	char sent_to[NAME_LIMIT + 1];
	time_us_t sent_at;
	/* The answer. */
	unsigned status;
	bool streaming; /* by events */
	bool head_sent;
	bool passing; /* body bytes go on as they come */
	bool paused;
	GString *answer_head;
	GByteArray *answer;
	uint64_t answer_length;
	uint64_t bytes_to_caller;
	char resume_after[RESUME_ID_LIMIT + 1];
	time_us_t first_byte_at;
};

/* Time until ends_at in ms, at least 0. */
int64_t call_left_ms(const call_t *call);

/* Records the time from the request until now. */
void call_time(const call_t *call, latency_t latency);

/* admission.c: the configuration's say. Answers and returns false when the
 * request is not admitted. */
bool call_admit(call_t *call);

/* Ends the request with an answer of this instance. retry_after 0: none. */
void call_refuse(
    call_t *call, unsigned status, const char *reason, time_us_t retry_after);

/* Ends a request whose answer has begun and can't be completed. */
void call_broken(call_t *call, const char *reason);

/* dispatch.c: where it goes. */
void call_dispatch(call_t *call);

/* Names of the fields between instances. */
#define PEER_FIELD_TEAM PEER_FIELD_PREFIX "team"
#define PEER_FIELD_HOP PEER_FIELD_PREFIX "hop"

#endif
