#ifndef CORE_GATE_INTERNAL_H
#define CORE_GATE_INTERNAL_H

#include "core/directory.h"
#include "core/engine.h"
#include "core/gate.h"
#include "core/limiter.h"
#include "core/lists.h"
#include "core/membership.h"
#include "core/order.h"
#include "core/poison.h"
#include "core/queue.h"
#include "core/retry.h"
#include "core/route.h"
#include "core/spill.h"

/*
 * A decision older than this is checked again before a request is sent, as the
 * process may have been paused while a key was withdrawn or the lease expired.
 */
#define RECHECK_US (1 * US_PER_S)

/* Max attempts of one request that ended without a byte being written. */
#define UNSENT_LIMIT 3

typedef enum {
	GATE_REQUEST_FREE,
	GATE_REQUEST_READING,	  /* the body is being read */
	GATE_REQUEST_WAIT_TOKENS, /* in gate->token_waiters */
	GATE_REQUEST_QUEUED,	  /* in the queue of its service */
	GATE_REQUEST_RUNNING,	  /* an attempt runs at a target */
	GATE_REQUEST_FORWARDED	  /* forwarded to another instance */
} gate_request_state_t;

typedef struct {
	uint32_t generation;
	gate_request_state_t state;
	void *user;
	char team[NAME_LIMIT + 1]; /* "": open service, no key */
	char service[NAME_LIMIT + 1];
	char method[8];
	uint8_t key_hash[KEY_HASH_BYTES];
	bool has_key;
	bool forwarded;		     /* received from another instance */
	char sender[NAME_LIMIT + 1]; /* the other instance */
	bool engine;
	bool order;
	bool idempotent;
	int priority;
	time_us_t deadline;
	time_us_t yield_until; /* see gate_yields(); 0: does not yield */
	time_us_t checked_at;  /* last full check of key, rule and lease */
	gate_body_t body;
	char ticket[ORDER_TICKET_SIZE];
	time_us_t token_deadline;
	bool tokens_tried;
	bool charged;
	reservation_t reservation;
	bool order_begun;
	order_handle_t order_handle;
	handle_t target;
	handle_t last_target; /* target of the last failed attempt */
	handle_t queue_handle;
	unsigned int unsent_attempts;
	unsigned int attempts; /* attempts sent to a target */
	time_us_t sent_at;
	const char *retry_reason; /* decision after the last lost attempt */
	bool written; /* an attempt wrote bytes, so the request may have run */
	bool cancelled;
	refusal_t cancel_reason;
} gate_request_t;

struct gate {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1]; /* "" until the zone is known */
	incarnation_t incarnation;
	char **seeds;
	uint64_t random; /* state of the generator */
	uint32_t queue_limit;
	bool draining;	      /* by signal or operator */
	bool leaving;	      /* by the fleet list */
	bool share_wait_over; /* a first share was granted or timed out */
	time_us_t started_at;

	lists_t *lists;
	lists_view_t view;
	membership_t *membership;
	limiter_t *limiter;
	order_table_t *orders;
	poison_table_t *poison;
	retry_budget_t retries;
	route_t *route;
	directory_t *directory; /* NULL until two lists are known */
	spill_t *spill;
	engines_t *engines;
	time_us_t engines_tick_at; /* time of the next engines_tick() */
	size_t next_lender;	   /* index in the fleet list, round robin */
	GHashTable *queues;	   /* service -> queue_t */
	time_us_t queue_pop_now;   /* time of the running queue_pop() */

	gate_request_t *requests;
	size_t n_entries;  /* table size */
	size_t n_requests; /* in use */
	GArray *free_entries;
	GQueue token_waiters; /* boxed handles in order of arrival */

	GHashTable *peers; /* name -> peer_state_t */
	time_us_t local_heartbeat_at;
	time_us_t remote_heartbeat_at;
	time_us_t progress_heartbeat_at;
	time_us_t query_at, query_interval; /* 0: nothing is missing */
	/* membership_n_confirmations() at the last check */
	uint64_t n_confirmations;
	bool zone_stated;
	bool ready_reported;
	size_t remote_turn;	      /* round-robin position in other zones */
	GHashTable *zone_sizes;	      /* zone -> number of instances */
	GHashTable *load_reported_at; /* zone -> time of last report, boxed */
	share_t routed_share; /* share that the route table is based on */
	uint64_t progress[MEMBERSHIP_PROGRESS];
	time_us_t loans_tick_at;
	time_us_t sweep_at;
};

/* State of a peer as reported by its heartbeats. */
typedef struct {
	bool ready;
	bool draining;
	bool reachable;
} peer_state_t;

gate_request_t *gate_request(const gate_t *gate, gate_request_handle_t id);
gate_request_handle_t gate_request_handle(
    const gate_t *gate, const gate_request_t *request);
