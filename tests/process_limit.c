#include <check.h>
#include <unistd.h>

#include "platform_world.h"
#include "test.h"

/* Requests that a target with a limit of 1 a second may get in WINDOW_MS. */
#define WINDOW_MS 4000
#define ALLOWED (WINDOW_MS / 1000 * 3 / 2 + 5)

/* Time after the first answer with a limit from which it is binding. */
#define STABLE_MS 6000

/* Time after the start in which instances send to no limited target. */
#define SETTLE_US 3000000

#define INSTANCES 3
#define REQUEST_INTERVAL_US 20000

/* Sends requests to the instances in turn for this time. */
static void
requests_send(const world_t *world, const char *work, int ms,
    gulong interval_us, GArray *fds)
{
	gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;

	for (int i = 0; g_get_monotonic_time() < end; i++) {
		g_autofree char *request = g_strdup_printf(
		    "GET /read/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: l%d-%u\r\n"
		    "Authorization: Bearer key-1\r\nRequest-Deadline: 1500\r\n"
		    "Connection: close\r\n\r\n",
		    work, i, fds->len);
		int fd = world_connect(world, i % INSTANCES, PORT_CALLERS);

		ck_assert_int_ge(fd, 0);
		world_send(fd, request);
		g_array_append_val(fds, fd);
		g_usleep(interval_us);
	}
}

/* Reads all answers, which are whole. Returns how many have this status. */
static unsigned
answers_count(GArray *fds, int status)
{
	unsigned n = 0;

	for (guint i = 0; i < fds->len; i++) {
		int fd = g_array_index(fds, int, i);
		world_answer_t answer = world_read(fd);

		ck_assert(answer.whole);
		n += answer.status == status;
		world_answer_clear(&answer);
		close(fd);
	}
	g_array_set_size(fds, 0);
	return n;
}

/* Reads all answers; each is whole and a success. */
static void
answers_read(GArray *fds)
{
	guint n = fds->len;

	ck_assert_uint_eq(answers_count(fds, 200), n);
}

TEST(instances_keep_a_limit_that_a_target_named_together)
{
	world_t world;
	g_autoptr(GArray) fds = g_array_new(FALSE, FALSE, sizeof(int));
	const unsigned usual = 2 * ALLOWED; /* without a limit, in 2 s */
	gint64 since;

	world_create(&world);
	for (int i = 0; i < INSTANCES; i++)
		world_start(&world, i, "a-1", true, true);
	g_usleep(SETTLE_US);
	fake_worker_set_limit(world.workers[0], "1");
	requests_send(&world, "ok", STABLE_MS, REQUEST_INTERVAL_US, fds);
	answers_read(fds);
	since = g_get_monotonic_time();
	requests_send(&world, "ok", 2 * WINDOW_MS, REQUEST_INTERVAL_US, fds);
	answers_read(fds);
	ck_assert_uint_le(fake_worker_busiest_window_since(
			      world.workers[0], WINDOW_MS, since),
	    ALLOWED);
	/* It is used at the rate that it allows, and others serve the rest. */
	ck_assert_uint_ge(
	    fake_worker_runs_since(world.workers[0], since), WINDOW_MS / 1000);
	/* An answer without the field ends the limit for all. */
	fake_worker_set_limit(world.workers[0], NULL);
	requests_send(&world, "ok", 5000, REQUEST_INTERVAL_US, fds);
	answers_read(fds);
	since = g_get_monotonic_time();
	requests_send(&world, "ok", 2000, REQUEST_INTERVAL_US, fds);
	answers_read(fds);
	ck_assert_uint_ge(
	    fake_worker_runs_since(world.workers[0], since), usual);
	world_destroy(&world);
}

/*
 * Load of which two targets can serve two thirds, and the room of each, as in
 * its entry.
 */
#define FRAGILE_MS 6000
#define FRAGILE_INTERVAL_US 8000
#define FRAGILE_ROOM 8
#define FRAGILE_WORK "slow-200"
#define CAPACITY_PER_S (2 * FRAGILE_ROOM * 5)

/* Refusals in a second that such a target endures. */
#define ENDURED 4

/*
 * Targets that break down when they must refuse much: instances leave them
 * within their room, and what they refuse together stays below what they
 * endure.
 */
TEST(targets_that_break_down_by_refusing_are_not_made_to_refuse)
{
	world_t world;
	g_autoptr(GArray) fds = g_array_new(FALSE, FALSE, sizeof(int));
	unsigned n_served;

	world_create(&world);
	for (int i = 0; i < INSTANCES; i++)
		world_start(&world, i, "a-1", true, true);
	g_usleep(SETTLE_US);
	for (int i = 0; i < 2; i++)
		fake_worker_set_fragile(world.workers[i], ENDURED);
	/* All of them learn of it. */
	requests_send(&world, "ok", 2000, REQUEST_INTERVAL_US, fds);
	answers_read(fds);
	for (int i = 0; i < 2; i++)
		fake_worker_set_room(world.workers[i], FRAGILE_ROOM);
	requests_send(
	    &world, FRAGILE_WORK, FRAGILE_MS, FRAGILE_INTERVAL_US, fds);
	n_served = answers_count(fds, 200);
	for (int i = 0; i < 2; i++) {
		g_autoptr(GArray) crashes =
		    fake_worker_crashes(world.workers[i]);

		g_print("target %d refused %u, crashed %u times\n", i,
		    fake_worker_refusals(world.workers[i]), crashes->len);
		ck_assert_uint_eq(crashes->len, 0);
		ck_assert_uint_le(fake_worker_refusals(world.workers[i]),
		    ENDURED * FRAGILE_MS / 1000);
	}
	/* Their room is used. */
	g_print("%u served\n", n_served);
	ck_assert_uint_ge(n_served, CAPACITY_PER_S * FRAGILE_MS / 1000 / 2);
	world_destroy(&world);
}

TEST_MAIN("limit")
