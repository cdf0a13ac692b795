#include "core/lists.h"

#include <string.h>

#include "schedule.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(lists_t, lists_destroy)

/* The text of a plans or allowances list is the version of the other list that
 * it needs. */
static bool
compatible(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return data != NULL ||
	       (allowances->head.version >=
		       strtoull(plans->head.text, NULL, 10) &&
		   plans->head.version >=
		       strtoull(allowances->head.text, NULL, 10));
}

static list_any_t
list_new(list_kind_t kind, uint64_t version, const char *text)
{
	static const size_t sizes[LIST_COUNT] = {
	    sizeof(plans_t), sizeof(allowances_t), sizeof(fleet_t)};
	list_any_t list = {.kind = kind};

	list.head = g_malloc0(sizes[kind]);
	list.head->refs = 1;
	list.head->version = version;
	list_head_set_text(list.head, text, strlen(text));
	return list;
}

static void
fleet_add(list_any_t list, const char *name)
{
	fleet_t *fleet = list.fleet;

	fleet->instances =
	    g_renew(instance_t, fleet->instances, fleet->n_instances + 1);
	memset(&fleet->instances[fleet->n_instances], 0, sizeof(instance_t));
	fleet->instances[fleet->n_instances++].name = g_strdup(name);
}

static lists_offer_t
offer_new(lists_t *lists, list_kind_t kind, uint64_t version, const char *text,
    time_us_t now)
{
	list_any_t list = list_new(kind, version, text);
	lists_offer_t offer = lists_offer(lists, list, now);

	list_any_clear(&list);
	return offer;
}

static lists_verdict_t
offer(lists_t *lists, list_kind_t kind, uint64_t version, const char *text)
{
	return offer_new(lists, kind, version, text, 0).verdict;
}

/* Guards against a lower version, or other content of the same version. */
TEST(only_a_higher_version_is_adopted)
{
	g_autoptr(lists_t) lists = lists_create("a", compatible, NULL);
	heartbeat_t heartbeat = {.n_load = 3};

	ck_assert_int_eq(offer(lists, LIST_FLEET, 0, "x"), LISTS_BEHIND);
	ck_assert_int_eq(offer(lists, LIST_FLEET, 5, "x"), LISTS_ADOPT);
	ck_assert_int_eq(offer(lists, LIST_FLEET, 5, "x"), LISTS_SAME);
	ck_assert_int_eq(offer(lists, LIST_FLEET, 5, "y"), LISTS_CONFLICT);
	ck_assert_int_eq(offer(lists, LIST_FLEET, 4, "x"), LISTS_BEHIND);
	ck_assert_int_eq(offer(lists, LIST_FLEET, 6, "y"), LISTS_ADOPT);
	lists_fill_adopted(lists, &heartbeat);
	ck_assert_uint_eq(heartbeat.adopted[LIST_FLEET].version, 6);
	ck_assert_uint_eq(heartbeat.adopted[LIST_PLANS].version, 0);
	ck_assert_uint_eq(heartbeat.n_load, 3);
}

/* Guards against half a pair in force, and a waiting list that blocks others.
 */
TEST(plans_and_allowances_wait_for_each_other)
{
	lists_t *lists = lists_create("a", compatible, NULL);
	lists_offer_t result;
	lists_view_t view;

	ck_assert_int_eq(offer(lists, LIST_PLANS, 4, "6"), LISTS_WAITING);
	ck_assert_int_eq(offer(lists, LIST_PLANS, 4, "7"), LISTS_CONFLICT);
	ck_assert_int_eq(offer(lists, LIST_ALLOWANCES, 5, "3"), LISTS_WAITING);
	/* A lower compatible list is put into force; version 4 still waits. */
	result = offer_new(lists, LIST_PLANS, 3, "5", 0);
	ck_assert_int_eq(result.verdict, LISTS_ADOPT);
	ck_assert(
	    result.changed[LIST_PLANS] && result.changed[LIST_ALLOWANCES]);
	ck_assert_uint_eq(lists_waiting(lists, LIST_PLANS), 4);
	result = offer_new(lists, LIST_ALLOWANCES, 6, "4", 0);
	ck_assert_int_eq(result.verdict, LISTS_ADOPT);
	ck_assert(result.changed[LIST_PLANS]);
	ck_assert_uint_eq(lists_waiting(lists, LIST_PLANS), 0);
	ck_assert_int_eq(offer(lists, LIST_PLANS, 6, "9"), LISTS_WAITING);
	ck_assert_int_eq(offer(lists, LIST_PLANS, 5, "8"), LISTS_BEHIND);
	view = lists_view(lists);
	ck_assert_uint_eq(view.plans->head.version, 4);
	ck_assert_uint_eq(view.allowances->head.version, 6);
	ck_assert_ptr_null(view.fleet);
	lists_destroy(lists);
	ck_assert_str_eq(view.plans->head.text, "6"); /* still referenced */
	lists_view_clear(&view);
}

