#include <string.h>

#include "core/lists.h"
#include "schedule.h"
#include "test.h"

/*
 * Random schedules for a plans list in parts. An operator changes parts, moves
 * keys between teams, publishes parts that need a newer allowances list, and
 * changes the number of parts. Instances read the platform, which may return
 * old texts and other texts under a known version, and fetch from each other,
 * with losses. They are partitioned from each other and restart.
 */
#define N_INSTANCES 4
#define N_TEAMS 12
#define N_KEYS 8
#define N_STEPS 250
#define N_HISTORY 512
#define N_PART_COUNTS 2 /* read by instances: the newest and the previous */

typedef struct {
	lists_t *lists;
	bool partitioned[N_INSTANCES];
	plans_t *whole; /* in force at the last check */
	uint64_t highest[PLANS_PART_LIMIT + 1][PLANS_PART_LIMIT];
} node_t;

typedef struct {
	rng_t rng;
	time_us_t now;
	node_t nodes[N_INSTANCES];
	int owner[N_KEYS];
	/* Numbers of parts, newest first. */
	uint32_t part_counts[N_PART_COUNTS];
	/* Newest version of each part of the newest partitioning. */
	uint64_t versions[PLANS_PART_LIMIT];
	bool unpublished[PLANS_PART_LIMIT]; /* changed but not published */
	uint64_t needed_allowances; /* allowances version needed by a part */
	uint64_t allowances;	    /* published version */
	plans_t *history[N_HISTORY];
	int n_history;
	bool faultless; /* no loss; only node 0 reads the platform */
	int n_fetches;
	const char *violation;
} sim_t;

/* The text of a part starts with the allowances version that it needs. */
static bool
compatible(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return allowances->head.version >= strtoull(plans->head.text, NULL, 10);
}

static void
team_fill(const sim_t *sim, team_t *team, int index, uint64_t version)
{
	team->name = g_strdup_printf("team-%d", index);
	team->plan = g_strdup_printf("%" G_GUINT64_FORMAT, version);
	team->keys = g_new0(team_key_t, N_KEYS);
	for (int k = 0; k < N_KEYS; k++) {
		if (sim->owner[k] == index)
			memset(team->keys[team->n_keys++].hash, k + 1,
			    KEY_HASH_BYTES);
	}
}

static plans_t *
part_build(const sim_t *sim, uint32_t parts, uint32_t part, uint64_t version,
    uint64_t needed_allowances, const char *remark)
{
	plans_t *plans = g_new0(plans_t, 1);
	g_autofree char *text = g_strdup_printf(
	    "%" G_GUINT64_FORMAT " %u %u %" G_GUINT64_FORMAT " %s",
	    needed_allowances, part, parts, version, remark);

	plans->head.refs = 1;
	plans->head.version = version;
	plans->part = part;
	plans->parts = parts;
	list_head_set_text(&plans->head, text, strlen(text));
	plans->teams = g_new0(team_t, N_TEAMS);
	for (int i = 0; i < N_TEAMS; i++) {
		g_autofree char *name = g_strdup_printf("team-%d", i);

		if (plans_part_of(name, parts) == part)
			team_fill(
			    sim, &plans->teams[plans->n_teams++], i, version);
	}
	plans_index(plans);
	return plans;
}

static void
sim_publish_part(sim_t *sim, uint32_t part)
{
	uint64_t needed_allowances = 0;

	sim->unpublished[part] = false;
	if (sim->n_history == N_HISTORY)
		return;
	/* Some parts need an allowances list that is not published yet. */
	if (!sim->faultless && rng_chance(&sim->rng, 5))
		needed_allowances =
		    sim->allowances + (uint64_t)rng_below(&sim->rng, 2);
	sim->needed_allowances = MAX(sim->needed_allowances, needed_allowances);
	sim->history[sim->n_history++] = part_build(sim, sim->part_counts[0],
	    part, sim->versions[part], needed_allowances, "");
}

/* Changes a part, which is published later, in any order with others. */
static void
sim_change_part(sim_t *sim, uint32_t part)
{
	if (!sim->unpublished[part])
		sim->versions[part] += 1 + (uint64_t)rng_below(&sim->rng, 3);
	sim->unpublished[part] = true;
}

static uint32_t
sim_part_of(const sim_t *sim, int team)
{
	g_autofree char *name = g_strdup_printf("team-%d", team);

	return plans_part_of(name, sim->part_counts[0]);
}

