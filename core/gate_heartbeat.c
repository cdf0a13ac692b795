#include <string.h>

#include "gate_internal.h"

/*
 * Schedule and recipients of heartbeats. With up to FAN_OUT_ALL other instances
 * each heartbeat goes to all of them. In a larger fleet the traffic would grow
 * with the square of its size. Then the instances of the same zone get one
 * every few seconds, which a lease of 30 s allows, and one instance of each
 * other zone in round robin. An instance without a share needs replies from
 * many instances to get one, and sends to all.
 *
 * While the pair of lists is not agreed, additional heartbeats go to those
 * whose answers are missing (membership.h): members of the same zone, and one
 * instance of each zone whose statement is missing. A request that reports
 * something missing is answered with a request to its sender, as only a reply
 * can be dated. Heartbeats outside the periodic schedule leave out the load.
 */
#define FAN_OUT_ALL 16

#define HEARTBEAT_NEAR_US (1 * US_PER_S)
#define HEARTBEAT_FAR_US (5 * US_PER_S)
#define HEARTBEAT_NEAR_LARGE_US (5 * US_PER_S)
#define HEARTBEAT_FAR_LARGE_US (15 * US_PER_S)

/* Min interval of heartbeats that report progress of an agreement at once. */
#define HEARTBEAT_SOONEST_US (100 * US_PER_MS)

/*
 * Interval of queries for missing answers. It doubles while nothing new is
 * received, so that a zone that is unreachable for an hour costs little.
 */
#define ASK_SOONEST_US (500 * US_PER_MS)
#define ASK_LATEST_US (15 * US_PER_S)

/* Load is reported to a zone once per remote interval of a large fleet. */
#define LOAD_SOONEST_US (HEARTBEAT_FAR_LARGE_US - US_PER_S)

/* One round of heartbeats. */
typedef struct {
	bool near;	   /* to the same zone */
	bool far;	   /* to other zones */
	bool all;	   /* to all of them, not one per zone */
	time_us_t floor;   /* only to those not received since; 0: any */
	GHashTable *ranks; /* zone -> its instances visited so far */
} beat_round_t;

static bool
fan_out_is_full(const gate_t *gate)
{
	return gate->view.fleet->n_instances <= FAN_OUT_ALL + 1 ||
	       gate->routed_share == 0;
}

static size_t
zone_size(const fleet_t *fleet, const char *zone)
{
	size_t n = 0;

	for (size_t i = 0; i < fleet->n_instances; i++)
		n += strcmp(fleet->instances[i].zone, zone) == 0;
	return n;
}

/* Whether the round robin of its zone has reached the instance. */
static bool
turn_comes(gate_t *gate, const instance_t *instance, beat_round_t *round)
{
	size_t rank =
	    GPOINTER_TO_SIZE(g_hash_table_lookup(round->ranks, instance->zone));
	size_t size = GPOINTER_TO_SIZE(
	    g_hash_table_lookup(gate->zone_sizes, instance->zone));

	g_hash_table_insert(
	    round->ranks, instance->zone, GSIZE_TO_POINTER(rank + 1));
	return rank == gate->far_turn % MAX(size, 1);
}

static bool
beat_is_due(gate_t *gate, const instance_t *instance, beat_round_t *round)
{
	if (strcmp(instance->name, gate->name) == 0)
		return false;
	if (strcmp(instance->zone, gate->zone) == 0) {
		if (!round->near)
			return false;
	} else if (!round->far ||
		   (!round->all && !turn_comes(gate, instance, round))) {
		return false;
	}
	return round->floor == 0 ||
	       membership_lacks(gate->membership, instance, round->floor);
}

static void
beat_add(gate_t *gate, const char *peer, GArray *actions)
{
	gate_action_t *action =
	    gate_action(gate, actions, ACTION_HEARTBEAT, NULL);

	g_strlcpy(
	    action->u.heartbeat.peer, peer, sizeof(action->u.heartbeat.peer));
}

/* Without a fleet list, heartbeats go to the seeds to find one. */
static void
seeds_send(gate_t *gate, GArray *actions)
{
	for (char **seed = gate->seeds; seed != NULL && *seed != NULL; seed++)
		beat_add(gate, *seed, actions);
}

static void
round_send(gate_t *gate, beat_round_t *round, GArray *actions)
{
	const fleet_t *fleet = gate->view.fleet;

	round->ranks = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < fleet->n_instances; i++) {
		if (beat_is_due(gate, &fleet->instances[i], round))
			beat_add(gate, fleet->instances[i].name, actions);
	}
	g_hash_table_destroy(round->ranks);
	if (round->far)
		gate->far_turn++;
}

void
gate_count_zones(gate_t *gate)
{
	const fleet_t *fleet = gate->view.fleet;

	g_hash_table_remove_all(gate->zone_sizes);
	for (size_t i = 0; fleet != NULL && i < fleet->n_instances; i++) {
		char *zone = fleet->instances[i].zone;

		if (!g_hash_table_contains(gate->zone_sizes, zone))
			g_hash_table_insert(gate->zone_sizes, g_strdup(zone),
			    GSIZE_TO_POINTER(zone_size(fleet, zone)));
	}
}