/* Guards against two fetches of one version and a retry without a delay. */
TEST(fetches_are_limited)
{
	g_autoptr(lists_t) lists = lists_create("a", compatible, NULL);
	heartbeat_t peer = {.sender = "b"}, other = {.sender = "c"};
	list_stamp_t stamp = {.version = 2};

	peer.adopted[LIST_FLEET].version = 2;
	other.adopted[LIST_FLEET].version = 2;
	ck_assert(lists_on_heartbeat(lists, &peer, 0).fetch[LIST_FLEET]);
	ck_assert(!lists_on_heartbeat(lists, &other, 0).fetch[LIST_FLEET]);
	lists_fetch_end(lists, LIST_FLEET, false, 10);
	ck_assert(!lists_on_heartbeat(lists, &other, LISTS_RETRY_US)
		       .fetch[LIST_FLEET]);
	ck_assert(lists_on_heartbeat(lists, &other, LISTS_RETRY_US + 10)
		      .fetch[LIST_FLEET]);
	/* The end of this fetch is never reported. */
	ck_assert(
	    lists_on_heartbeat(lists, &peer, 10 * US_PER_S).fetch[LIST_FLEET]);
	/* A higher version does not wait for a lower one. */
	other.adopted[LIST_FLEET].version = 3;
	ck_assert(
	    lists_on_heartbeat(lists, &other, 10 * US_PER_S).fetch[LIST_FLEET]);
	lists_fetch_end(lists, LIST_FLEET, true, 11 * US_PER_S);
	lists_mark_refused(lists, LIST_FLEET, &stamp);
	ck_assert(
	    !lists_on_heartbeat(lists, &peer, 11 * US_PER_S).fetch[LIST_FLEET]);
	offer(lists, LIST_FLEET, 3, "x");
	ck_assert(lists_on_heartbeat(lists, &other, 12 * US_PER_S)
		      .conflict[LIST_FLEET]);
}

/* Guards against readiness with old lists, and against never being ready. */
TEST(wait_for_peers_is_limited)
{
	time_us_t start = 100 * US_PER_S;
	heartbeat_t peer = {.sender = "b"};
	list_any_t fleet;

	for (int received = 0; received < 3; received++) {
		g_autoptr(lists_t) lists = lists_create("a", compatible, NULL);

		fleet = list_new(LIST_FLEET, 1, "x");
		fleet_add(fleet, "a");
		fleet_add(fleet, "b");
		offer(lists, LIST_PLANS, 1, "0");
		ck_assert(!lists_ready(lists, start));
		offer(lists, LIST_ALLOWANCES, 1, "0");
		lists_offer(lists, fleet, start);
		list_any_clear(&fleet);
		ck_assert(!lists_ready(lists, start));
		peer.adopted[LIST_PLANS].version = received == 2 ? 2 : 0;
		if (received > 0)
			lists_on_heartbeat(lists, &peer, start + 1);
		ck_assert(lists_ready(lists, start + 1) == (received == 1));
		ck_assert(lists_ready(lists, start + LISTS_STARTUP_WAIT_US) ==
			  (received < 2));
		/* The peer with the newer list counts as unreachable. */
		ck_assert(lists_ready(lists, start + LISTS_REACHABLE_US + 2));
	}
}

/* Guards against instances that all retry a read at the same time. */
TEST(backoff_is_spread)
{
	time_us_t min = INT64_MAX, max = 0;

	for (uint64_t seed = 0; seed < 1000; seed++) {
		time_us_t first = read_backoff(0, seed);
		time_us_t last = read_backoff(40, seed);

		ck_assert(first >= US_PER_S && first <= 4 * US_PER_S);
		ck_assert(last >= US_PER_S && last <= 30 * US_PER_S);
		min = MIN(min, last);
		max = MAX(max, last);
	}
	ck_assert(min < 2 * US_PER_S && max > 29 * US_PER_S);
}

/*
 * Random schedules: the platform publishes versions and instances read it, but
 * may get old versions, other content under a known version, or nothing. Peers
 * exchange heartbeats and fetch lists, both of which may be lost. Instances are
 * partitioned from each other and restart.
 */
#define N_INSTANCES 4
#define N_VERSIONS 12
#define N_STEPS 150

