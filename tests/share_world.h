#ifndef TESTS_SHARE_WORLD_H
#define TESTS_SHARE_WORLD_H

#include "core/limiter.h"

/*
 * Simulation of several instances that divide shares, with a virtual clock and
 * a network that loses, delays, repeats and reorders messages. Each process has
 * its own clock, with an offset and up to 0.4% fast or slow.
 */

#define WORLD_ZONES 3
#define WORLD_NAMES 12 /* four in each zone */
#define WORLD_PROCESSES 40
#define WORLD_LISTS 64
#define WORLD_TEAMS 3
#define WORLD_QUEUES 128 /* buckets of messages by arrival step */

/*
 * Settings of a simulation. lose, repeat and late are probabilities for each
 * message, the others for each step.
 */
typedef struct {
	membership_faults_t faults;
	bool one_of_zone;  /* heartbeats to one member of each other zone */
	bool slow_lists;   /* lists are rarely read and never passed on */
	bool double_count; /* a repeated grant counts as another loan */
	time_us_t step;	   /* 0: random, 0.1 to 0.9 s */
	time_us_t zone_heartbeat_interval, remote_heartbeat_interval;
	time_us_t region_delay; /* between regions; 0: random delays */
	double lose, repeat, late;
	double list, pair, crash, pause, partition, stale;
	double demand;
} world_options_t;

typedef struct world world_t;

typedef enum {
	MESSAGE_REQUEST,
	MESSAGE_REPLY,
	MESSAGE_BORROW,
	MESSAGE_GRANT,
	MESSAGE_RETURN
} message_kind_t;

typedef struct {
	message_kind_t kind;
	int from, to; /* processes */
	union {
		heartbeat_t heartbeat;
		loan_request_t borrow;
		loan_grant_t grant;
		loan_return_t back;
	} body;
} message_t;

typedef struct {
	int name;
	bool alive;
	time_us_t paused_until;
	time_us_t offset;
	int drift; /* parts in 1e6 */
	membership_t *m;
	limiter_t *a;
	int fleet, pair; /* indexes of the adopted lists; -1: none */
	time_us_t heartbeat_at[2];
	int next_lender;
	int turn; /* selects the member of other zones to send to */
} process_t;

typedef struct {
	time_us_t at;
	int64_t cost;
} admission_t;

typedef struct {
	int process, team;
	size_t admission;
	reservation_t reservation;
} open_t;

struct world {
	world_options_t options;
	/* Called after a process has adopted lists; may be NULL. */
	void (*adopted)(void *context, int process);
	void *adopted_context;
	GRand *rand;
	time_us_t now;
	process_t processes[WORLD_PROCESSES];
	int n_processes;
	int current[WORLD_NAMES]; /* newest process of a name; -1: none */
	time_us_t restart_at[WORLD_NAMES];
	time_us_t remove_at[WORLD_NAMES];
	fleet_t *fleets[WORLD_LISTS];
	member_state_t listed[WORLD_LISTS][WORLD_NAMES]; /* WORLD_UNLISTED */
	int n_fleets;
	plans_t *plans[WORLD_LISTS];
	allowances_t *allowances[WORLD_LISTS];
	int n_pairs;
	uint32_t partition_zones; /* bit mask */
	int partition_name;	  /* reaches only partition_peer; -1: none */
	int partition_peer;
	time_us_t partition_until;
	GPtrArray *queues[WORLD_QUEUES];
	size_t queue;
	GArray *admissions[WORLD_TEAMS]; /* admission_t */
	GArray *open;			 /* open_t */
	GHashTable *accepted;		 /* loan ids */
	GString *violation;	 /* the first one detected; empty: none */
	uint64_t n_steps_in_use; /* with over half of a team's rate */
	uint64_t n_admitted, n_tried, n_loans;
};

#define WORLD_UNLISTED ((member_state_t)99)

world_t *world_create(uint32_t seed, world_options_t options);
void world_destroy(world_t *w);
void world_step(world_t *w);

/* Stops a process; after a delay it is removed from the fleet list. */
void world_stop_process(world_t *w, int process, time_us_t after);

/* Ends all faults, restarts stopped processes and lists those that run. */
void world_end_faults(world_t *w);

/* Checks admissions against rate x time + burst in all windows. Records a
 * violation. */
void world_check_admissions(world_t *w);

time_us_t process_clock(const world_t *w, const process_t *p);
bool process_runs(const world_t *w, const process_t *p);
const char *world_team(int team);

/* Sends a loan request of a process if it needs one. Returns whether it did. */
bool world_borrow(world_t *w, int process, int team);

#endif