/* Exchanges two keys between their owners, or gives one to a random team. */
static void
sim_move_keys(sim_t *sim)
{
	int a = (int)rng_below(&sim->rng, N_KEYS);
	int b = (int)rng_below(&sim->rng, N_KEYS);
	int next = sim->owner[b];

	if (rng_chance(&sim->rng, 2))
		next = (int)rng_below(&sim->rng, N_TEAMS);
	else
		sim->owner[b] = sim->owner[a];
	for (int k = 0; k < N_KEYS; k++)
		sim_change_part(sim, sim_part_of(sim, sim->owner[k]));
	sim_change_part(sim, sim_part_of(sim, sim->owner[a]));
	sim->owner[a] = next;
	sim_change_part(sim, sim_part_of(sim, next));
}

static bool
sim_publish_next(sim_t *sim)
{
	uint32_t n = sim->part_counts[0];
	uint32_t first = (uint32_t)rng_below(&sim->rng, n);

	for (uint32_t i = 0; i < n; i++) {
		uint32_t part = (first + i) % n;

		if (!sim->unpublished[part])
			continue;
		sim_publish_part(sim, part);
		return true;
	}
	return false;
}

/* Changes the number of parts. The new versions are above the previous sum. */
static void
sim_repartition(sim_t *sim)
{
	static const uint32_t counts[] = {1, 2, 3, 5};
	uint32_t n = counts[rng_below(&sim->rng, G_N_ELEMENTS(counts))];
	uint64_t sum = 0;

	if (n == sim->part_counts[0])
		return;
	while (sim_publish_next(sim))
		;
	for (uint32_t i = 0; i < sim->part_counts[0]; i++)
		sum += sim->versions[i];
	sim->part_counts[1] = sim->part_counts[0];
	sim->part_counts[0] = n;
	for (uint32_t i = 0; i < n; i++) {
		sim->versions[i] = sum + 1;
		sim->unpublished[i] = true;
	}
}

static void
sim_offer(sim_t *sim, int i, plans_t *plans)
{
	list_any_t list = {.kind = LIST_PLANS, .plans = plans};

	lists_offer(sim->nodes[i].lists, list, sim->now);
}

static void
sim_offer_allowances(sim_t *sim, int i, uint64_t version)
{
	list_any_t list = {.kind = LIST_ALLOWANCES};

	list.allowances = g_new0(allowances_t, 1);
	list.head->refs = 1;
	list.head->version = version;
	list_head_set_text(list.head, "x", 1);
	lists_offer(sim->nodes[i].lists, list, sim->now);
	list_any_clear(&list);
}

static void
sim_start(sim_t *sim, int i)
{
	const char name[2] = {(char)('a' + i), '\0'};

	lists_destroy(sim->nodes[i].lists);
	plans_unref(sim->nodes[i].whole);
	memset(&sim->nodes[i], 0, sizeof(sim->nodes[i]));
	sim->nodes[i].lists = lists_create(name, compatible, NULL);
}

/* Returns what the platform has for a part, or NULL; maybe an old text. */
static plans_t *
sim_platform_part(sim_t *sim, uint32_t parts, uint32_t part, bool stale)
{
	plans_t *newest = NULL;

	for (int i = 0; i < sim->n_history; i++) {
		plans_t *plans = sim->history[i];

		if (plans->parts != parts || plans->part != part)
			continue;
		newest = plans;
		if (stale && rng_chance(&sim->rng, 3))
			break;
	}
	return newest;
}

static void
sim_read_platform(sim_t *sim, int i)
{
	uint32_t parts = sim->part_counts[rng_below(&sim->rng, N_PART_COUNTS)];
	uint32_t part = (uint32_t)rng_below(&sim->rng, parts);
	bool stale = !sim->faultless && rng_chance(&sim->rng, 4);
	plans_t *plans = sim_platform_part(sim, parts, part, stale);
	plans_t *other;

	if (plans == NULL)
		return;
	sim_offer(sim, i, plans);
	if (sim->faultless || !rng_chance(&sim->rng, 10))
		return;
	/* Other content under a version that is in force or waits. */
	other = part_build(sim, parts, part, plans->head.version, 0, "other");
	sim_offer(sim, i, other);
	plans_unref(other);
}