typedef enum {
	FAULT_NONE,
	FAULT_REVERT,	   /* an instance loses its lists */
	FAULT_NO_FETCH,	   /* lists are not fetched from peers */
	FAULT_NO_PAIR,	   /* the check of a pair accepts everything */
	FAULT_EARLY_READY, /* readiness does not wait for reachable peers */
} fault_t;

typedef struct {
	lists_t *lists;
	bool ready;
	uint64_t in_force[LIST_COUNT];
	struct {
		time_us_t at;
		uint64_t versions[LIST_COUNT];
	} received[N_INSTANCES];
} sim_instance_t;

typedef struct {
	rng_t rng;
	fault_t fault;
	time_us_t now;
	sim_instance_t instances[N_INSTANCES];
	bool partitioned[N_INSTANCES][N_INSTANCES];
	list_any_t published[LIST_COUNT][N_VERSIONS];
	int n_published[LIST_COUNT];
	bool faultless; /* no loss; only instance 0 reads the platform */
	const char *violation;
} sim_t;

static void
sim_start(sim_t *sim, int i)
{
	const char name[2] = {(char)('a' + i), '\0'};

	lists_destroy(sim->instances[i].lists);
	if (sim->fault != FAULT_REVERT)
		memset(&sim->instances[i], 0, sizeof(sim->instances[i]));
	for (int k = 0; k < N_INSTANCES; k++)
		sim->instances[i].received[k].at = -LISTS_REACHABLE_US - 1;
	sim->instances[i].lists = lists_create(
	    name, compatible, sim->fault == FAULT_NO_PAIR ? sim : NULL);
}

/* Publishes the next version. The last plans and allowances are compatible. */
static void
sim_publish(sim_t *sim, list_kind_t kind)
{
	int n = sim->n_published[kind];
	char text[8];

	if (n == N_VERSIONS)
		return;
	g_snprintf(text, sizeof(text), "%d",
	    n == N_VERSIONS - 1 ? 0 : (int)rng_below(&sim->rng, n + 3));
	sim->published[kind][n] = list_new(kind, (uint64_t)n + 1, text);
	for (int i = 0; kind == LIST_FLEET && i < N_INSTANCES; i++) {
		const char name[2] = {(char)('a' + i), '\0'};

		fleet_add(sim->published[kind][n], name);
	}
	sim->n_published[kind]++;
}

static void
sim_read_platform(sim_t *sim, int i)
{
	list_kind_t kind = (list_kind_t)rng_below(&sim->rng, LIST_COUNT);
	int n = sim->n_published[kind];

	if (n == 0)
		return;
	if (!sim->faultless && rng_chance(&sim->rng, 10)) {
		/* Other content under a version that some may have. */
		offer_new(sim->instances[i].lists, kind,
		    (uint64_t)rng_below(&sim->rng, MIN(n, N_VERSIONS - 1)) + 1,
		    "1 other", sim->now);
		return;
	}
	if (!sim->faultless && rng_chance(&sim->rng, 2))
		n = 1 + (int)rng_below(&sim->rng, n);
	lists_offer(
	    sim->instances[i].lists, sim->published[kind][n - 1], sim->now);
}

static void
sim_fetch(sim_t *sim, int to, int from, list_kind_t kind)
{
	list_any_t list = lists_get(sim->instances[from].lists, kind);
	lists_t *lists = sim->instances[to].lists;
	bool got = sim->faultless || !rng_chance(&sim->rng, 4);

	if (got && list.head != NULL)
		lists_offer(lists, list, sim->now);
	/* The end of a fetch may not be reported. */
	if (!rng_chance(&sim->rng, 10))
		lists_fetch_end(lists, kind, got, sim->now);
	list_any_clear(&list);
}

static void
sim_heartbeat(sim_t *sim, int to, int from)
{
	sim_instance_t *receiver = &sim->instances[to];
	heartbeat_t heartbeat = {.sender = {(char)('a' + from)}};
	lists_wanted_t wanted;

	if (to == from || sim->partitioned[to][from])
		return;
	lists_fill_adopted(sim->instances[from].lists, &heartbeat);
	wanted = lists_on_heartbeat(receiver->lists, &heartbeat, sim->now);
	receiver->received[from].at = sim->now;
	for (int k = 0; k < LIST_COUNT; k++) {
		receiver->received[from].versions[k] =
		    heartbeat.adopted[k].version;
		if (wanted.fetch[k] && sim->fault != FAULT_NO_FETCH)
			sim_fetch(sim, to, from, (list_kind_t)k);
	}
}

/* Whether a reachable peer has a newer list that is neither in force nor waits.
 */
