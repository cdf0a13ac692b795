#include <string.h>

#include "platform_world.h"
#include "test.h"

/*
 * Instances that lose their links to all targets, while callers, the store and
 * other instances still reach them.
 */

/* Time in which an instance finds out that it reaches no target, or does. */
#define DETECT_MS 4000

/* The same for all instances of a region. */
#define SETTLE_MS 8000

/* Time for which others use what they heard before. */
#define TOLD_MS 2000

/* Requests of which all must be served once the loss is known. */
#define REQUESTS 40

/* Within its region, a request that is passed on takes hardly longer. */
#define ANSWER_MS 300

#define CUT 0
#define SOUND 1

static int
status_of(const world_t *world, int instance, const char *method,
    const char *path, const char *id)
{
	world_answer_t answer =
	    world_call(world, instance, method, path, id, WORLD_KEY, "order");
	int status = answer.status;

	world_answer_clear(&answer);
	return status;
}

static bool
is_lost(const world_t *world, int instance)
{
	world_answer_t answer =
	    world_get(world, instance, PORT_METRICS, "/metrics");
	bool lost =
	    answer.body && strstr(answer.body, "targets_lost 1") != NULL;

	world_answer_clear(&answer);
	return lost;
}

/* Whether the directory of an instance names another one. */
static bool
is_named(const world_t *world, int instance, int other)
{
	g_autofree char *ip = g_strdup_printf(
	    "127.%d.%d.%d:", world->net[0], world->net[1], other + 1);
	world_answer_t answer = world_get(
	    world, instance, PORT_DIRECTORY, "/resolve?name=h&region=a");
	bool named = answer.body != NULL && strstr(answer.body, ip) != NULL;

	world_answer_clear(&answer);
	return named;
}

static void
check_all_served(const world_t *world, int instance)
{
	for (int i = 0; i < REQUESTS; i++) {
		g_autofree char *id = g_strdup_printf("id-%d", i);
		gint64 began = g_get_monotonic_time();

		ck_assert_int_eq(status_of(world, instance, "POST",
				     i % 2 ? "/order/ok" : "/read/ok", id),
		    200);
		ck_assert_int_lt(
		    (g_get_monotonic_time() - began) / 1000, ANSWER_MS);
	}
}

static void
check_cut(world_cut_t cut)
{
	world_t world;

	world_create(&world);
	world_start_cuttable(&world, CUT, "a-1");
	world_start(&world, SOUND, "a-1", true, true);
	world_start(&world, 2, "b-1", true, true);
	WORLD_WAIT(is_named(&world, 2, CUT), DETECT_MS);
	world_cut(&world, CUT, cut);
	/* The first requests may fail; they must not be the only sign of it. */
	status_of(&world, CUT, "POST", "/read/ok", "first");
	WORLD_WAIT(is_lost(&world, CUT), DETECT_MS);
	check_all_served(&world, CUT);
	WORLD_WAIT(!is_named(&world, SOUND, CUT), TOLD_MS);
	ck_assert(is_named(&world, CUT, SOUND));
	ck_assert(!is_lost(&world, SOUND));
	/* Another region passes its requests on to the sound one only. */
	WORLD_WAIT(!is_named(&world, 2, CUT), TOLD_MS);
	check_all_served(&world, SOUND);
	world_cut(&world, CUT, CUT_NONE);
	WORLD_WAIT(!is_lost(&world, CUT), DETECT_MS);
	check_all_served(&world, CUT);
	WORLD_WAIT(is_named(&world, SOUND, CUT), TOLD_MS);
	world_destroy(&world);
}

/*
 * Guards against an instance that refuses what others of its region could
 * serve: each request tried target after target, each until a time-out.
 */
TEST(requests_at_an_instance_cut_off_from_targets_are_served_by_others)
{
	check_cut(CUT_SILENT);
}

TEST(requests_at_an_instance_refused_by_all_targets_are_served_by_others)
{
	check_cut(CUT_REFUSED);
}

/* A whole region is cut off: the other one has no targets of its own. */
TEST(requests_without_anybody_to_serve_them_are_refused)
{
	world_t world;

	world_create(&world);
	world_start_cuttable(&world, CUT, "a-1");
	world_start_cuttable(&world, SOUND, "a-1");
	world_cut(&world, CUT, CUT_SILENT);
	world_cut(&world, SOUND, CUT_SILENT);
	WORLD_WAIT((status_of(&world, CUT, "POST", "/read/ok", "a"),
		       is_lost(&world, CUT)),
	    SETTLE_MS);
	WORLD_WAIT((status_of(&world, SOUND, "POST", "/read/ok", "b"),
		       is_lost(&world, SOUND)),
	    SETTLE_MS);
	for (int i = 0; i < 5; i++)
		ck_assert_int_eq(
		    status_of(&world, CUT, "POST", "/order/ok", "c"), 503);
	/* Callers have nobody else to ask. */
	ck_assert(is_named(&world, CUT, CUT));
	world_cut(&world, CUT, CUT_NONE);
	WORLD_WAIT(!is_lost(&world, CUT), DETECT_MS);
	WORLD_WAIT(is_named(&world, SOUND, CUT), TOLD_MS);
	check_all_served(&world, CUT);
	check_all_served(&world, SOUND);
	world_destroy(&world);
}

TEST_MAIN("reach")
