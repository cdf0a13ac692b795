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
 * Decision logic of one instance, without I/O. It takes events (the head or
 * body of a request, an answer, a message from a peer, a timer tick), appends
 * the resulting actions for the I/O code to carry out, and keeps a table of
 * the requests in progress. Not thread-safe: the caller serializes all calls.
 */
typedef struct gate gate_t;

/* Handle of a request in progress: table index and generation. 0: none. */
typedef uint64_t gate_request_handle_t;

#define URL_LIMIT 512

/*
 * How long a request that was admitted above its team's rate yields the last
 * free slots to other teams. This bounds the delay of such a team while the
 * targets are nearly full, as its requests are still within its burst.
 */
#define YIELD_LIMIT_US (5 * US_PER_S)

typedef struct {
	const char *instance;
	const char *zone;
	incarnation_t incarnation;
	const char *const *seeds;  /* peers until a fleet list is known */
	const uint8_t *ticket_key; /* ORDER_MAC_KEY_BYTES, new at each start */
	uint64_t seed;
	unsigned int queue_limit;
	time_us_t now;
	int64_t wall_s; /* wall clock at the start, for fencing numbers */
	lists_compatible_t pair_fits; /* whether two lists are consistent */
	void *pair_data;
} gate_options_t;

/* Head of a request. */
typedef struct {
	const char *method;
	const char *service;
	const char *path;	    /* sent to the target, starts with '/' */
	const uint8_t *key_hash;    /* NULL: no key */
	const char *forwarded_team; /* team of a forwarded request, or NULL */
	const char *forwarded_by;   /* instance that forwarded it, or NULL */
	bool forwarded;
	time_us_t deadline;
	void *user;
} gate_head_t;

/* Properties of a request that are known once its body was read. */
typedef struct {
	int64_t cost; /* tokens to reserve */
	uint64_t prefix_hash;
	uint8_t digest[DIGEST_BYTES];
	const char *ticket; /* NULL: none */
	int64_t wall_s;	    /* wall clock, for the ticket's expiry */
} gate_body_t;

typedef enum {
	GATE_ATTEMPT_OK,	/* the answer is complete */
	GATE_ATTEMPT_UNSENT,	/* no byte was written to the target */
	GATE_ATTEMPT_LOST,	/* the target closed the connection */
	GATE_ATTEMPT_TIMEOUT,	/* the target made no progress */
	GATE_ATTEMPT_CANCELLED, /* cancelled by this instance */
} gate_attempt_result_t;

/* How an attempt at a target or another instance ended. */
typedef struct {
	gate_attempt_result_t result;
	int status;
	int64_t used; /* tokens; -1: unknown, all reserved ones are charged */
	size_t delivered;  /* bytes of the answer sent to the caller so far */
	bool resumable;	   /* the answer is an event stream, cut at an event */
	int reported_load; /* requests that the target reports, or -1 */
	const char *content_type;
	const char *answer; /* of an order, to be replayed to repeats */
	size_t answer_len;
	execution_t
	    forward_execution; /* execution as reported by the other instance */
	int64_t wall_s;
} gate_attempt_outcome_t;

typedef enum {
	ACTION_REFUSE,	/* answer with an error and end the request */
	ACTION_SEND,	/* send to a target */
	ACTION_FORWARD, /* forward to another instance */
	ACTION_REPLAY,	/* answer with the stored answer and end the request */
	ACTION_DONE,	/* the answer was complete; end the request */
	ACTION_CANCEL,	/* end the answer with an error, gate_attempt_ended()
			   follows */
	ACTION_BORROW,	/* request a loan from a peer */
	ACTION_RETURN,	/* return a loan to its lender */
	ACTION_FETCH,	/* request a newer list from a peer */
	ACTION_HEARTBEAT,   /* send a heartbeat to a peer */
	ACTION_COMMAND,	    /* send a command to an engine */
	ACTION_ENGINE_STATE /* query the state of an engine */
} action_kind_t;

