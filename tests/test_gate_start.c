#include <string.h>

#include "core/gate.h"
#include "core/queue.h"
#include "share_lists.h"
#include "test.h"

/* Tests which requests gate 0 starts, queues or forwards. Gates 0 and 1 share a
 * target in region r0; gate 2 has one in r1. */

#define SERVICE "s" /* of allowances_build() */
#define N_GATES 3
#define SLOTS 16 /* share of gate 0 */

/* Gate 0 has half of the rate of a plan for one region, and a quarter for two
 * regions. The cost of a request is chosen so that its burst is 16 requests, of
 * which the tenth and later ones are above the rate. */
#define BURST 1280
#define RATE 4

typedef struct {
	gate_t *gates[N_GATES];
	int64_t cost; /* of a request */
	time_us_t now;
	GArray *actions; /* of all gates; only gate 0 has requests */
} world_t;

static const char *const names[N_GATES] = {"a", "b", "c"};
static const char *const zones[N_GATES] = {"z0", "z0", "z1"};
static const uint32_t weights[] = {1, 1};

static bool
pair_fits(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return true;
}

static fleet_t *
fleet_new(void)
{
	fleet_t *fleet = fleet_build(1, N_GATES);

	for (size_t i = 0; i < N_GATES; i++) {
		fleet_put(fleet, names[i], zones[i], MEMBER_LIVE);
		fleet->instances[i].http = g_strdup(names[i]);
		fleet->instances[i].peer = g_strdup(names[i]);
	}
	fleet->targets = g_new0(target_t, 2);
	fleet->n_targets = 2;
	for (size_t i = 0; i < 2; i++)
		fleet->targets[i] = (target_t){.name = g_strdup(names[i]),
		    .zone = g_strdup(zones[i + 1]),
		    .service = g_strdup(SERVICE),
		    .url = g_strdup("u"),
		    .slots = 2 * SLOTS,
		    .state = MEMBER_LIVE};
	return fleet;
}

/* Each team's key hash is its index + 1. */
static plans_t *
plans_new(void)
{
	plans_t *plans = plans_build(1, "busy:- calm:-");

	for (int i = 0; i < 2; i++) {
		team_t *team = &plans->teams[i];

		team->n_keys = 1;
		team->keys = g_new0(team_key_t, 1);
		team->keys->id = g_strdup("k");
		memset(team->keys->hash, i + 1, KEY_HASH_BYTES);
	}
	g_hash_table_destroy(plans->by_name);
	g_hash_table_destroy(plans->by_hash);
	plans_index(plans);
	return plans;
}

static allowances_t *
allowances_new(uint32_t regions)
{
	allowances_t *list =
	    allowances_build(1, weights, 2, regions, RATE, BURST);

	list->n_services = 1;
	list->services = g_new0(service_t, 1);
	list->services->name = g_strdup(SERVICE);
	return list;
}

/* Advances the clock; each gate receives heartbeats once a second. */
static void
time_pass(world_t *world, time_us_t duration)
{
	heartbeat_t out;
	heartbeat_t reply;

	for (time_us_t end = world->now + duration; world->now < end;) {
		world->now += 50 * US_PER_MS;
		for (int i = 0; i < N_GATES; i++)
			gate_tick(
			    world->gates[i], world->now, 0, world->actions);
		for (int i = 0; i < N_GATES * N_GATES; i++) {
			gate_t *from = world->gates[i / N_GATES];
			gate_t *to = world->gates[i % N_GATES];
			const char *name = names[i % N_GATES];

			if (from == to || world->now % US_PER_S != 0)
				continue;
			gate_heartbeat_fill(from, name, &out, world->now);
			gate_on_heartbeat(
			    to, &out, &reply, world->now, world->actions);
			gate_on_reply(
			    from, name, &reply, world->now, world->actions);
		}
	}
}

/* regions: bit mask of the regions that the plan allows. */
static world_t *
world_new(uint32_t regions)
{
	static const uint8_t ticket_key[64] = {1};
	list_any_t lists[] = {
	    {.kind = LIST_ALLOWANCES, .allowances = allowances_new(regions)},
	    {.kind = LIST_PLANS, .plans = plans_new()},
	    {.kind = LIST_FLEET, .fleet = fleet_new()}};
	world_t *world = g_new0(world_t, 1);

	world->cost = BURST / 16 / (regions == 1 ? 2 : 4);
	world->actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	for (int i = 0; i < N_GATES; i++) {
		gate_options_t options = {.instance = names[i],
		    .zone = zones[i],
		    .incarnation = (incarnation_t)i + 1,
		    .ticket_key = ticket_key,
		    .queue_limit = 100,
		    .pair_fits = pair_fits};

		world->gates[i] = gate_create(&options);
		for (size_t k = 0; k < G_N_ELEMENTS(lists); k++)
			gate_list_offer(
			    world->gates[i], lists[k], 0, world->actions);
	}
	for (size_t k = 0; k < G_N_ELEMENTS(lists); k++)
		list_any_clear(&lists[k]);
	/* Fills the token buckets. */
	time_pass(world, (BURST / RATE + 30) * US_PER_S);
	return world;
}