static bool
lacks_newer_list(const sim_t *sim, const sim_instance_t *instance)
{
	for (int p = 0; p < N_INSTANCES; p++) {
		if (instance->received[p].at + LISTS_REACHABLE_US < sim->now)
			continue;
		for (int k = 0; k < LIST_COUNT; k++) {
			uint64_t version = instance->received[p].versions[k];
			list_kind_t kind = (list_kind_t)k;

			if (version > lists_version(instance->lists, kind) &&
			    version != lists_waiting(instance->lists, kind))
				return true;
		}
	}
	return false;
}

static void
sim_check_pair(sim_t *sim, const sim_instance_t *instance)
{
	lists_view_t view = lists_view(instance->lists);

	if ((view.plans == NULL) != (view.allowances == NULL))
		sim->violation = "half a pair is in force";
	else if (view.plans != NULL &&
		 !compatible(view.plans, view.allowances, NULL))
		sim->violation = "the pair in force is not compatible";
	lists_view_clear(&view);
}

static void
sim_check(sim_t *sim, int i)
{
	sim_instance_t *instance = &sim->instances[i];
	time_us_t skipped = sim->fault == FAULT_EARLY_READY ? 60 * US_PER_S : 0;

	for (int k = 0; k < LIST_COUNT; k++) {
		uint64_t version =
		    lists_version(instance->lists, (list_kind_t)k);

		if (version < instance->in_force[k])
			sim->violation = "a version decreased";
		instance->in_force[k] = version;
	}
	sim_check_pair(sim, instance);
	if (!lists_ready(instance->lists, sim->now + skipped) ||
	    instance->ready)
		return;
	instance->ready = true;
	if (lacks_newer_list(sim, instance))
		sim->violation =
		    "ready although a reachable peer has a newer list";
}

static void
sim_step(sim_t *sim)
{
	int a = (int)rng_below(&sim->rng, N_INSTANCES);
	int b = (int)rng_below(&sim->rng, N_INSTANCES);

	sim->now += rng_below(&sim->rng, 400 * US_PER_MS);
	switch (rng_below(&sim->rng, 12)) {
	case 0:
		sim_publish(sim, (list_kind_t)rng_below(&sim->rng, LIST_COUNT));
		break;
	case 1:
		sim->partitioned[a][b] = sim->partitioned[b][a] =
		    rng_chance(&sim->rng, 2);
		break;
	case 2:
		if (rng_chance(&sim->rng, 6))
			sim_start(sim, a);
		break;
	case 3:
	case 4:
	case 5:
		sim_read_platform(sim, a);
		break;
	default:
		sim_heartbeat(sim, a, b);
		break;
	}
	for (int i = 0; i < N_INSTANCES; i++)
		sim_check(sim, i);
}

/* Without faults, and with instance 0 reading, all must get the last versions.
 */
static void
sim_settle(sim_t *sim)
{
	sim->faultless = true;
	memset(sim->partitioned, 0, sizeof(sim->partitioned));
	for (int k = 0; k < LIST_COUNT; k++) {
		while (sim->n_published[k] < N_VERSIONS)
			sim_publish(sim, (list_kind_t)k);
	}
	for (int round = 0; round < 40; round++) {
		sim->now += US_PER_S;
		sim_read_platform(sim, 0);
		for (int i = 0; i < N_INSTANCES * N_INSTANCES; i++)
			sim_heartbeat(sim, i % N_INSTANCES, i / N_INSTANCES);
		for (int i = 0; i < N_INSTANCES; i++)
			sim_check(sim, i);
	}
	for (int i = 0; i < N_INSTANCES; i++) {
		for (int k = 0; k < LIST_COUNT; k++) {
			if (sim->instances[i].in_force[k] != N_VERSIONS)
				sim->violation = "an instance lacks the last "
						 "version at the end";
		}
		if (!sim->instances[i].ready)
			sim->violation = "not ready at the end";
	}
}

static const char *
lists_schedule(uint64_t seed, int fault)
{
	sim_t sim = {.rng = {seed}, .fault = (fault_t)fault};

	for (int i = 0; i < N_INSTANCES; i++)
		sim_start(&sim, i);
	for (int step = 0; step < N_STEPS; step++)
		sim_step(&sim);
	sim_settle(&sim);
	for (int i = 0; i < N_INSTANCES; i++)
		lists_destroy(sim.instances[i].lists);
	for (int k = 0; k < LIST_COUNT; k++) {
		for (int n = 0; n < sim.n_published[k]; n++)
			list_any_clear(&sim.published[k][n]);
	}
	return sim.violation;
}

/* Guards against any order of events that lowers a version, splits a pair or
 * leaves instances with different versions. */
TEST(versions_only_rise_and_converge)
{
	schedule_check("lists", lists_schedule, 4000, FAULT_EARLY_READY);
}

TEST_MAIN("lists")