typedef struct {
	action_kind_t kind;
	gate_request_handle_t request;
	void *user;
	const char *retry_reason; /* result of the retry decision, or NULL */
	union {
		struct {
			refusal_t reason;
			time_us_t retry_after; /* 0: none */
			execution_t execution;
		} refuse; /* also used by ACTION_CANCEL */
		struct {
			char url[URL_LIMIT]; /* base URL of the target */
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
			GBytes *answer; /* NULL: only the status was kept */
		} replay;
		struct {
			char peer[NAME_LIMIT + 1];
			loan_request_t request;
		} borrow;
		loan_return_t give_back; /* sent to the lender */
		struct {
			char peer[NAME_LIMIT + 1];
			list_kind_t list;
			uint64_t version;
		} fetch;
		struct {
			char peer[NAME_LIMIT + 1];
		} heartbeat;
		engine_action_t *engine; /* freed by the caller with g_free() */
	} u;
} gate_action_t;

/* Properties of a request that the I/O code needs. */
typedef struct {
	char team[NAME_LIMIT + 1];
	bool engine;
	bool order;
} gate_request_info_t;

gate_t *gate_create(const gate_options_t *options);
void gate_destroy(gate_t *gate);

/*
 * Enters a request into the table once its head was read. Returns REFUSAL_NONE
 * and sets *request, or the reason to refuse it before the body is read.
 */
refusal_t gate_open(gate_t *gate, const gate_head_t *head, time_us_t now,
    gate_request_handle_t *request);

bool gate_request_info(const gate_t *gate, gate_request_handle_t request,
    gate_request_info_t *info);

/* Admits, queues or refuses a request once its body was read. */
void gate_submit(gate_t *gate, gate_request_handle_t request,
    const gate_body_t *body, time_us_t now, GArray *actions);

/* Handles the end of an attempt: retries the request or ends it. */
void gate_attempt_ended(gate_t *gate, gate_request_handle_t request,
    const gate_attempt_outcome_t *outcome, time_us_t now, GArray *actions);

/*
 * Ends a request early, because the caller disconnected or the request turned
 * out to be unacceptable. Without a running attempt it ends with ACTION_REFUSE.
 * A running attempt is cancelled by ACTION_CANCEL, except for an order, which
 * runs to its end so that a repeat gets its outcome. No effect on a request
 * that has ended.
 */
void gate_abort(gate_t *gate, gate_request_handle_t request, refusal_t reason,
    time_us_t now, GArray *actions);

/* An instance that a caller can send its requests to. */
typedef struct {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1];
	char http[NAME_LIMIT + 1];
} gate_endpoint_t;

/*
 * Fills endpoints with the instances that a team should use, best first, and
 * returns their number. region is the caller's region (NULL: unknown); team is
 * NULL for an unknown caller.
 */
size_t gate_directory(gate_t *gate, const char *team, const char *region,
    time_us_t now, gate_endpoint_t *endpoints, size_t limit);

/* Gets the versions of the lists in force; 0: none. */
void gate_list_versions(const gate_t *gate, uint64_t versions[LIST_COUNT]);

/* Finds the team that a key belongs to. Returns false for an unknown key. */
bool gate_find_key(const gate_t *gate, const uint8_t key_hash[KEY_HASH_BYTES],
    char team[NAME_LIMIT + 1], char key_id[NAME_LIMIT + 1]);

/* Whether the team may be served here: its home is not another region. */
bool gate_team_is_local(const gate_t *gate, const char *team);

/* Issues a ticket to the team. Returns false while the instance could not keep
 * the outcome of its order, such as while it drains. */
#define TICKET_LIMIT 320
bool gate_ticket(
    gate_t *gate, const char *team, int64_t wall_s, char out[TICKET_LIMIT]);

/*
 * Returns what is known of the execution of an order that is refused for
 * reason. An earlier copy of it may have run even if this copy did not.
 */
execution_t gate_execution(gate_t *gate, refusal_t reason, const char *team,
    const char *ticket, int64_t wall_s);

/* Appends a readable report on how a request of the team would be decided. */
void gate_explain(gate_t *gate, const char *team, const char *service,
    time_us_t now, GString *text);

