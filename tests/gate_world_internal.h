#ifndef TESTS_GATE_WORLD_INTERNAL_H
#define TESTS_GATE_WORLD_INTERNAL_H

#include "core/order.h"
#include "gate_internal.h"
#include "gate_world.h"
#include "schedule.h"

/* Declarations shared by the files of the simulation, tests/gate_world*.c. */

#define N_NAMES 5
#define N_TARGETS 5
#define N_TEAMS 3
#define N_KEYS 6
#define N_BODIES 24
#define N_POISON 3 /* bodies 0 to 2 crash the targets that run them */
#define N_PROCESSES 64
#define N_VERSIONS 64
#define RATE 60
#define BURST 200
#define TICK_US (200 * US_PER_MS)
#define WARM_US (14 * US_PER_S)
#define TRAFFIC_US (24 * US_PER_S)
#define SETTLE_US (24 * US_PER_S)
#define WALL_S 1000000

typedef struct {
	const char *name, *service;
	int zone;
	uint32_t slots;
} model_target_t;

extern const char *const instance_names[N_NAMES];
extern const int instance_zones[N_NAMES];
extern const char *const zone_names[];

/* Only zone 0 has targets of the plain service "p". */
extern const model_target_t model_targets[N_TARGETS];

typedef struct {
	char text[TICKET_LIMIT];
	int team, body;
	unsigned int written; /* attempts that wrote bytes */
} ticket_t;

typedef struct {
	int team, key, body;
	const char *service;
	bool post;
	ticket_t *ticket;
	int64_t cost;
	bool written; /* an attempt at any instance wrote bytes */
} caller_request_t;

/* A request in one process. parent: the request in the process that forwarded
 * it; child: that in the process that it was forwarded to. */
typedef struct process_request process_request_t;
struct process_request {
	int process;
	gate_request_handle_t id;
	caller_request_t *request;
	process_request_t *parent, *child;
	bool ended, admitted;
	size_t admission;
	unsigned int attempt; /* results of earlier attempts are ignored */
	int target;	      /* -1: none */
	time_us_t sent_at;
	gate_attempt_result_t result; /* drawn when the attempt was sent */
	int64_t used; /* tokens of the last attempt that wrote bytes */
	execution_t forward_execution;
};

typedef struct {
	gate_t *gate;
	int name;
	bool alive;
	incarnation_t incarnation;
	uint8_t ticket_key[ORDER_MAC_KEY_BYTES];
	time_us_t offset, paused_until;
	uint32_t in_flight[N_TARGETS];
	uint64_t plans;	    /* adopted version of the list */
	time_us_t plans_at; /* time of adoption */
	int lost[N_BODIES]; /* losses that count towards POISON_LIMIT */
	time_us_t lost_at[N_BODIES][N_TARGETS];
} process_t;

typedef struct {
	time_us_t at;
	int64_t tokens;
} admission_t;

typedef enum {
	EVENT_TICK,
	EVENT_CHAOS,
	EVENT_START,
	EVENT_REQUEST,
	EVENT_LIST,
	EVENT_ATTEMPT_END, /* of an attempt at a target */
	EVENT_FORWARDED,   /* a forwarded request is received */
	EVENT_ANSWER,	   /* the answer of another instance */
	EVENT_ABORT,
	EVENT_HEARTBEAT,
	EVENT_REPLY,
	EVENT_NO_REPLY,
	EVENT_BORROW,
	EVENT_GRANT,
	EVENT_RETURN,
	EVENT_FETCHED
} event_kind_t;

typedef struct {
	time_us_t at;
	uint64_t sequence;
	event_kind_t kind;
	int process; /* -1: the current process of name; -2: none */
	int name, from;
	process_request_t *request;
	unsigned int attempt;
	gate_attempt_result_t result;
	list_kind_t list;
	uint64_t version;
	heartbeat_t *heartbeat;
	union {
		loan_request_t borrow;
		loan_grant_t grant;
		loan_return_t back;
	} u;
} event_t;