/* Fetches a part. Returns whether to fetch another one at once. */
static bool
sim_fetch(sim_t *sim, int to, int from)
{
	const char peer[2] = {(char)('a' + from), '\0'};
	lists_t *lists = sim->nodes[to].lists;
	plans_held_t held;
	plans_t *part;
	lists_fetch_t result = LISTS_FETCH_NOTHING;

	sim->n_fetches++;
	lists_plans_held(lists, &held);
	part = plans_ref(
	    (plans_t *)lists_plans_missing(sim->nodes[from].lists, &held));
	if (!sim->faultless && rng_chance(&sim->rng, 4)) {
		result = LISTS_FETCH_FAILED;
	} else if (part != NULL) {
		sim_offer(sim, to, part);
		result = LISTS_FETCH_GOT;
	}
	plans_unref(part);
	/* The end of a fetch may not be reported. */
	if (!sim->faultless && rng_chance(&sim->rng, 10))
		return false;
	return lists_plans_fetch_end(lists, peer, result, sim->now);
}

static void
sim_heartbeat(sim_t *sim, int to, int from)
{
	heartbeat_t heartbeat = {.sender = {(char)('a' + from)}};
	lists_wanted_t wanted;

	if (to == from || sim->nodes[to].partitioned[from])
		return;
	lists_fill_adopted(sim->nodes[from].lists, &heartbeat);
	wanted = lists_on_heartbeat(sim->nodes[to].lists, &heartbeat, sim->now);
	if (wanted.fetch[LIST_ALLOWANCES]) {
		sim_offer_allowances(
		    sim, to, heartbeat.adopted[LIST_ALLOWANCES].version);
		lists_fetch_end(
		    sim->nodes[to].lists, LIST_ALLOWANCES, true, sim->now);
	}
	while (wanted.fetch[LIST_PLANS] && sim_fetch(sim, to, from))
		;
}

static const plans_t *
whole_part(const plans_t *whole, uint32_t i)
{
	return whole->part_lists == NULL ? whole : whole->part_lists[i];
}

/* Each team has one entry, from the version in force of its part. */
static void
sim_check_teams(sim_t *sim, const plans_t *whole)
{
	if (whole->n_teams != N_TEAMS)
		sim->violation = "teams are missing or duplicate";
	for (int i = 0; i < N_TEAMS; i++) {
		g_autofree char *name = g_strdup_printf("team-%d", i);
		const team_t *team = plans_find_team(whole, name);
		const plans_t *part =
		    whole_part(whole, plans_part_of(name, plans_parts(whole)));

		if (team == NULL)
			sim->violation = "a team has no entry";
		else if (strtoull(team->plan, NULL, 10) != part->head.version)
			sim->violation =
			    "a team has an entry of another version";
	}
}

/* No key belongs to two teams. */
static void
sim_check_keys(sim_t *sim, const plans_t *whole)
{
	int seen[N_KEYS + 1] = {0};

	for (size_t i = 0; i < whole->n_teams; i++) {
		const team_t *team = &whole->teams[i];

		for (size_t k = 0; k < team->n_keys; k++) {
			if (++seen[team->keys[k].hash[0]] > 1)
				sim->violation = "a key belongs to two teams";
			if (plans_find_key(whole, team->keys[k].hash) == NULL)
				sim->violation = "a key has no owner";
		}
	}
}

/* Versions of parts only rise, and that of the whole rises iff it changes. */
static void
sim_check_versions(sim_t *sim, node_t *node, const plans_t *whole)
{
	uint32_t n = plans_parts(whole);
	uint64_t sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint64_t version = whole_part(whole, i)->head.version;

		sum += version;
		if (version < node->highest[n][i])
			sim->violation = "the version of a part decreased";
		node->highest[n][i] = version;
	}
	if (sum != whole->head.version)
		sim->violation =
		    "the version is not the sum of the parts' versions";
	if (node->whole != NULL &&
	    (memcmp(node->whole->head.digest, whole->head.digest,
		 DIGEST_BYTES) != 0) !=
		(whole->head.version > node->whole->head.version))
		sim->violation = "content changed without a higher version";
}

static void
sim_check(sim_t *sim, int i)
{
	node_t *node = &sim->nodes[i];
	lists_view_t view = lists_view(node->lists);

	if (view.plans != NULL && view.plans != node->whole) {
		sim_check_teams(sim, view.plans);
		sim_check_keys(sim, view.plans);
		sim_check_versions(sim, node, view.plans);
		for (uint32_t k = 0; k < plans_parts(view.plans); k++) {
			if (!compatible(whole_part(view.plans, k),
				view.allowances, NULL))
				sim->violation = "a part is not compatible "
						 "with the allowances";
		}
		plans_unref(node->whole);
		node->whole = plans_ref(view.plans);
	}
	lists_view_clear(&view);
}