static void
heartbeats_tick(gate_t *gate, time_us_t now, GArray *actions)
{
	bool full = gate->view.fleet == NULL || fan_out_is_full(gate);
	beat_round_t round = {.near = now >= gate->heartbeat_near_at,
	    .far = now >= gate->heartbeat_far_at,
	    .all = full};

	if (round.near)
		gate->heartbeat_near_at =
		    now + (full ? HEARTBEAT_NEAR_US : HEARTBEAT_NEAR_LARGE_US);
	if (round.far)
		gate->heartbeat_far_at =
		    now + (full ? HEARTBEAT_FAR_US : HEARTBEAT_FAR_LARGE_US);
	if (gate->view.fleet == NULL) {
		if (round.near)
			seeds_send(gate, actions);
	} else if (round.near || round.far) {
		round_send(gate, &round, actions);
	}
}

/* Queries for missing answers until the pair of lists is agreed. */
static void
asks_tick(gate_t *gate, time_us_t now, GArray *actions)
{
	time_us_t floor = membership_ask_floor(gate->membership, now);
	uint64_t n_heard = membership_n_heard(gate->membership);
	bool stated;
	beat_round_t round = {.near = true, .far = true, .floor = floor};

	if (floor == 0) {
		gate->ask_at = gate->ask_wait = 0;
		gate->zone_stated = false;
		return;
	}
	stated = membership_zone_is_stated(gate->membership, floor);
	if (gate->ask_wait == 0 || n_heard != gate->n_heard) {
		time_us_t soon = now + ASK_SOONEST_US;

		gate->ask_at =
		    gate->ask_wait == 0 ? soon : MIN(gate->ask_at, soon);
		gate->ask_wait = ASK_SOONEST_US;
		gate->n_heard = n_heard;
	}
	/* Other zones have probably progressed as far: query them now. */
	if (stated && !gate->zone_stated)
		gate->ask_at = now;
	gate->zone_stated = stated;
	if (now < gate->ask_at)
		return;
	round_send(gate, &round, actions);
	gate->ask_at = now + gate->ask_wait;
	gate->ask_wait = MIN(2 * gate->ask_wait, ASK_LATEST_US);
}

void
gate_ask_back(
    gate_t *gate, const heartbeat_t *request, time_us_t now, GArray *actions)
{
	if (membership_asks_back(gate->membership, request, now))
		beat_add(gate, request->sender, actions);
}

bool
gate_load_is_due(gate_t *gate, const char *zone, time_us_t now)
{
	const time_us_t *at = g_hash_table_lookup(gate->loads_at, zone);

	if (gate->view.fleet == NULL || fan_out_is_full(gate))
		return true;
	if (at != NULL && now < *at + LOAD_SOONEST_US)
		return false;
	g_hash_table_insert(
	    gate->loads_at, g_strdup(zone), g_memdup2(&now, sizeof(now)));
	return true;
}

typedef struct {
	gate_t *gate;
	time_us_t now;
	GArray *actions;
} team_visit_t;

/* Renews or returns the loans of an active team. */
static void
team_visit(const char *team, void *data)
{
	team_visit_t *visit = data;
	loan_return_t message;
	gate_action_t *action;

	gate_ask_loan(visit->gate, team, visit->now, visit->actions);
	if (!allotment_return(
		visit->gate->allotment, team, NULL, visit->now, &message))
		return;
	action = gate_action(visit->gate, visit->actions, ACTION_RETURN, NULL);
	action->u.give_back = message;
}

void
gate_tick_peers(gate_t *gate, time_us_t now, GArray *actions)
{
	team_visit_t visit = {gate, now, actions};

	if (now >= gate->heartbeat_soonest_at &&
	    membership_progressed(gate->membership, gate->progress)) {
		gate->heartbeat_soonest_at = now + HEARTBEAT_SOONEST_US;
		gate->heartbeat_near_at = 0;
		if (gate->view.fleet == NULL || fan_out_is_full(gate))
			gate->heartbeat_far_at = 0;
	}
	/* Until the others know that this instance is ready, their directories
	 * list it last. */
	if (!gate->ready_told && gate_is_ready(gate, now)) {
		gate->ready_told = true;
		gate->heartbeat_near_at = 0;
		gate->heartbeat_far_at = 0;
	}
	heartbeats_tick(gate, now, actions);
	if (gate->view.fleet != NULL)
		asks_tick(gate, now, actions);
	if (now >= gate->loans_at) {
		gate->loans_at = now + LOAN_RETRY_US;
		allotment_each(gate->allotment, team_visit, &visit);
	}
}

void
gate_hasten_heartbeats(gate_t *gate, time_us_t now, GArray *actions)
{
	gate->heartbeat_near_at = now;
	gate->heartbeat_far_at = now;
	gate_tick_peers(gate, now, actions);
}
