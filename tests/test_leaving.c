#include "core/targets.h"

#include <string.h>

#include "core/random.h"
#include "random.h"
#include "test.h"

/*
 * Instances of one region in virtual time, each with a source of its own of
 * what the publisher lists. Sources are delayed, refused and cut; instances
 * tell each other what targets say, and ask targets for their health.
 */

#define INSTANCES_MAX 300
#define ZONES 3
#define TARGETS 12
#define EVENTS_MAX 256
#define NOTICE_LIMIT 32
#define STEP_US (50 * US_PER_MS)
#define LOAD_STEPS 2  /* between messages to the own zone */
#define ROUND_STEPS 5 /* between rounds */
#define TICK_STEPS 5
#define CHECKERS 2
#define CHECK_INTERVAL_US (500 * US_PER_MS)
#define ROUND_ZONE 6
#define ROUND_OTHERS 2
#define LOSS_PERCENT 5

/* Allowed after the publisher has accepted that a target leaves, less 1 s. */
#define LEAVE_LIMIT_US (4 * US_PER_S)

typedef enum { EVENT_READY, EVENT_DRAINING, EVENT_REMOVED } event_kind_t;

typedef struct {
	time_us_t at;
	event_kind_t kind;
	int target;
	int64_t revision;
} event_t;

typedef struct {
	time_us_t leaves_at;  /* 0: it stays */
	time_us_t settles_at; /* the publisher has it again after an outage */
} truth_t;

typedef struct {
	targets_t *targets;
	int zone;
	size_t n_read;
	bool reachable;
	time_us_t delay;	/* of its source */
	time_us_t refused_from; /* its source tells nothing */
	time_us_t refused_to;
	time_us_t cut_to; /* it hears nobody either, until then */
} instance_t;

typedef struct {
	topology_t *topology;
	instance_t instances[INSTANCES_MAX];
	size_t n;
	truth_t truth[TARGETS];
	event_t events[EVENTS_MAX];
	size_t n_events;
	time_us_t now;
	uint64_t random;
	uint64_t seed;
	/* The publisher is away for all from and to these times. */
	struct {
		time_us_t from;
		time_us_t to;
	} outages[2];
} sim_t;

static void
event_add(sim_t *sim, time_us_t at, event_kind_t kind, int target)
{
	size_t i = sim->n_events++;

	ck_assert_uint_lt(sim->n_events, EVENTS_MAX);
	for (; i > 0 && sim->events[i - 1].at > at; i--)
		sim->events[i] = sim->events[i - 1];
	sim->events[i] = (event_t){at, kind, target, 0};
	for (i = 0; i < sim->n_events; i++)
		sim->events[i].revision = 10 + (int64_t)i;
}

static sim_t *
sim_create(size_t n, uint64_t seed)
{
	static const char *const zones[ZONES] = {"a-1", "a-2", "a-3"};
	sim_t *sim = g_new0(sim_t, 1);

	sim->n = n;
	sim->seed = seed;
	sim->random = seed * 1000 + n;
	sim->now = 10 * US_PER_S;
	sim->topology = topology_create();
	for (int i = 0; i < ZONES; i++)
		topology_add(sim->topology, zones[i], "a");
	for (size_t i = 0; i < n; i++) {
		sim->instances[i].targets = targets_create(sim->topology, 0);
		sim->instances[i].zone = (int)i % ZONES;
		sim->instances[i].reachable = true;
	}
	for (int i = 0; i < TARGETS; i++)
		event_add(sim, sim->now, EVENT_READY, i);
	return sim;
}

static void
sim_destroy(sim_t *sim)
{
	for (size_t i = 0; i < sim->n; i++)
		targets_destroy(sim->instances[i].targets);
	topology_destroy(sim->topology);
	g_free(sim);
}

static void
event_apply(const sim_t *sim, instance_t *instance, const event_t *event)
{
	target_entry_t entry = {.service = "engine",
	    .slots = 8,
	    .started_ms = 1,
	    .revision = {1, event->revision}};

	g_snprintf(entry.id, sizeof(entry.id), "t%d", event->target);
	if (event->kind == EVENT_REMOVED) {
		targets_remove(
		    instance->targets, entry.id, entry.revision, sim->now);
		return;
	}
	entry.state =
	    event->kind == EVENT_READY ? TARGET_READY : TARGET_DRAINING;
	targets_put(instance->targets, &entry, sim->now);
}

static bool
publisher_is_away(const sim_t *sim)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sim->outages); i++) {
		if (sim->now >= sim->outages[i].from &&
		    sim->now < sim->outages[i].to)
			return true;
	}
	return false;
}

