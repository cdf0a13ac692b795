#ifndef CORE_GATE_INTERNAL_H
#define CORE_GATE_INTERNAL_H

#include "core/allotment.h"
#include "core/directory.h"
#include "core/engine.h"
#include "core/gate.h"
#include "core/lists.h"
#include "core/membership.h"
#include "core/order.h"
#include "core/poison.h"
#include "core/queue.h"
#include "core/retry.h"
#include "core/route.h"
#include "core/spill.h"

/* How long a request may wait for a loan before it is refused. */
#define TOKEN_WAIT_US (500 * US_PER_MS)

/*
 * A decision older than this is checked again before bytes go out: the process
 * may have slept while a key was withdrawn or the lease ended.
 */
#define RECHECK_US (1 * US_PER_S)

/* Attempts of one request that ended without a byte being written. */
#define UNSENT_LIMIT 3

typedef enum {
	FLIGHT_FREE,
	FLIGHT_OPEN,	    /* the body is still read */
	FLIGHT_WAIT_TOKENS, /* in gate->token_waiters */
	FLIGHT_QUEUED,	    /* in the queue of its service */
	FLIGHT_RUNNING,	    /* at a target */
	FLIGHT_FORWARDED    /* at another instance */
} flight_state_t;

typedef struct {
	uint32_t generation;
	flight_state_t state;
	void *user;
	char team[NAME_LIMIT + 1]; /* "" on an open service without a key */
	char service[NAME_LIMIT + 1];
	char method[8];
	uint8_t key_hash[KEY_HASH_BYTES];
	bool has_key;
	bool forwarded;		     /* came from another instance */
	char sender[NAME_LIMIT + 1]; /* that instance */
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
	bool token_tried;
	bool charged;
	reservation_t reservation;
	bool order_begun;
	order_handle_t order_handle;
	handle_t target;
	handle_t last_target; /* lost its last attempt */
	handle_t queue_handle;
	unsigned int unsent;
	unsigned int tries; /* sent to a target */
	time_us_t sent_at;
	const char *retry_reason; /* decision after the last loss */
	bool written; /* an attempt wrote bytes, so the request may have run */
	bool cancelled;
	refusal_t cancel_reason;
} flight_t;

struct gate {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1]; /* "" until the zone is known */
	incarnation_t incarnation;
	char **seeds;
	uint64_t random; /* state of the generator */
	uint32_t queue_limit;
	bool draining;	    /* by signal or operator */
	bool leaving;	    /* by the fleet list */
	bool share_awaited; /* the wait for a first share is over */
	time_us_t started_at;

	lists_t *lists;
	lists_view_t view;
	membership_t *membership;
	allotment_t *allotment;
	order_table_t *orders;
	poison_table_t *poison;
	retry_budget_t retries;
	route_t *route;
	directory_t *directory; /* NULL until two lists are known */
	spill_t *spill;
	engines_t *engines;
	time_us_t engines_at; /* when they are looked at next */
	size_t lender_next;   /* position in the fleet list */
	GHashTable *queues;   /* service -> queue_t */
	time_us_t pump_now;   /* time of the running queue_pop() */

	flight_t *flights;
	size_t n_flights; /* slots */
	size_t n_open;	  /* in use */
	GArray *free_slots;
	GQueue token_waiters; /* flight_id_t in order of arrival */

	GHashTable *peers; /* name -> peer_state_t */
	time_us_t heartbeat_near_at;
	time_us_t heartbeat_far_at;
	time_us_t heartbeat_soonest_at;
	time_us_t ask_at, ask_wait; /* 0: nothing is missing */
	uint64_t n_heard;	    /* when last looked at */
	bool zone_stated;
	bool ready_told;
	size_t far_turn;	/* whose turn it is in other zones */
	GHashTable *zone_sizes; /* zone -> number of instances */
	GHashTable *loads_at;	/* zone -> time it was told loads, boxed */
	share_t routed_share;	/* share that the target table goes by */
	uint64_t progress[MEMBERSHIP_PROGRESS];
	time_us_t loans_at;
	time_us_t sweep_at;
};

/* What heartbeats told about a peer. */
typedef struct {
	bool ready;
	bool draining;
	bool reachable;
} peer_state_t;

flight_t *gate_flight(const gate_t *gate, flight_id_t id);
flight_id_t gate_flight_id(const gate_t *gate, const flight_t *flight);
uint64_t gate_random(gate_t *gate);

