#include <signal.h>
#include <string.h>

#include "platform_world.h"
#include "test.h"

/*
 * Instances that start when nobody else has a configuration: all of them were
 * killed, and the store has the newest one only.
 */

#define INSTANCES 4

/* Time in which an instance has read the store, or another one, and is ready.
 */
#define START_MS 5000
#define RESTART_MS 10000

/* Time in which what the operator writes has to be in force everywhere. */
#define CONFIG_MS 4000

#define ROUTE(name)                                                    \
	"{\"name\":\"" name "\",\"host\":\"h\",\"prefix\":\"/" name    \
	"/\",\"route_type\":\"safe\",\"timeout_ms\":4000,\"service\":" \
	"\"pen\",\"target_latency_ms\":500,\"max_attempts\":2}"

/* version and routes as JSON. */
static void
configure(const world_t *world, const char *version, const char *routes)
{
	g_autofree char *value = g_strdup_printf(
	    "{\"version\":%s,\"routes\":[%s],\"services\":[{\"name\":\"pen\"}],"
	    "\"tenants\":[{\"name\":\"parish\",\"api_keys\":[\"key-1\"]}]}",
	    version, routes);

	fake_store_put(world->store, "op/config", value);
}

static bool
has_logged(const world_t *world, int instance, const char *text)
{
	g_autofree char *path =
	    g_strdup_printf("%s/log-%d", world->folder, instance);
	g_autofree char *log = NULL;

	return g_file_get_contents(path, &log, NULL, NULL) &&
	       strstr(log, text) != NULL;
}

static void
start_all(world_t *world, bool wait)
{
	for (int i = 0; i < INSTANCES; i++)
		world_start(world, i, i < 2 ? "a-1" : "b-1", true, false);
	for (int i = 0; wait && i < INSTANCES; i++)
		WORLD_WAIT(world_is_ready(world, i), START_MS);
}

static void
kill_all(world_t *world)
{
	for (int i = 0; i < INSTANCES; i++)
		world_signal(world, i, SIGKILL);
	for (int i = 0; i < INSTANCES; i++)
		world_wait_end(world, i, 2000);
}

/*
 * Guards against a version that only those can live with who started before it:
 * after a kill of all, no instance became ready.
 */
TEST(version_beyond_64_bits_is_in_force_after_all_were_killed)
{
	world_t world;

	world_create(&world);
	start_all(&world, true);
	configure(&world, "100000000000000000000000000000", ROUTE("first"));
	kill_all(&world);
	start_all(&world, true);
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(world_status(&world, i, "/first/ok"), 200);
	configure(&world, "99999999999999999999999999999", ROUTE("lower"));
	configure(&world, "100000000000000000000000000001", ROUTE("second"));
	for (int i = 0; i < 2; i++) {
		WORLD_WAIT(
		    world_status(&world, i, "/second/ok") == 200, CONFIG_MS);
		ck_assert_int_eq(world_status(&world, i, "/first/ok"), 404);
	}
	world_destroy(&world);
}

/* Guards against long versions that instances can't tell each other. */
TEST(version_beyond_64_bits_reaches_those_that_cannot_read_the_store)
{
	world_t world;

	world_create(&world);
	configure(&world, "100000000000000000000000000000", ROUTE("first"));
	world_start(&world, 0, "a-1", true, true);
	world_start(&world, 1, "a-1", false, false);
	WORLD_WAIT(world_is_ready(&world, 1), RESTART_MS);
	ck_assert_int_eq(world_status(&world, 1, "/first/ok"), 200);
	world_destroy(&world);
}

/* Guards against an instance that serves nothing, as one part can't be read. */
TEST(unreadable_part_costs_only_itself_after_all_were_killed)
{
	world_t world;

	world_create(&world);
	start_all(&world, true);
	configure(&world, "\"4\"",
	    ROUTE("first") ",{\"host\":\"h\",\"prefix\":\"/first/odd/\","
			   "\"route_type\":\"odd\",\"service\":\"pen\"}");
	WORLD_WAIT(has_logged(&world, 0, "event=config_unreadable"), CONFIG_MS);
	ck_assert_int_eq(world_status(&world, 0, "/read/ok"), 200);
	kill_all(&world);
	start_all(&world, true);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(world_status(&world, i, "/first/ok"), 200);
		ck_assert_int_eq(world_status(&world, i, "/first/odd/ok"), 503);
		ck_assert_int_eq(world_status(&world, i, "/second/ok"), 404);
	}
	configure(&world, "\"5\"", ROUTE("second"));
	for (int i = 0; i < 2; i++)
		WORLD_WAIT(
		    world_status(&world, i, "/second/ok") == 200, CONFIG_MS);
	configure(&world, "4", ROUTE("first"));
	for (int i = 0; i < 2; i++)
		WORLD_WAIT(
		    world_status(&world, i, "/first/ok") == 200, CONFIG_MS);
	world_destroy(&world);
}

/* Guards against an instance that isn't ready, and nobody learns why. */
TEST(instance_that_is_not_ready_says_why)
{
	world_t world;

	world_create(&world);
	fake_store_put(world.store, "op/config", "{\"version\":");
	fake_store_set_mode(world.store, STORE_REFUSES);
	world_start(&world, 0, "a-1", true, false);
	WORLD_WAIT(has_logged(&world, 0, "event=not_ready reason=no_config"),
	    START_MS);
	fake_store_set_mode(world.store, STORE_WORKS);
	WORLD_WAIT(
	    has_logged(&world, 0, "event=not_ready reason=config_unreadable"),
	    START_MS);
	ck_assert(!world_is_ready(&world, 0));
	world_configure(&world, 4, "key-1", "");
	WORLD_WAIT(world_is_ready(&world, 0), CONFIG_MS);
	world_destroy(&world);
}

/*
 * Guards against instances that take the store for unreachable after a start:
 * others had seen a removal, of which a range doesn't tell the revision.
 */
TEST(removal_before_the_start_is_not_missing)
{
	world_t world;

	world_create(&world);
	start_all(&world, true);
	fake_store_put(world.store, "servers/gone", "{}");
	fake_store_put(world.store, "servers/gone", NULL);
	g_usleep(500000);
	for (int i = 0; i < INSTANCES; i += 2) {
		world_signal(&world, i, SIGKILL);
		world_wait_end(&world, i, 2000);
	}
	for (int i = 0; i < INSTANCES; i += 2)
		world_start(&world, i, i < 2 ? "a-1" : "b-1", true, true);
	g_usleep(3000000);
	for (int i = 0; i < INSTANCES; i++)
		ck_assert(!has_logged(&world, i, "cause=behind"));
	world_destroy(&world);
}

/*
 * Guards against a large configuration that takes longer than an answer without
 * a byte may, and is asked for again without end.
 */
TEST(large_answer_on_a_slow_link_is_read_to_its_end)
{
	enum { FILL_BYTES = 300000, BYTES_PER_S = 150000 };
	g_autofree char *fill = g_strnfill(FILL_BYTES, 'x');
	g_autofree char *routes =
	    g_strdup_printf(ROUTE("first") ",{\"host\":\"%s\"}", fill);
	world_t world;

	world_create(&world);
	configure(&world, "4", routes);
	fake_store_set_rate(world.store, BYTES_PER_S);
	world_start(&world, 0, "a-1", true, false);
	WORLD_WAIT(world_is_ready(&world, 0), RESTART_MS);
	ck_assert_int_eq(world_status(&world, 0, "/first/ok"), 200);
	world_destroy(&world);
}

TEST_MAIN("start")
