#ifndef CORE_GATE_H
#define CORE_GATE_H

#include <glib.h>
#include <stdbool.h>

#include "core/engine.h"
#include "core/heartbeat.h"
#include "core/lists.h"
#include "core/loan.h"
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

/*
 * Longest time for which a request of a team above its rate leaves the last
 * free slots to other teams. It bounds the delay of a team that stays within
 * what it pays for while the targets are nearly full.
 */
#define YIELD_LIMIT_US (5 * US_PER_S)

typedef struct {
	const char *instance;
	const char *zone;
	incarnation_t incarnation;
	const char *const
	    *seeds; /* peer addresses until a fleet list is known */
	const uint8_t *ticket_key; /* ORDER_MAC_KEY_BYTES, new at each start */
	uint64_t seed;
	unsigned int queue_limit;
	time_us_t now;
	int64_t wall_s;		/* at the start, for fencing numbers */
	lists_fits_t pair_fits; /* whether two lists belong together */
	void *pair_data;
} gate_options_t;

/* What is known once the head of a request was read. */
typedef struct {
	const char *method;
	const char *service;
	const char *path;	 /* path at the target, starts with '/' */
	const uint8_t *key_hash; /* NULL: no key */
	const char *hop_team;	 /* team named by another instance, or NULL */
	const char *hop_sender;	 /* that instance, or NULL */
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
	int64_t wall_s;	    /* wall clock, for the ticket's expiry */
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
	bool resumable;	  /* it is an event stream of whole events */
	int reported_load; /* requests that the target says it holds, or -1 */
	const char *content_type;
	const char *answer; /* of an order, to be sent again on a repeat */
	size_t answer_len;
	ran_t forward_ran; /* what another instance said of the execution */
	int64_t wall_s;
} flight_outcome_t;

typedef enum {
	ACTION_REFUSE,	/* answer with an error; the flight is over */
	ACTION_SEND,	/* send to a target */
	ACTION_FORWARD, /* pass on to another instance */
	ACTION_REPLAY,	/* answer with a remembered answer; flight is over */
	ACTION_DONE,	/* the answer was whole; the flight is over */
	ACTION_CANCEL, /* end the answer with an error; gate_result() follows */
	ACTION_BORROW, /* ask a peer for a loan */
	ACTION_RETURN, /* give a loan back */
	ACTION_FETCH,  /* ask a peer for a newer list */
	ACTION_HEARTBEAT,   /* send a heartbeat to a peer */
	ACTION_COMMAND,	    /* send a command to an engine */
	ACTION_ENGINE_STATE /* ask an engine for its state */
} action_kind_t;

typedef struct {
	action_kind_t kind;
	flight_id_t flight;
	void *user;
	const char *retry_reason; /* what was decided about a retry, or NULL */
	union {
		struct {
			refusal_t reason;
			time_us_t retry_after; /* 0: none */
			ran_t ran;
		} refuse; /* also of ACTION_CANCEL */
		struct {
			char url[URL_LIMIT]; /* of the target, without path */
			bool single_send;
		} send;
		struct {
			char http[NAME_LIMIT + 1]; /* address:port */
			const char *cause;	   /* issuer, zone or region */
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
			loan_request_t request;
		} borrow;
		loan_return_t give_back; /* lender names the peer */
		struct {
			char peer[NAME_LIMIT + 1];
			list_kind_t list;
			uint64_t version;
		} fetch;
		struct {
			char peer[NAME_LIMIT + 1];
		} heartbeat;
		engine_step_t *engine; /* freed by the caller with g_free() */
	} u;
} gate_action_t;

/* Facts about a flight that the I/O side needs. */
typedef struct {
	char team[NAME_LIMIT + 1];
	bool engine;
	bool order;
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
 * Ends a flight early, because the caller is gone or its request turned out to
 * be unacceptable. A flight without a running attempt ends with ACTION_REFUSE;
 * a running one is cancelled by ACTION_CANCEL, unless it is an order, which
 * runs to its end so that a repeat learns its outcome. No effect on a flight
 * that is over.
 */
void gate_abort(gate_t *gate, flight_id_t flight, refusal_t reason,
    time_us_t now, GArray *actions);

/* A place where a caller can send its requests. */
typedef struct {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1];
	char http[NAME_LIMIT + 1];
} gate_place_t;

/*
 * Fills places with the instances that a team should use, best first, and
 * returns how many. region is where the caller is (NULL: not known); team is
 * NULL for an unknown caller.
 */
size_t gate_directory(gate_t *gate, const char *team, const char *region,
    time_us_t now, gate_place_t *places, size_t limit);

/* Versions of the lists in force, 0 for none. */
void gate_versions(const gate_t *gate, uint64_t versions[LIST_COUNT]);

/* Team that a key belongs to; false when the key is not known. */
bool gate_find_key(const gate_t *gate, const uint8_t key_hash[KEY_HASH_BYTES],
    char team[NAME_LIMIT + 1], char key_id[NAME_LIMIT + 1]);

