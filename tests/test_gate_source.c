#include "core/gate.h"
#include "share_lists.h"
#include "test.h"

/* The planned size of the deployment: 400 instances in 26 zones. */
#define N_ZONES 26
#define IN_ZONE 15
#define PARTS 32

static bool
pair_fits(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return true;
}

/* Both lists may be NULL. */
static gate_t *
gate_make(const char *name, fleet_t *fleet, allowances_t *allowances)
{
	static const uint8_t key[32] = {1};
	gate_options_t options = {.instance = name,
	    .zone = "z0",
	    .incarnation = 1,
	    .ticket_key = key,
	    .queue_limit = 4,
	    .now = 1,
	    .pair_fits = pair_fits};
	gate_t *gate = gate_create(&options);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	list_any_t list = {.kind = LIST_FLEET, .fleet = fleet};

	if (fleet != NULL)
		gate_list_offer(gate, list, 1, actions);
	/* Not in force before plans, but it gives the number of parts. */
	list = (list_any_t){.kind = LIST_ALLOWANCES, .allowances = allowances};
	if (allowances != NULL)
		gate_list_offer(gate, list, 1, actions);
	g_array_free(actions, TRUE);
	return gate;
}

static void
heartbeat_receive(gate_t *gate, const char *name, time_us_t now)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	heartbeat_t in = {.zone = "z0", .incarnation = 1};
	heartbeat_t reply = {0};

	g_strlcpy(in.sender, name, sizeof(in.sender));
	gate_on_heartbeat(gate, &in, &reply, now, actions);
	g_array_free(actions, TRUE);
}

/*
 * Counts the watches of each part over the instances of zone z0. From the dead
 * ones nothing was received for a minute. Returns the sum.
 */
static int
count_watches(int in_zone, int n_dead, uint32_t parts, int *counts)
{
	static const uint32_t weights[N_ZONES] = {1, 1};
	fleet_t *fleet = fleet_build(1, (size_t)in_zone * N_ZONES);
	allowances_t *allowances = allowances_build(1, weights, 2, 3, 1, 1);
	time_us_t now = 100 * US_PER_S;
	size_t zones = in_zone > 2 ? N_ZONES : 2;
	int sum = 0;

	allowances->plans_parts = parts;
	for (size_t i = 0; i < (size_t)in_zone * zones; i++) {
		g_autofree char *name = g_strdup_printf("i%zu", i);
		g_autofree char *zone = g_strdup_printf("z%zu", i % zones);

		fleet_put(fleet, name, zone, MEMBER_LIVE);
	}
	memset(counts, 0, parts * sizeof(*counts));
	for (int i = n_dead; i < in_zone; i++) {
		const char *self = fleet->instances[(size_t)i * zones].name;
		gate_t *gate = gate_make(self, fleet, allowances);
		GArray *sources;

		for (int k = 0; k < in_zone; k++) {
			if (k != i)
				heartbeat_receive(gate,
				    fleet->instances[(size_t)k * zones].name,
				    k < n_dead ? now - 60 * US_PER_S : now);
		}
		sources = gate_plans_sources(gate, now);
		ck_assert_uint_eq(sources->len, parts);
		for (guint k = 0; k < sources->len; k++) {
			const plans_source_t *source =
			    &g_array_index(sources, plans_source_t, k);

			ck_assert_uint_eq(source->parts, parts);
			counts[source->part] += source->watch;
			sum += source->watch;
		}
		g_array_free(sources, TRUE);
		gate_destroy(gate);
	}
	fleet_unref(fleet);
	allowances_unref(allowances);
	return sum;
}

/* Guards against more watches than the platform allows, and against a part that
 * no instance of a zone watches when some instances are dead. */
TEST(each_part_is_watched_within_the_budget)
{
	int counts[PARTS];

	for (int n_dead = 0; n_dead < IN_ZONE; n_dead++) {
		int sum = count_watches(IN_ZONE, n_dead, PARTS, counts);

		for (int i = 0; i < PARTS; i++)
			ck_assert_int_ge(counts[i], 1);
		/* Each instance also watches the fleet and allowances lists. */
		ck_assert_int_le(sum + 2 * IN_ZONE, 2000 / N_ZONES);
	}
}

/* Guards against needless delay of updates in a small fleet: all of its
 * instances watch all parts. */
TEST(every_instance_of_a_small_fleet_watches_all_parts)
{
	int counts[PARTS];

	ck_assert_int_eq(count_watches(2, 0, 4, counts), 8);
	ck_assert_int_eq(count_watches(2, 0, 1, counts), 2);
}

/* Guards against a new instance that adopts an undivided plans list which is
 * left over at the platform after the list was divided into parts. */
TEST(nothing_is_read_before_the_number_of_parts_is_known)
{
	fleet_t *fleet = fleet_build(1, 1);
	gate_t *gate = gate_make("i0", fleet, NULL);
	GArray *sources = gate_plans_sources(gate, 1);

	ck_assert_uint_eq(sources->len, 0);
	g_array_free(sources, TRUE);
	gate_destroy(gate);
	fleet_unref(fleet);
}

/*
 * Guards against a new instance that fetches lists from an instance name
 * without a connection, instead of from the seed that replied.
 */
TEST(new_instance_fetches_from_seeds)
{
	gate_t *gate = gate_make("i0", NULL, NULL);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	heartbeat_t in = {.sender = "i1", .zone = "z0", .incarnation = 1};
	heartbeat_t reply = {0};
	const gate_action_t *action;

	in.adopted[LIST_FLEET].version = 1;
	gate_on_heartbeat(gate, &in, &reply, US_PER_S, actions);
	for (guint i = 0; i < actions->len; i++)
		ck_assert_int_ne(g_array_index(actions, gate_action_t, i).kind,
		    ACTION_FETCH);
	g_array_set_size(actions, 0);
	gate_on_reply(gate, "127.0.0.1:81", &in, US_PER_S, actions);
	ck_assert_uint_gt(actions->len, 0);
	action = &g_array_index(actions, gate_action_t, 0);
	ck_assert_int_eq(action->kind, ACTION_FETCH);
	ck_assert_str_eq(action->u.fetch.peer, "127.0.0.1:81");
	g_array_free(actions, TRUE);
	gate_destroy(gate);
}

TEST_MAIN("gate_source")