static void
world_free(world_t *world)
{
	for (int i = 0; i < N_GATES; i++)
		gate_destroy(world->gates[i]);
	g_array_free(world->actions, TRUE);
	g_free(world);
}

static gate_request_handle_t
submit(world_t *world, int team)
{
	uint8_t hash[KEY_HASH_BYTES];
	gate_head_t head = {.method = "POST",
	    .service = SERVICE,
	    .path = "/",
	    .key_hash = hash,
	    .deadline = world->now + 60 * US_PER_S};
	gate_body_t body = {.cost = world->cost, .prefix_hash = 1};
	gate_request_handle_t id;

	memset(hash, team + 1, sizeof(hash));
	ck_assert_int_eq(
	    gate_open(world->gates[0], &head, world->now, &id), REFUSAL_NONE);
	gate_submit(world->gates[0], id, &body, world->now, world->actions);
	return id;
}

/* Whether an action of this kind was returned for the request. */
static bool
has_action(const world_t *world, gate_request_handle_t id, action_kind_t kind)
{
	for (guint i = 0; i < world->actions->len; i++) {
		const gate_action_t *action =
		    &g_array_index(world->actions, gate_action_t, i);

		if (action->kind == kind && action->request == id)
			return true;
	}
	return false;
}

/* Completes a request with an answer that used no tokens. */
static void
complete(world_t *world, gate_request_handle_t id)
{
	gate_attempt_outcome_t outcome = {
	    .result = GATE_ATTEMPT_OK, .status = 200};

	gate_attempt_ended(
	    world->gates[0], id, &outcome, world->now, world->actions);
}

/* Guards against a team above its rate that takes the last free slots or never
 * gets them, and against its request blocking other teams once it has been
 * skipped as often as the queue allows. */
TEST(team_above_rate_leaves_last_slots)
{
	world_t *world = world_new(1);
	gate_request_handle_t busy;

	for (int i = 0; i < SLOTS - 1; i++)
		ck_assert(has_action(world, submit(world, 0), ACTION_SEND));
	busy = submit(world, 0);
	for (int i = 0; i < 2 * QUEUE_CLASS_BOUND; i++) {
		gate_request_handle_t calm = submit(world, 1);

		ck_assert(has_action(world, calm, ACTION_SEND));
		complete(world, calm);
	}
	time_pass(world, YIELD_LIMIT_US - 100 * US_PER_MS);
	ck_assert(!has_action(world, busy, ACTION_SEND));
	time_pass(world, 100 * US_PER_MS);
	ck_assert(has_action(world, busy, ACTION_SEND));
	world_free(world);
}

/* Guards against a team above its rate that regains its plan's priority when it
 * no longer yields. */
TEST(team_above_rate_queues_one_class_below)
{
	world_t *world = world_new(1);
	gate_request_handle_t first = submit(world, 0);
	gate_request_handle_t busy;
	gate_request_handle_t calm;

	for (int i = 1; i < SLOTS; i++)
		busy = submit(world, 0);
	submit(world, 1);
	calm = submit(world, 1);
	time_pass(world, YIELD_LIMIT_US);
	ck_assert(!has_action(world, calm, ACTION_SEND));
	complete(world, first);
	ck_assert(has_action(world, calm, ACTION_SEND));
	ck_assert(!has_action(world, busy, ACTION_SEND));
	world_free(world);
}

/* Guards against requests that stay queued while another region has free slots.
 */
TEST(long_wait_is_forwarded)
{
	world_t *world = world_new(3);

	for (int i = 0; i < SLOTS; i++)
		ck_assert(has_action(world, submit(world, i % 2), ACTION_SEND));
	ck_assert(!has_action(world, submit(world, 1), ACTION_FORWARD));
	time_pass(world, US_PER_S);
	/* Nothing started for 1 s; the round trip to r1 takes 160 ms. */
	ck_assert(has_action(world, submit(world, 1), ACTION_FORWARD));
	world_free(world);
}

TEST_MAIN("gate_start")