/* Whether the team may be served here: it has no home in another region. */
bool gate_team_is_local(const gate_t *gate, const char *team);

/* Writes a new ticket for the team. Returns false while tickets can't be kept.
 */
#define TICKET_LIMIT 320
bool gate_ticket(
    gate_t *gate, const char *team, int64_t wall_s, char out[TICKET_LIMIT]);

/*
 * What can be said about the execution of an order that is refused for reason:
 * an earlier copy of it may have run, also where this copy did not.
 */
ran_t gate_ran(gate_t *gate, refusal_t reason, const char *team,
    const char *ticket, int64_t wall_s);

/* Explains in lines of text what a request of the team would meet now. */
void gate_explain(gate_t *gate, const char *team, const char *service,
    time_us_t now, GString *text);

bool gate_is_ready(gate_t *gate, time_us_t now);
bool gate_is_draining(const gate_t *gate);
void gate_drain(gate_t *gate);

/*
 * Whether the fleet list no longer counts this instance and that was
 * acknowledged, so that the others can use its share at once.
 */
bool gate_is_released(const gate_t *gate);

/* Flights in progress. */
size_t gate_flights(const gate_t *gate);

/* Timers: queue, waits for tokens, loans, heartbeats. Call every 50 ms. */
void gate_tick(gate_t *gate, time_us_t now, int64_t wall_s, GArray *actions);

/* Ends an ACTION_ENGINE_STATE; state NULL: it failed. */
void gate_on_engine_state(
    gate_t *gate, const engine_step_t *step, const engine_state_t *state);

/* Ends an ACTION_COMMAND. */
void gate_on_command(gate_t *gate, const engine_step_t *step,
    command_result_t result, time_us_t now);

/* Offers a list that was parsed and checked; see lists_offer(). */
lists_verdict_t gate_offer(
    gate_t *gate, list_any_t list, time_us_t now, GArray *actions);

/* Fills what a peer needs to know to send a missing part of the plans list. */
void gate_plans_held(const gate_t *gate, plans_held_t *held);

/*
 * Copies the text of a part in force that the holder of held lacks. The caller
 * frees *text.
 */
bool gate_plans_missing(const gate_t *gate, const plans_held_t *held,
    plans_skip_t *part, char **text, size_t *len);

/* A part of the plans list can't be used. */
void gate_part_refused(gate_t *gate, const plans_skip_t *part);

/* Ends an ACTION_FETCH of the plans list; sender is the name in the reply. */
void gate_plans_fetch_end(gate_t *gate, const char *peer, const char *sender,
    lists_fetch_t result, time_us_t now, GArray *actions);

/*
 * Returns what to read of the plans list at the platform, as a new array of
 * plans_source_t: the parts that the newest allowances list tells of, and those
 * in force until they are replaced. Nothing before the first allowances list: a
 * fresh instance must not take a list that was left from an old division.
 */
GArray *gate_plans_sources(const gate_t *gate, time_us_t now);

/* The text with this stamp can't be used. */
void gate_list_refused(
    gate_t *gate, list_kind_t kind, const list_stamp_t *stamp);

/* Ends an ACTION_FETCH of another list. got: the text came, and was offered or
 * refused. */
void gate_fetch_end(gate_t *gate, list_kind_t kind, bool got, time_us_t now);

/*
 * Copies the list in force, other than plans, if its version is at least
 * min_version. The caller frees *text.
 */
bool gate_list_text(const gate_t *gate, list_kind_t kind, uint64_t min_version,
    uint64_t *version, char **text, size_t *len);

/* An instance to hold a connection to. Without a fleet list, name is address.
 */
typedef struct {
	char name[NAME_LIMIT + 1];
	char address[NAME_LIMIT + 1];
} gate_peer_t;

/* Returns the peers as a new array of gate_peer_t. */
GArray *gate_peers(const gate_t *gate);

/* Fills a heartbeat to a peer. */
void gate_heartbeat_fill(
    gate_t *gate, const char *peer, heartbeat_t *out, time_us_t now);

/* Takes a peer's heartbeat and fills the reply. */
void gate_on_heartbeat(gate_t *gate, const heartbeat_t *in, heartbeat_t *reply,
    time_us_t now, GArray *actions);

/* Takes the reply of a peer, or its failure (NULL). */
void gate_on_reply(gate_t *gate, const char *peer, const heartbeat_t *reply,
    time_us_t now, GArray *actions);

/* Answers a BORROW, the answer to one, and a RETURN. */
void gate_on_borrow(gate_t *gate, const loan_request_t *request, time_us_t now,
    loan_grant_t *grant);
void gate_on_grant(
    gate_t *gate, const loan_grant_t *grant, time_us_t now, GArray *actions);
void gate_on_return(gate_t *gate, const loan_return_t *message, time_us_t now);

#endif
