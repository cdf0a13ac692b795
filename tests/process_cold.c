#include <check.h>
#include <unistd.h>

#include "platform_world.h"
#include "test.h"

/* "pen" in the configuration of platform_world.c; see RULES, FAILBACK. */
#define COLD_PER_S 2
#define ALLOWED_PER_S (COLD_PER_S * 3 / 2 + 3)

#define REQUESTS 80
#define REQUEST_INTERVAL_US 25000

/*
 * An instance takes this long to see that the store is silent, and to ask the
 * targets themselves.
 */
#define BLIND_MS 7000
#define NOTICE_MS 800

/* Time after the start in which the instance sends to no cold target. */
#define SETTLE_MS 3000

/* A crashed target refuses connections for this long. */
#define DOWN_MS 600

/* Sends requests at an even rate and reads their answers afterwards. */
static void
requests_send(const world_t *world)
{
	int fds[REQUESTS];

	for (int i = 0; i < REQUESTS; i++) {
		g_autofree char *request = g_strdup_printf(
		    "GET /read/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: c%d\r\n"
		    "Authorization: Bearer key-1\r\nRequest-Deadline: 1500\r\n"
		    "\r\n",
		    i);

		fds[i] = world_connect(world, 0, PORT_CALLERS);
		ck_assert_int_ge(fds[i], 0);
		world_send(fds[i], request);
		g_usleep(REQUEST_INTERVAL_US);
	}
	for (int i = 0; i < REQUESTS; i++) {
		world_answer_t answer = world_read(fds[i]);

		ck_assert(answer.whole);
		world_answer_clear(&answer);
		close(fds[i]);
	}
}

/* The store's entries stay as they were before the targets turned cold. */
TEST(cut_off_instance_floods_no_target_that_turned_cold)
{
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fake_store_set_mode(world.store, STORE_SILENT);
	g_usleep(BLIND_MS * 1000UL);
	fake_worker_set_cold(world.workers[0], 8000);
	fake_worker_set_cold(world.workers[1], 8000);
	g_usleep(NOTICE_MS * 1000UL);
	requests_send(&world);
	for (int i = 0; i < 2; i++)
		ck_assert_uint_le(
		    fake_worker_busiest_window(world.workers[i], 1000),
		    ALLOWED_PER_S);
	/* It is used at the rate that it allows. */
	ck_assert_uint_ge(
	    fake_worker_busiest_window(world.workers[0], 60000), 1);
	world_destroy(&world);
}

/*
 * A target that crashes and starts again where the store doesn't hear of it is
 * cold, under the same id and entry.
 */
TEST(restarted_target_is_not_flooded_before_its_entry_changes)
{
	world_t world;
	world_answer_t answer;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	g_usleep(SETTLE_MS * 1000UL);
	fake_worker_crash(world.workers[0], DOWN_MS);
	fake_worker_crash(world.workers[1], DOWN_MS);
	fake_worker_set_cold(world.workers[0], 8000);
	fake_worker_set_cold(world.workers[1], 8000);
	answer =
	    world_call(&world, 0, "GET", "/read/ok", "down", WORLD_KEY, NULL);
	world_answer_clear(&answer);
	g_usleep(DOWN_MS * 1000UL);
	requests_send(&world);
	for (int i = 0; i < 2; i++)
		ck_assert_uint_le(
		    fake_worker_busiest_window(world.workers[i], 1000),
		    ALLOWED_PER_S);
	world_destroy(&world);
}

TEST_MAIN("cold")