static void
source_read(const sim_t *sim, instance_t *instance)
{
	bool reachable = !publisher_is_away(sim) &&
			 sim->now >= instance->cut_to &&
			 (sim->now < instance->refused_from ||
			     sim->now >= instance->refused_to);

	if (reachable != instance->reachable)
		targets_set_publisher_reachable(
		    instance->targets, reachable, sim->now);
	instance->reachable = reachable;
	if (!reachable)
		return;
	for (; instance->n_read < sim->n_events; instance->n_read++) {
		const event_t *event = &sim->events[instance->n_read];

		if (event->at > sim->now - instance->delay)
			break;
		event_apply(sim, instance, event);
	}
	if (instance->n_read > 0)
		targets_note_listed(instance->targets,
		    (revision_t){1, sim->events[instance->n_read - 1].revision},
		    sim->now);
}

static void
notices_pass(
    sim_t *sim, const target_notice_t *notices, size_t n, instance_t *to)
{
	if (sim->now < to->cut_to ||
	    random_below(&sim->random, 100) < LOSS_PERCENT)
		return;
	for (size_t i = 0; i < n; i++)
		targets_import_notice(to->targets, &notices[i], sim->now);
}

static void
load_send(sim_t *sim, size_t from)
{
	target_notice_t notices[NOTICE_LIMIT];
	size_t n = targets_export_notices(sim->instances[from].targets, notices,
	    NOTICE_LIMIT, false, sim->now);

	for (size_t i = 0; n > 0 && i < sim->n; i++) {
		if (i != from &&
		    sim->instances[i].zone == sim->instances[from].zone)
			notices_pass(sim, notices, n, &sim->instances[i]);
	}
}

static void
round_send(sim_t *sim, size_t from)
{
	target_notice_t notices[NOTICE_LIMIT];
	size_t n = targets_export_notices(sim->instances[from].targets, notices,
	    NOTICE_LIMIT, true, sim->now);

	for (int i = 0; n > 0 && i < ROUND_ZONE + ROUND_OTHERS; i++) {
		size_t to = random_below(&sim->random, (uint32_t)sim->n);
		bool same_zone =
		    sim->instances[to].zone == sim->instances[from].zone;

		if (to != from && same_zone == (i < ROUND_ZONE))
			notices_pass(sim, notices, n, &sim->instances[to]);
	}
}

static int
target_index(const target_t *target)
{
	return atoi(&target->entry.id[1]);
}

static void
health_check(const sim_t *sim, size_t i)
{
	targets_t *targets = sim->instances[i].targets;

	for (size_t j = targets_count(targets); j > 0; j--) {
		target_t *target = targets_at(targets, j - 1);
		const truth_t *truth = &sim->truth[target_index(target)];
		bool responsible = (i + target->short_id) % sim->n < CHECKERS;

		if (sim->now < target->next_check_at ||
		    !target_is_usable(targets, target) ||
		    !target_removal_wants_check(target, responsible, sim->now))
			continue;
		target->next_check_at = sim->now + CHECK_INTERVAL_US;
		targets_note_health(targets, target,
		    truth->leaves_at == 0 || sim->now < truth->leaves_at,
		    sim->now);
	}
}

static bool
is_used(const sim_t *sim, size_t i, int target)
{
	g_autofree char *id = g_strdup_printf("t%d", target);
	const targets_t *targets = sim->instances[i].targets;
	const target_t *found = targets_find(targets, id);

	return found != NULL && target_is_usable(targets, found);
}

/* Targets that left aren't used, and all others are. */
static void
use_check(const sim_t *sim, size_t i)
{
	if (sim->now < sim->instances[i].cut_to + LEAVE_LIMIT_US)
		return;
	for (int j = 0; j < TARGETS; j++) {
		const truth_t *truth = &sim->truth[j];

		if (truth->leaves_at == 0)
			SEED_CHECK(sim->seed, is_used(sim, i, j));
		else if (sim->now >= truth->leaves_at + LEAVE_LIMIT_US &&
			 sim->now >= truth->settles_at + LEAVE_LIMIT_US)
			SEED_CHECK(sim->seed, !is_used(sim, i, j));
	}
}

