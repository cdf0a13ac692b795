#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_world.h"
#include "test.h"

/* Callers that leave while the instance doesn't run. */

#define CALLERS 64
#define LEAVE_AFTER_US 100000
#define QUEUED_AFTER_US 200000
#define STALL_AFTER_LEAVING_US 700000

/* How long a request that is sent on takes to reach a target. */
#define ARRIVAL_US 1000000

#define STALLED 0

typedef enum { LEAVE_BY_CLOSE, LEAVE_BY_RESET } leave_t;

static void
request_send(int fd, int number, const char *path)
{
	g_autofree char *request = g_strdup_printf(
	    "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: left-%d\r\n" WORLD_KEY
	    "\r\n",
	    path, number);

	world_send(fd, request);
}

static void
caller_leave(int fd, leave_t how)
{
	struct linger reset = {1, 0};

	if (how == LEAVE_BY_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

/* Requests of callers that left, over all targets. */
static unsigned
arrivals(const world_t *world)
{
	unsigned n = 0;

	for (int i = 0; i < CALLERS; i++) {
		g_autofree char *id = g_strdup_printf("left-%d", i);

		for (int j = 0; j < WORLD_WORKERS; j++)
			n += fake_worker_count(world->workers[j], id);
	}
	return n;
}

/* The instance wakes up after all callers have asked and left. */
static void
leave_during_stall(world_t *world, int fds[CALLERS], leave_t how)
{
	for (int i = 0; i < CALLERS; i++)
		request_send(fds[i], i, "/read/slow-50");
	g_usleep(LEAVE_AFTER_US);
	for (int i = 0; i < CALLERS; i++)
		caller_leave(fds[i], how);
	g_usleep(STALL_AFTER_LEAVING_US);
	world_signal(world, STALLED, SIGCONT);
	g_usleep(ARRIVAL_US);
	ck_assert_uint_eq(arrivals(world), 0);
}

/*
 * Guards against requests that are sent to targets after their callers have
 * left: their bytes were read before the end that already waited behind them.
 */
TEST(callers_that_leave_during_a_stall_are_not_served)
{
	for (leave_t how = LEAVE_BY_CLOSE; how <= LEAVE_BY_RESET; how++) {
		int fds[CALLERS];
		world_t world;

		world_create(&world);
		world_start(&world, STALLED, "a-1", true, true);
		world_signal(&world, STALLED, SIGSTOP);
		for (int i = 0; i < CALLERS; i++)
			fds[i] = world_connect(&world, STALLED, PORT_CALLERS);
		leave_during_stall(&world, fds, how);
		world_destroy(&world);
	}
}

/* The same on connections that had a request before. */
TEST(callers_with_kept_connections_that_leave_are_not_served)
{
	int fds[CALLERS];
	world_t world;

	world_create(&world);
	world_start(&world, STALLED, "a-1", true, true);
	for (int i = 0; i < CALLERS; i++) {
		world_answer_t answer;

		fds[i] = world_connect(&world, STALLED, PORT_CALLERS);
		world_send(fds[i],
		    "GET /read/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: "
		    "before\r\n" WORLD_KEY "\r\n");
		answer = world_read(fds[i]);
		ck_assert_int_eq(answer.status, 200);
		world_answer_clear(&answer);
	}
	world_signal(&world, STALLED, SIGSTOP);
	leave_during_stall(&world, fds, LEAVE_BY_CLOSE);
	world_destroy(&world);
}

/* The same for requests that waited for a place at a target. */
TEST(queued_callers_that_leave_during_a_stall_are_not_served)
{
	int fds[CALLERS];
	unsigned before;
	world_t world;

	world_create(&world);
	world_start(&world, STALLED, "a-1", true, true);
	for (int i = 0; i < CALLERS; i++) {
		fds[i] = world_connect(&world, STALLED, PORT_CALLERS);
		request_send(fds[i], i, "/read/slow-400");
	}
	g_usleep(QUEUED_AFTER_US);
	world_signal(&world, STALLED, SIGSTOP);
	for (int i = 0; i < CALLERS; i++)
		caller_leave(fds[i], LEAVE_BY_CLOSE);
	g_usleep(STALL_AFTER_LEAVING_US);
	before = arrivals(&world);
	ck_assert_uint_gt(before, 0);
	ck_assert_uint_lt(before, CALLERS);
	world_signal(&world, STALLED, SIGCONT);
	g_usleep(ARRIVAL_US);
	ck_assert_uint_eq(arrivals(&world), before);
	world_destroy(&world);
}

/* Guards against a request that is sent on in another region, likewise. */
TEST(callers_of_another_region_that_leave_during_a_stall_are_not_served)
{
	int fds[CALLERS];
	world_t world;

	/* All targets are in the region of the instance that stalls. */
	world_create(&world);
	world_start(&world, STALLED, "a-1", true, true);
	world_start(&world, 1, "b-1", true, true);
	for (int i = 0; i < CALLERS; i++)
		fds[i] = world_connect(&world, 1, PORT_CALLERS);
	world_signal(&world, STALLED, SIGSTOP);
	leave_during_stall(&world, fds, LEAVE_BY_CLOSE);
	world_destroy(&world);
}

TEST_MAIN("process_left")
