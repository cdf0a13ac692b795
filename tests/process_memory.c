#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "core/changelog.h"
#include "platform_world.h"
#include "test.h"

/*
 * What an instance holds while the configuration changes in quick succession
 * and is about as large as a value of the store can be.
 */

#define CONFIG_BYTES (900 << 10)
#define VERSIONS 50

/* Between versions. */
#define GAP_US 60000

/* Returns routes that nobody asks for, of this size in all. */
static char *
routes_of_size(size_t size)
{
	GString *routes = g_string_new(NULL);

	for (int i = 0; routes->len < size; i++)
		g_string_append_printf(routes,
		    ",{\"name\":\"r%d\",\"host\":\"h\","
		    "\"prefix\":\"/unused/%d/\",\"route_type\":\"safe\","
		    "\"timeout_ms\":4000,\"service\":\"pen\","
		    "\"target_latency_ms\":500,\"max_attempts\":2,"
		    "\"priority\":1}",
		    i, i);
	return g_string_free(routes, FALSE);
}

static size_t
gauge_read(const world_t *world, int instance, const char *name)
{
	world_answer_t answer =
	    world_get(world, instance, PORT_METRICS, "/metrics");
	const char *line = answer.body ? strstr(answer.body, name) : NULL;
	size_t value;

	ck_assert_msg(line != NULL, "no gauge %s", name);
	value = strtoull(line + strlen(name), NULL, 10);
	world_answer_clear(&answer);
	return value;
}

/* Number of versions that the instance has put in force. */
static unsigned
versions_read(const world_t *world, int instance)
{
	g_autofree char *path =
	    g_strdup_printf("%s/log-%d", world->folder, instance);
	g_autofree char *log = NULL;
	unsigned n = 0;

	ck_assert(g_file_get_contents(path, &log, NULL, NULL));
	for (const char *at = log; (at = strstr(at, "event=config ")) != NULL;
	     at++)
		n++;
	return n;
}

/*
 * Guards against instances that keep each version of a large configuration for
 * others: they grew by its size with every change, and ended.
 */
TEST(versions_of_a_large_configuration_are_not_kept)
{
	g_autofree char *routes = routes_of_size(CONFIG_BYTES);
	/* The copy holds base64, and a few small keys beside it. */
	size_t bound =
	    CONFIG_BYTES / 3 * 4 + CHANGELOG_HISTORY_BYTES + (64 << 10);
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	for (int i = 0; i < VERSIONS; i++) {
		world_configure(&world, 10 + i, "key-1", routes);
		g_usleep(GAP_US);
	}
	world_configure(&world, 10 + VERSIONS, "key-1", routes);
	WORLD_WAIT(gauge_read(&world, 0, "memory_bytes{part=\"replica\"} ") >
		       CONFIG_BYTES,
	    8000);
	ck_assert_uint_ge(versions_read(&world, 0), 10);
	ck_assert_uint_le(
	    gauge_read(&world, 0, "memory_bytes{part=\"replica\"} "), bound);
	world_destroy(&world);
}

TEST_MAIN("process_memory")