/* Appends an action for a flight and returns it for filling in. */
gate_action_t *gate_action(
    gate_t *gate, GArray *actions, action_kind_t kind, const flight_t *flight);

/* Returns the region of a zone, or "". */
const char *gate_zone_region(const gate_t *gate, const char *zone);

/* Checks key, service and region rule of a flight against the lists in force.
 */
refusal_t gate_check_rules(const gate_t *gate, flight_t *flight);

/* Ends a flight with a refusal: gives tokens and the order's ticket back. */
void gate_refuse(gate_t *gate, flight_t *flight, refusal_t reason,
    time_us_t retry_after, time_us_t now, GArray *actions);

/* Frees the flight's slot. */
void gate_close(gate_t *gate, flight_t *flight);

/* Sends an admitted flight to a target, another instance or the queue. */
void gate_dispatch(
    gate_t *gate, flight_t *flight, time_us_t now, GArray *actions);

/* Tries to charge the flight's tokens and goes on with it. */
void gate_charge(
    gate_t *gate, flight_t *flight, time_us_t now, GArray *actions);

/* Settles the tokens of a flight; used -1 charges all that was reserved. */
void gate_settle(gate_t *gate, flight_t *flight, int64_t used, time_us_t now);

/* Starts waiting flights of a service as far as targets have room. */
void gate_pump(
    gate_t *gate, const char *service, time_us_t now, GArray *actions);
void gate_pump_all(gate_t *gate, time_us_t now, GArray *actions);

/* Takes a flight out of those that wait for tokens, if it is there. */
void gate_token_wait_leave(gate_t *gate, flight_id_t id);

/* Tries again the flights that wait for tokens. */
void gate_pump_tokens(gate_t *gate, time_us_t now, GArray *actions);

/* Ends flights whose key, team or service is no longer allowed. */
void gate_recheck_flights(gate_t *gate, time_us_t now, GArray *actions);

/*
 * Chooses another instance that should serve the flight. local: a target of
 * this zone can take it later. Returns false when it stays here.
 */
bool gate_spill(gate_t *gate, const flight_t *flight, bool local, time_us_t now,
    char instance[NAME_LIMIT + 1]);

/* Asks a peer for a loan for the team if its demand calls for one. */
void gate_ask_loan(
    gate_t *gate, const char *team, time_us_t now, GArray *actions);

/* Chooses the next peer to ask for a loan; false: none can be reached. */
bool gate_choose_lender(
    gate_t *gate, const char *team, char lender[NAME_LIMIT + 1]);

/* Gives the target table the fleet list and this instance's slots. */
void gate_sync_route(gate_t *gate, time_us_t now);

/*
 * The same if this instance's share of its zone has changed. Must precede all
 * that can send: a process that was paused wakes with a lease that is over, and
 * its next event need not be a tick.
 */
void gate_follow_share(gate_t *gate, time_us_t now);

/* For membership_set_busy_source(); context is the gate. */
bool gate_is_busy(void *context);

/* Counts the instances of each zone of a new fleet list. */
void gate_count_zones(gate_t *gate);

/* Periodic messages to peers. */
void gate_tick_peers(gate_t *gate, time_us_t now, GArray *actions);

/* Decides about commands to engines. */
void gate_create_engines(gate_t *gate, int64_t start_s);
void gate_tick_engines(gate_t *gate, time_us_t now, GArray *actions);

/* Sends heartbeats now. Of those that wait for a peer one is sent. */
/* Sends a heartbeat to the sender of a request that told what is missing. */
void gate_ask_back(
    gate_t *gate, const heartbeat_t *request, time_us_t now, GArray *actions);

/* Whether a heartbeat to another zone is to tell the load. Notes that it does.
 */
bool gate_load_is_due(gate_t *gate, const char *zone, time_us_t now);

void gate_hasten_heartbeats(gate_t *gate, time_us_t now, GArray *actions);

/* Returns the wait queue of a service, created on first use. */
queue_t *gate_queue(gate_t *gate, const char *service);

/*
 * Whether the flight must leave the last free slots to others: its team was
 * above its rate when it was admitted, and the targets are nearly full. It does
 * so for at most YIELD_LIMIT_US.
 */
bool gate_yields(const gate_t *gate, const flight_t *flight, time_us_t now);

/* What the flight asks of the queue. A flight of a team that was above its rate
 * waits one class below that of its plan. */
queue_request_t gate_queue_request(const gate_t *gate, const flight_t *flight);

#endif