static void
sim_run(sim_t *sim, time_us_t length)
{
	time_us_t end = sim->now + length;

	for (unsigned step = 0; sim->now < end; step++, sim->now += STEP_US) {
		for (size_t i = 0; i < sim->n; i++) {
			source_read(sim, &sim->instances[i]);
			health_check(sim, i);
			if (step % TICK_STEPS == i % TICK_STEPS)
				targets_expire(
				    sim->instances[i].targets, sim->now);
			if (sim->now < sim->instances[i].cut_to)
				continue;
			if (step % LOAD_STEPS == i % LOAD_STEPS)
				load_send(sim, i);
			if (step % ROUND_STEPS == i % ROUND_STEPS)
				round_send(sim, i);
		}
		for (size_t i = 0; i < sim->n; i++)
			use_check(sim, i);
	}
}

/* A third of the targets leave at random times, half of them unannounced. */
static void
targets_leave(sim_t *sim, time_us_t from, time_us_t length)
{
	for (int i = 0; i < TARGETS / 3; i++) {
		time_us_t at = from + (time_us_t)random_below(&sim->random,
					  (uint32_t)(length / US_PER_MS)) *
					  US_PER_MS;

		sim->truth[i].leaves_at = at;
		if (i % 2 == 0)
			event_add(sim, at, EVENT_DRAINING, i);
		event_add(sim, at + (i % 2 == 0 ? 2500 * US_PER_MS : 0),
		    EVENT_REMOVED, i);
	}
}

/*
 * Each source but one is bad in its own way. Guards against bounds that are
 * each kept and add up: a source that is behind, the next one that refuses, and
 * a removal that is doubted on top.
 */
static void
sources_run(size_t n, uint64_t seed)
{
	sim_t *sim = sim_create(n, seed);
	time_us_t begin = sim->now + 2 * US_PER_S;

	sim_run(sim, US_PER_S);
	for (size_t i = 1; i < n; i++) {
		instance_t *instance = &sim->instances[i];
		time_us_t at =
		    begin + random_below(&sim->random, 8000) * US_PER_MS;

		switch (random_below(&sim->random, 4)) {
		case 0:
			instance->delay = 9 * US_PER_S;
			break;
		case 1:
			instance->refused_from = at;
			instance->refused_to =
			    at + random_below(&sim->random, 10000) * US_PER_MS;
			break;
		case 2:
			instance->cut_to =
			    at + random_below(&sim->random, 4000) * US_PER_MS;
			break;
		default:
			break;
		}
	}
	targets_leave(sim, begin, 8 * US_PER_S);
	sim_run(sim, 18 * US_PER_S);
	sim_destroy(sim);
}

/*
 * The publisher is away for all, twice if the pause isn't 0, and entries lapse
 * meanwhile. Those of targets in service are listed again up to 2 s after its
 * return for good; until then they are used.
 */
static void
outage_run(size_t n, uint64_t seed, time_us_t pause)
{
	sim_t *sim = sim_create(n, seed);
	time_us_t from = sim->now + 2 * US_PER_S;
	time_us_t back = from + 6 * US_PER_S;
	time_us_t settled = back;

	sim_run(sim, US_PER_S);
	sim->outages[0].from = from;
	sim->outages[0].to = back;
	if (pause > 0) {
		sim->outages[1].from = back + pause;
		sim->outages[1].to = settled = back + pause + 8 * US_PER_S;
	}
	for (int i = 0; i < TARGETS; i++) {
		event_add(sim, from + 4 * US_PER_S, EVENT_REMOVED, i);
		if (i < TARGETS / 3) {
			sim->truth[i].leaves_at = from + 3 * US_PER_S;
			sim->truth[i].settles_at = back;
			continue;
		}
		event_add(sim,
		    settled + random_below(&sim->random, 2000) * US_PER_MS,
		    EVENT_READY, i);
	}
	sim_run(sim, settled - sim->now + 8 * US_PER_S);
	sim_destroy(sim);
}

/* TEST_SEEDS=n in the environment plays n seeds of each size. */
static void
size_run(size_t n, uint64_t n_seeds)
{
	const char *text = getenv("TEST_SEEDS");

	if (text != NULL)
		n_seeds = strtoull(text, NULL, 10);
	for (uint64_t seed = 1; seed <= n_seeds; seed++) {
		sources_run(n, seed);
		outage_run(n, seed, 0);
		outage_run(n, seed, 800 * US_PER_MS);
		outage_run(n, seed, 2 * US_PER_S);
	}
}

TEST(targets_that_leave_are_not_used_by_one_instance)
{
	size_run(1, 40);
}

TEST(targets_that_leave_are_not_used_by_8_instances)
{
	size_run(8, 40);
}

TEST(targets_that_leave_are_not_used_by_84_instances)
{
	size_run(84, 4);
}

TEST(targets_that_leave_are_not_used_by_300_instances)
{
	size_run(300, 1);
}

TEST_MAIN("leaving")