typedef struct {
	rng_t rng;
	int fault;
	bool more_faults;
	time_us_t now;
	uint64_t sequence;
	GSequence *events;
	process_t processes[N_PROCESSES];
	int n_processes, current[N_NAMES];
	GPtrArray *process_requests, *requests, *tickets;
	GArray *admissions[N_TEAMS];
	plans_t *plans[N_VERSIONS];
	fleet_t *fleets[N_VERSIONS];
	allowances_t *allowances;
	uint64_t n_plans, n_fleets;
	bool withdrawn[N_KEYS];
	int home[N_TEAMS]; /* zone number; -1: none */
	bool target_leaving[N_TARGETS], instance_leaving[N_NAMES];
	uint32_t in_flight[N_TARGETS];
	time_us_t links_down_until;
	char violation[256];
} world_t;

/* Clocks and names */

time_us_t local_time(const world_t *world, int process);
int64_t wall_s(const world_t *world);
int name_index(const char *name);

/* Network: events, links and messages between instances */

void event_free(gpointer data);
void event_put(world_t *world, time_us_t after, event_t event);
bool link_is_down(const world_t *world, int from, int to);
time_us_t link_delay(world_t *world);
void action_peer(world_t *world, int process, const gate_action_t *action);
void on_peer_event(
    world_t *world, int process, const event_t *event, GArray *actions);

/* Platform: publishes lists and offers them to the instances */

void key_hash(int key, uint8_t hash[KEY_HASH_BYTES]);
void plans_publish(world_t *world);
void fleet_publish(world_t *world);
void allowances_make(world_t *world);
void list_offer(world_t *world, int process, list_kind_t kind, uint64_t version,
    GArray *actions);
void chaos_list(world_t *world);

/* Callers */

void on_request(world_t *world, int process, GArray *actions);
void on_forwarded(
    world_t *world, int process, const event_t *event, GArray *actions);

/* Arrivals come in bursts, so that queues and buckets fill. */
void requests_schedule(world_t *world);

/* Requests: attempts at targets, forwards and their results */

void attempt_release(world_t *world, process_request_t *pr);

/* Sends the result of a forwarded request to the instance it came from. */
void child_answer(world_t *world, process_request_t *parent,
    unsigned int attempt, gate_attempt_result_t result, execution_t ran);

/* Aborts the request at the instance that it was forwarded to. */
void child_abort(world_t *world, const process_request_t *pr);
void actions_run(world_t *world, int process, GArray *actions);
void on_attempt_end(world_t *world, const event_t *event, GArray *actions);

/* Invariants */

void G_GNUC_PRINTF(2, 3) violate(world_t *world, const char *format, ...);

/* Records new reservations of a process and checks the rate of each team. */
void check_admissions(world_t *world, int process);
void admission_settle(world_t *world, process_request_t *pr, int64_t used);
void check_key(world_t *world, const process_request_t *pr);

/* Checks that the sender's lists allow the team to be served in the zone. */
void check_home(world_t *world, const process_request_t *pr, int zone);

/* Counts a lost target by the rule of core/poison.h. */
void loss_record(world_t *world, const process_request_t *pr);

/*
 * Checks that an instance sends no body after it has recorded two losses of it.
 * The concurrent cases of core/poison.h are allowed: copies that were at other
 * targets before the second loss was recorded, and copies at instances that had
 * not received the losses yet.
 */
void check_poison(world_t *world, const process_request_t *pr);

/*
 * Checks a "not run" statement at the time when it is made: while it is in
 * transit between two instances, another copy of an order may start.
 */
void check_not_run(world_t *world, const caller_request_t *request,
    bool stated_here, const char *by);

/*
 * Checks that an instance sends only within its share of a target's slots, and
 * that the shares never add up to more than the slots. Requests that an
 * instance still runs from an earlier, larger share count only in the strict
 * check, world_strict_slots.
 */
void check_slots(world_t *world, int process, int target);

/* Checks that all requests have ended. */
void check_ended(world_t *world);

#endif