bool gate_is_ready(gate_t *gate, time_us_t now);
bool gate_is_draining(const gate_t *gate);
void gate_drain(gate_t *gate);

/*
 * Whether the fleet list no longer counts this instance and this instance has
 * acknowledged it, so that the others can use its share at once.
 */
bool gate_share_is_released(const gate_t *gate);

/* Number of requests in progress. */
size_t gate_n_requests(const gate_t *gate);

/* Runs all timers. Called every 50 ms. */
void gate_tick(gate_t *gate, time_us_t now, int64_t wall_s, GArray *actions);

/* Completes an ACTION_ENGINE_STATE; state is NULL if it failed. */
void gate_on_engine_state(
    gate_t *gate, const engine_action_t *step, const engine_state_t *state);

/* Completes an ACTION_COMMAND. */
void gate_on_command(gate_t *gate, const engine_action_t *step,
    command_result_t result, time_us_t now);

/* Offers a parsed and validated list; see lists_offer(). */
lists_verdict_t gate_list_offer(
    gate_t *gate, list_any_t list, time_us_t now, GArray *actions);

/* Describes the parts held, so that a peer can send a missing one. */
void gate_plans_held(const gate_t *gate, plans_held_t *held);

/*
 * Copies the text of a part in force that is missing in held. The caller frees
 * *text.
 */
bool gate_plans_missing(const gate_t *gate, const plans_held_t *held,
    plans_skip_t *part, char **text, size_t *len);

/* Notes that a part of the plans list can't be used. */
void gate_part_refused(gate_t *gate, const plans_skip_t *part);

/* Completes an ACTION_FETCH of plans; sender is the name in the reply. */
void gate_plans_fetch_end(gate_t *gate, const char *peer, const char *sender,
    lists_fetch_t result, time_us_t now, GArray *actions);

/*
 * Returns the parts of the plans list to read at the platform, as a new array
 * of plans_source_t: those of the newest allowances list, and those in force
 * until they are replaced. Empty before the first allowances list, as a new
 * instance must not adopt a list that is left over from an earlier
 * partitioning.
 */
GArray *gate_plans_sources(const gate_t *gate, time_us_t now);

/* Notes that the list with this stamp can't be used. */
void gate_list_refused(
    gate_t *gate, list_kind_t kind, const list_stamp_t *stamp);

/* Completes an ACTION_FETCH of another list. got: the text was received, and
 * was offered or refused. */
void gate_fetch_end(gate_t *gate, list_kind_t kind, bool got, time_us_t now);

/*
 * Copies the list in force, other than plans, if its version is at least
 * min_version. The caller frees *text.
 */
bool gate_list_text(const gate_t *gate, list_kind_t kind, uint64_t min_version,
    uint64_t *version, char **text, size_t *len);

/* An instance to keep a connection to. For a seed, name equals address. */
typedef struct {
	char name[NAME_LIMIT + 1];
	char address[NAME_LIMIT + 1];
} gate_peer_t;

/* Returns the peers as a new array of gate_peer_t. */
GArray *gate_peers(const gate_t *gate);

/* Fills a heartbeat to a peer. */
void gate_heartbeat_fill(
    gate_t *gate, const char *peer, heartbeat_t *out, time_us_t now);

/* Handles a peer's heartbeat and fills the reply. */
void gate_on_heartbeat(gate_t *gate, const heartbeat_t *in, heartbeat_t *reply,
    time_us_t now, GArray *actions);

/* Handles the reply of a peer; reply is NULL if there was none. */
void gate_on_reply(gate_t *gate, const char *peer, const heartbeat_t *reply,
    time_us_t now, GArray *actions);

/* Handle a loan request, the reply to one, and a returned loan. */
void gate_on_borrow(gate_t *gate, const loan_request_t *request, time_us_t now,
    loan_grant_t *grant);
void gate_on_grant(
    gate_t *gate, const loan_grant_t *grant, time_us_t now, GArray *actions);
void gate_on_return(gate_t *gate, const loan_return_t *message, time_us_t now);

#endif