static void
sim_step(sim_t *sim)
{
	int a = (int)rng_below(&sim->rng, N_INSTANCES);
	int b = (int)rng_below(&sim->rng, N_INSTANCES);

	sim->now += rng_below(&sim->rng, 400 * US_PER_MS);
	switch (rng_below(&sim->rng, 24)) {
	case 0:
	case 1:
		sim_change_part(
		    sim, (uint32_t)rng_below(&sim->rng, sim->part_counts[0]));
		break;
	case 2:
		sim_move_keys(sim);
		break;
	case 3:
		if (rng_chance(&sim->rng, 4))
			sim_repartition(sim);
		break;
	case 4:
	case 5:
	case 6:
		sim_publish_next(sim);
		break;
	case 7:
		sim->nodes[a].partitioned[b] = sim->nodes[b].partitioned[a] =
		    rng_chance(&sim->rng, 2);
		break;
	case 8:
		if (rng_chance(&sim->rng, 6))
			sim_start(sim, a);
		break;
	case 9:
		sim->allowances += rng_chance(&sim->rng, 3);
		sim_offer_allowances(sim, a, sim->allowances);
		break;
	case 10:
	case 11:
	case 12:
	case 13:
		sim_read_platform(sim, a);
		break;
	default:
		sim_heartbeat(sim, a, b);
		break;
	}
	for (int i = 0; i < N_INSTANCES; i++)
		sim_check(sim, i);
}

static void
sim_check_end(sim_t *sim)
{
	for (int i = 0; i < N_INSTANCES; i++) {
		const plans_t *whole = sim->nodes[i].whole;

		if (whole == NULL ||
		    plans_parts(whole) != sim->part_counts[0]) {
			sim->violation = "another number of parts at the end";
			continue;
		}
		for (uint32_t k = 0; k < sim->part_counts[0]; k++) {
			if (whole_part(whole, k)->head.version !=
			    sim->versions[k])
				sim->violation = "an instance lacks the last "
						 "version of a part at the end";
		}
	}
}

/* Without faults, and with node 0 reading, all must get the last versions. */
static void
sim_settle(sim_t *sim)
{
	sim->faultless = true;
	sim->allowances = MAX(sim->allowances, sim->needed_allowances);
	while (sim->n_history < N_HISTORY && sim_publish_next(sim))
		;
	for (int i = 0; i < N_INSTANCES; i++)
		memset(sim->nodes[i].partitioned, 0,
		    sizeof(sim->nodes[i].partitioned));
	sim_offer_allowances(sim, 0, sim->allowances);
	/* Node 0 may hold other texts under these versions, so publish new
	 * versions of all parts. */
	for (uint32_t k = 0; k < sim->part_counts[0]; k++) {
		sim_change_part(sim, k);
		sim_publish_part(sim, k);
	}
	for (int round = 0; round < 40; round++) {
		sim->now += US_PER_S;
		for (int k = 0; k < 6; k++)
			sim_read_platform(sim, 0);
		for (int i = 0; i < N_INSTANCES * N_INSTANCES; i++)
			sim_heartbeat(sim, i % N_INSTANCES, i / N_INSTANCES);
		for (int i = 0; i < N_INSTANCES; i++)
			sim_check(sim, i);
	}
	sim_check_end(sim);
}

static const char *
parts_schedule(uint64_t seed, int fault)
{
	sim_t *sim = g_new0(sim_t, 1);
	const char *violation;

	sim->rng.state = seed;
	sim->part_counts[0] = sim->part_counts[1] = 1;
	sim->versions[0] = 1;
	sim->unpublished[0] = true;
	sim->allowances = 1;
	for (int k = 0; k < N_KEYS; k++)
		sim->owner[k] = k;
	for (int i = 0; i < N_INSTANCES; i++)
		sim_start(sim, i);
	for (int step = 0; step < N_STEPS; step++)
		sim_step(sim);
	sim_settle(sim);
	violation = sim->violation;
	for (int i = 0; i < N_INSTANCES; i++) {
		lists_destroy(sim->nodes[i].lists);
		plans_unref(sim->nodes[i].whole);
	}
	for (int i = 0; i < sim->n_history; i++)
		plans_unref(sim->history[i]);
	g_free(sim);
	return violation;
}

/* Guards against a part whose version decreases, a team with no entry or two,
 * and instances that never get the same parts, in any order of changes, reads
 * and fetches. */
TEST(parts_rise_and_converge)
{
	schedule_check("plans_set", parts_schedule, 2000, 0);
}

