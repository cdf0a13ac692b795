#include <string.h>

#include "gate_internal.h"

/*
 * Schedule and recipients of heartbeats. With up to FULL_FAN_OUT_LIMIT other
 * instances each heartbeat goes to all of them. In a larger fleet the traffic
 * would grow with the square of its size. Then the instances of the same zone
 * get one every few seconds, which a lease of 30 s allows, and one instance of
 * each other zone in round robin. An instance without a share needs replies
 * from many instances to get one, and sends to all.
 *
 * While the pair of lists is not agreed, or removed members are not released,
 * additional heartbeats go to those whose reports are missing (membership.h):
 * members of the same zone, and one instance of each zone whose statement is
 * missing. A request that reports something that this instance lacks is
 * followed by a request to its sender, as only a reply can be dated. Heartbeats
 * outside the periodic schedule leave out the load.
 */
#define FULL_FAN_OUT_LIMIT 16

#define LOCAL_HEARTBEAT_US (1 * US_PER_S)
#define REMOTE_HEARTBEAT_US (5 * US_PER_S)
#define LOCAL_HEARTBEAT_LARGE_US (5 * US_PER_S)
#define REMOTE_HEARTBEAT_LARGE_US (15 * US_PER_S)

/* Min interval of heartbeats that report progress of an agreement at once. */
#define PROGRESS_HEARTBEAT_US (100 * US_PER_MS)

/*
 * Interval of queries for missing reports. It doubles while nothing new is
 * received, so that a zone that is unreachable for an hour costs little.
 */
#define QUERY_MIN_US (500 * US_PER_MS)
#define QUERY_MAX_US (15 * US_PER_S)

/* Load is reported to a zone once per remote interval of a large fleet. */
#define LOAD_REPORT_US (REMOTE_HEARTBEAT_LARGE_US - US_PER_S)

/* One round of heartbeats. */
typedef struct {
	bool local;  /* to the same zone */
	bool remote; /* to other zones */
	bool all;    /* to all of them, not one per zone */
	/* only to those for which membership_should_query() holds; 0: to all */
	time_us_t query_floor;
	GHashTable *ranks; /* zone -> its instances visited so far */
} heartbeat_round_t;

static bool
fan_out_is_full(const gate_t *gate)
{
	return gate->view.fleet->n_instances <= FULL_FAN_OUT_LIMIT + 1 ||
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
is_in_turn(gate_t *gate, const instance_t *instance, heartbeat_round_t *round)
{
	size_t rank =
	    GPOINTER_TO_SIZE(g_hash_table_lookup(round->ranks, instance->zone));
	size_t size = GPOINTER_TO_SIZE(
	    g_hash_table_lookup(gate->zone_sizes, instance->zone));

	g_hash_table_insert(
	    round->ranks, instance->zone, GSIZE_TO_POINTER(rank + 1));
	return rank == gate->remote_turn % MAX(size, 1);
}

static bool
heartbeat_is_due(
    gate_t *gate, const instance_t *instance, heartbeat_round_t *round)
{
	if (strcmp(instance->name, gate->name) == 0)
		return false;
	if (strcmp(instance->zone, gate->zone) == 0) {
		if (!round->local)
			return false;
	} else if (!round->remote ||
		   (!round->all && !is_in_turn(gate, instance, round))) {
		return false;
	}
	return round->query_floor == 0 ||
	       membership_should_query(
		   gate->membership, instance, round->query_floor);
}

static void
heartbeat_add(gate_t *gate, const char *peer, GArray *actions)
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
		heartbeat_add(gate, *seed, actions);
}

static void
round_send(gate_t *gate, heartbeat_round_t *round, GArray *actions)
{
	const fleet_t *fleet = gate->view.fleet;

	round->ranks = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < fleet->n_instances; i++) {
		if (heartbeat_is_due(gate, &fleet->instances[i], round))
			heartbeat_add(gate, fleet->instances[i].name, actions);
	}
	g_hash_table_destroy(round->ranks);
	if (round->remote)
		gate->remote_turn++;
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
	heartbeat_round_t round = {.local = now >= gate->local_heartbeat_at,
	    .remote = now >= gate->remote_heartbeat_at,
	    .all = full};

	if (round.local)
		gate->local_heartbeat_at =
		    now +
		    (full ? LOCAL_HEARTBEAT_US : LOCAL_HEARTBEAT_LARGE_US);
	if (round.remote)
		gate->remote_heartbeat_at =
		    now +
		    (full ? REMOTE_HEARTBEAT_US : REMOTE_HEARTBEAT_LARGE_US);
	if (gate->view.fleet == NULL) {
		if (round.local)
			seeds_send(gate, actions);
	} else if (round.local || round.remote) {
		round_send(gate, &round, actions);
	}
}