uint64_t gate_random(gate_t *gate);

/* Appends an action for a request (or NULL) and returns it to be filled. */
gate_action_t *gate_action(gate_t *gate, GArray *actions, action_kind_t kind,
    const gate_request_t *request);

/* Returns the region of a zone, or "". */
const char *gate_zone_region(const gate_t *gate, const char *zone);

/* Checks key, service and home region of a request against the lists in force.
 */
refusal_t gate_check_rules(const gate_t *gate, gate_request_t *request);

/*
 * Refuses a request; releases its tokens and the ticket of an order. Charges
 * all tokens if an attempt wrote bytes. Frees the request.
 */
void gate_refuse(gate_t *gate, gate_request_t *request, refusal_t reason,
    time_us_t retry_after, time_us_t now, GArray *actions);

/* Frees the table entry of a request. */
void gate_free_request(gate_t *gate, gate_request_t *request);

/* Sends an admitted request to a target or another instance, queues it, or
 * refuses and frees it. */
void gate_dispatch(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions);

/* Reserves the tokens of a request; then starts, delays or refuses it. */
void gate_charge(
    gate_t *gate, gate_request_t *request, time_us_t now, GArray *actions);

/* Settles the tokens of a request; used -1 charges all reserved ones. */
void gate_settle(
    gate_t *gate, gate_request_t *request, int64_t used, time_us_t now);

/* Refuses the expired requests in the queue of a service and starts others as
 * far as targets have free slots. */
void gate_start_queued(
    gate_t *gate, const char *service, time_us_t now, GArray *actions);
void gate_start_queued_all(gate_t *gate, time_us_t now, GArray *actions);

/* Removes a request from gate->token_waiters, if it is there. */
void gate_token_wait_leave(gate_t *gate, gate_request_handle_t id);

/* Retries the requests that wait for tokens. */
void gate_retry_token_waiters(gate_t *gate, time_us_t now, GArray *actions);

/* Ends requests whose key, team or service is no longer allowed. */
void gate_recheck_requests(gate_t *gate, time_us_t now, GArray *actions);

/*
 * Chooses another instance to serve the request. local: a target of this zone
 * can take it later. Returns false if the request stays here.
 */
bool gate_spill(gate_t *gate, const gate_request_t *request, bool local,
    time_us_t now, char instance[NAME_LIMIT + 1]);

/* Requests a loan from a peer if the team's demand needs one. */
void gate_request_loan(
    gate_t *gate, const char *team, time_us_t now, GArray *actions);

/* Chooses the next lender. Returns false if no peer is available. */
bool gate_choose_lender(
    gate_t *gate, const char *team, char lender[NAME_LIMIT + 1]);

/* Updates the route table from the fleet list and this instance's slots. */
void gate_sync_route(gate_t *gate, time_us_t now);

/*
 * Calls gate_sync_route() if this instance's share of its zone has changed.
 * Must precede everything that can send: the lease of a process that was paused
 * may have expired, and its next event need not be a tick.
 */
void gate_sync_share(gate_t *gate, time_us_t now);

/*
 * Whether more of our requests run at a target than the window allows; see
 * membership_overcommitted_t. context is the gate.
 */
bool gate_is_overcommitted(void *context);

/* Counts the instances of each zone of a new fleet list. */
void gate_count_zones(gate_t *gate);

/* Sends heartbeats that are due, renews and returns loans. */
void gate_tick_peers(gate_t *gate, time_us_t now, GArray *actions);

/* Creates and runs the control of the engines; see engine.h. */
void gate_create_engines(gate_t *gate, int64_t start_s);
void gate_tick_engines(gate_t *gate, time_us_t now, GArray *actions);

/* Sends a heartbeat to the sender of a request that reports something that this
 * instance lacks. */
void gate_query_sender(
    gate_t *gate, const heartbeat_t *request, time_us_t now, GArray *actions);

/*
 * Whether a heartbeat to another zone should report the load, which is always
 * so in a small fleet. In a larger one, restarts the interval if so.
 */
bool gate_claim_load_report(gate_t *gate, const char *zone, time_us_t now);

/* Makes the periodic heartbeats due and calls gate_tick_peers(). */
void gate_send_heartbeats(gate_t *gate, time_us_t now, GArray *actions);

/* Returns the wait queue of a service, created on first use. */
queue_t *gate_queue(gate_t *gate, const char *service);

/*
 * Whether the request must leave the last free slots to others: its team was
 * above its rate when it was admitted, and the targets are nearly full. Limited
 * to YIELD_LIMIT_US.
 */
bool gate_yields(
    const gate_t *gate, const gate_request_t *request, time_us_t now);

/* Returns the queue entry for a request. If its team was above its rate, it is
 * queued one priority class below that of the plan. */
queue_request_t gate_queue_request(
    const gate_t *gate, const gate_request_t *request);

#endif