/*
 * Guards against instances that have the same version of the whole but
 * different parts and treat them as equal: each has to get the newer part of
 * the other.
 */
TEST(equal_sums_are_distinguished)
{
	sim_t *sim = g_new0(sim_t, 1);
	plans_t *parts[2][2];
	heartbeat_t heartbeats[2] = {{.sender = "a"}, {.sender = "b"}};

	for (int i = 0; i < 2; i++) {
		sim_start(sim, i);
		sim_offer_allowances(sim, i, 1);
	}
	for (uint32_t i = 0; i < 4; i++)
		parts[i / 2][i % 2] =
		    part_build(sim, 2, i / 2, 5 + i % 2, 0, "");
	for (int i = 0; i < 2; i++) {
		sim_offer(sim, i, parts[0][i]);
		ck_assert_uint_eq(
		    lists_version(sim->nodes[i].lists, LIST_PLANS), 0);
		sim_offer(sim, i, parts[1][1 - i]);
		ck_assert_uint_eq(
		    lists_version(sim->nodes[i].lists, LIST_PLANS), 11);
		lists_fill_adopted(sim->nodes[i].lists, &heartbeats[i]);
	}
	ck_assert_mem_ne(heartbeats[0].adopted[LIST_PLANS].digest,
	    heartbeats[1].adopted[LIST_PLANS].digest, DIGEST_BYTES);
	sim->faultless = true;
	sim_heartbeat(sim, 0, 1);
	ck_assert_uint_eq(lists_version(sim->nodes[0].lists, LIST_PLANS), 11);
	sim->now += LISTS_DIVERGED_US;
	sim_heartbeat(sim, 0, 1);
	sim_heartbeat(sim, 1, 0);
	for (int i = 0; i < 2; i++)
		ck_assert_uint_eq(
		    lists_version(sim->nodes[i].lists, LIST_PLANS), 12);
	for (int i = 0; i < 4; i++)
		plans_unref(parts[i / 2][i % 2]);
	for (int i = 0; i < 2; i++)
		lists_destroy(sim->nodes[i].lists);
	g_free(sim);
}

/* Guards against a fetch at each heartbeat from a peer that has no newer part.
 */
TEST(useless_fetches_are_not_repeated)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->faultless = true;
	for (int i = 0; i < 2; i++) {
		sim_start(sim, i);
		sim_offer_allowances(sim, i, 1);
		for (uint32_t k = 0; k < 2; k++) {
			plans_t *part =
			    part_build(sim, 2, k, 5, 0, i == 0 ? "" : "other");

			sim_offer(sim, i, part);
			plans_unref(part);
		}
	}
	for (int round = 0; round < 20; round++) {
		sim->now += US_PER_S;
		sim_heartbeat(sim, 0, 1);
	}
	ck_assert_int_eq(sim->n_fetches, 1);
	for (int i = 0; i < 2; i++)
		lists_destroy(sim->nodes[i].lists);
	g_free(sim);
}

static void
parts_offer(sim_t *sim, uint32_t parts, uint32_t part, uint64_t version)
{
	plans_t *plans = part_build(sim, parts, part, version, 0, "");

	sim_offer(sim, 0, plans);
	plans_unref(plans);
}

/* Guards against a pending set that is never complete because late parts of an
 * older partitioning replace it, and against a new set that is rejected while
 * another one is pending. */
TEST(pending_sets_survive_older_parts)
{
	sim_t *sim = g_new0(sim_t, 1);
	lists_t *lists;

	sim_start(sim, 0);
	lists = sim->nodes[0].lists;
	sim_offer_allowances(sim, 0, 1);
	parts_offer(sim, 2, 0, 10);
	parts_offer(sim, 3, 0, 30);
	parts_offer(sim, 5, 0, 5);
	parts_offer(sim, 2, 1, 10);
	ck_assert_uint_eq(lists_version(lists, LIST_PLANS), 20);
	parts_offer(sim, 3, 2, 30);
	parts_offer(sim, 5, 1, 29);
	parts_offer(sim, 2, 0, 11);
	ck_assert_uint_eq(lists_version(lists, LIST_PLANS), 21);
	parts_offer(sim, 3, 1, 30);
	ck_assert_uint_eq(lists_version(lists, LIST_PLANS), 90);
	parts_offer(sim, 2, 0, 31);
	parts_offer(sim, 2, 1, 31);
	ck_assert_uint_eq(lists_plans_parts(lists), 3);
	lists_destroy(lists);
	g_free(sim);
}

TEST_MAIN("plans_set")