/* Queries for missing reports until the pair of lists is agreed and removed
 * members are released. */
static void
queries_tick(gate_t *gate, time_us_t now, GArray *actions)
{
	time_us_t query_floor = membership_query_floor(gate->membership, now);
	uint64_t n_confirmations = membership_n_confirmations(gate->membership);
	bool stated;
	heartbeat_round_t round = {
	    .local = true, .remote = true, .query_floor = query_floor};

	if (query_floor == 0) {
		gate->query_at = gate->query_interval = 0;
		gate->zone_stated = false;
		return;
	}
	stated = membership_zone_is_stated(gate->membership, query_floor);
	if (gate->query_interval == 0 ||
	    n_confirmations != gate->n_confirmations) {
		time_us_t soon = now + QUERY_MIN_US;

		gate->query_at = gate->query_interval == 0
				     ? soon
				     : MIN(gate->query_at, soon);
		gate->query_interval = QUERY_MIN_US;
		gate->n_confirmations = n_confirmations;
	}
	/* Other zones have probably progressed as far: query them now. */
	if (stated && !gate->zone_stated)
		gate->query_at = now;
	gate->zone_stated = stated;
	if (now < gate->query_at)
		return;
	round_send(gate, &round, actions);
	gate->query_at = now + gate->query_interval;
	gate->query_interval = MIN(2 * gate->query_interval, QUERY_MAX_US);
}

void
gate_query_sender(
    gate_t *gate, const heartbeat_t *request, time_us_t now, GArray *actions)
{
	if (membership_should_query_sender(gate->membership, request, now))
		heartbeat_add(gate, request->sender, actions);
}

bool
gate_claim_load_report(gate_t *gate, const char *zone, time_us_t now)
{
	const time_us_t *at = g_hash_table_lookup(gate->load_reported_at, zone);

	if (gate->view.fleet == NULL || fan_out_is_full(gate))
		return true;
	if (at != NULL && now < *at + LOAD_REPORT_US)
		return false;
	g_hash_table_insert(gate->load_reported_at, g_strdup(zone),
	    g_memdup2(&now, sizeof(now)));
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

	gate_request_loan(visit->gate, team, visit->now, visit->actions);
	if (!limiter_return(
		visit->gate->limiter, team, NULL, visit->now, &message))
		return;
	action = gate_action(visit->gate, visit->actions, ACTION_RETURN, NULL);
	action->u.give_back = message;
}

void
gate_tick_peers(gate_t *gate, time_us_t now, GArray *actions)
{
	team_visit_t visit = {gate, now, actions};

	if (now >= gate->progress_heartbeat_at &&
	    membership_progressed(gate->membership, gate->progress)) {
		gate->progress_heartbeat_at = now + PROGRESS_HEARTBEAT_US;
		gate->local_heartbeat_at = 0;
		if (gate->view.fleet == NULL || fan_out_is_full(gate))
			gate->remote_heartbeat_at = 0;
	}
	/* Until the others know that this instance is ready, their directories
	 * list it last. */
	if (!gate->ready_reported && gate_is_ready(gate, now)) {
		gate->ready_reported = true;
		gate->local_heartbeat_at = 0;
		gate->remote_heartbeat_at = 0;
	}
	heartbeats_tick(gate, now, actions);
	if (gate->view.fleet != NULL)
		queries_tick(gate, now, actions);
	if (now >= gate->loans_tick_at) {
		gate->loans_tick_at = now + LOAN_RETRY_US;
		limiter_each(gate->limiter, team_visit, &visit);
	}
}

void
gate_send_heartbeats(gate_t *gate, time_us_t now, GArray *actions)
{
	gate->local_heartbeat_at = now;
	gate->remote_heartbeat_at = now;
	gate_tick_peers(gate, now, actions);
}
