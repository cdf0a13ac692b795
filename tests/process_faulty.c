#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform_world.h"
#include "test.h"

/*
 * Targets that send what is no answer. Requests at sound targets beside them
 * are answered by the same instance.
 */

/* Sends a request that runs at a sound target while others fail. */
static int
beside_send(const world_t *world)
{
	int fd = world_connect(world, 0, PORT_CALLERS);

	world_send(fd, "GET /read/slow-600 HTTP/1.1\r\nHost: h\r\n"
		       "Request-Id: beside\r\n" WORLD_KEY "\r\n");
	return fd;
}

static void
beside_expect(int fd)
{
	world_answer_t answer = world_read(fd);

	ck_assert_int_eq(answer.status, 200);
	ck_assert(answer.whole);
	world_answer_clear(&answer);
	close(fd);
}

static void
order_expect(const world_t *world, const char *behaviour, int status)
{
	g_autofree char *path = g_strdup_printf("/order/%s", behaviour);
	world_answer_t answer =
	    world_call(world, 0, "POST", path, behaviour, WORLD_KEY, "mine");

	ck_assert_msg(answer.status == status, "%s: %d", path, answer.status);
	if (status == 200)
		ck_assert(strstr(answer.body, "mine") != NULL);
	ck_assert_ptr_null(strstr(answer.body, "hint"));
	world_answer_clear(&answer);
}

/*
 * Guards against an instance that ends, or passes on the body of an interim
 * answer as that of the answer.
 */
TEST(interim_answer_with_a_body_harms_no_other_request)
{
	static const struct {
		const char *behaviour;
		int status;
	} cases[] = {
	    {"interim-103", 200},
	    {"interim-100", 200},
	    {"interim-103-length", 502},
	    {"interim-103-chunks", 502},
	    {"interim-100-length", 502},
	    {"interim-101", 502},
	    {"interim-101-length", 502},
	    {"trailer-103", 200},
	};
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int beside = beside_send(&world);

		order_expect(&world, cases[i].behaviour, cases[i].status);
		/* The connection may be used again. */
		order_expect(&world, "ok", 200);
		beside_expect(beside);
	}
	world_destroy(&world);
}

/* Streams at a time. */
#define N_ENDLESS 20

/* What a target may get rid of: an event, and what the sockets hold. */
#define TAKEN_LIMIT (16u << 20)

/* An instance may use this much memory on the users' machines. */
#define MEMORY_LIMIT_KB (260u << 10)

/* Resident memory of the instance, or 0 in a build that pads its memory. */
static unsigned
memory_kb(const world_t *world)
{
#ifdef __SANITIZE_ADDRESS__
	return 0;
#else
	g_autofree char *path =
	    g_strdup_printf("/proc/%d/status", (int)world->pids[0]);
	g_autofree char *text = NULL;
	const char *line;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmHWM:");
	ck_assert_ptr_nonnull(line);
	return (unsigned)strtoul(line + strlen("VmHWM:"), NULL, 10);
#endif
}

/* No target may get rid of more of one answer than the limit. */
static void
taken_expect(const world_t *world)
{
	for (int i = 0; i < world->n_workers; i++) {
		g_autoptr(GPtrArray) runs = fake_worker_runs(world->workers[i]);

		for (guint j = 0; j < runs->len; j++) {
			const worker_run_t *run = g_ptr_array_index(runs, j);

			ck_assert_msg(run->endless_sent < TAKEN_LIMIT,
			    "%s: %zu bytes", run->path, run->endless_sent);
		}
	}
}

static void
endless_check(const char *behaviour)
{
	world_t world;
	int fds[N_ENDLESS];
	int beside;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	for (int i = 0; i < N_ENDLESS; i++) {
		g_autofree char *text = g_strdup_printf(
		    "POST /write/%s HTTP/1.1\r\nHost: h\r\n"
		    "Request-Id: e%d\r\nContent-Length: 2\r\n" WORLD_KEY
		    "\r\n{}",
		    behaviour, i);

		fds[i] = world_connect(&world, 0, PORT_CALLERS);
		world_send(fds[i], text);
	}
	beside = world_connect(&world, 0, PORT_CALLERS);
	world_send(beside,
	    "POST /order/slow-600 HTTP/1.1\r\nHost: h\r\n"
	    "Request-Id: beside\r\nContent-Length: 0\r\n" WORLD_KEY "\r\n");
	beside_expect(beside);
	for (int i = 0; i < N_ENDLESS; i++) {
		world_answer_t answer = world_read(fds[i]);

		ck_assert_msg(!answer.whole || answer.status >= 502,
		    "%s: %d, whole", behaviour, answer.status);
		world_answer_clear(&answer);
		close(fds[i]);
	}
	taken_expect(&world);
	ck_assert_msg(memory_kb(&world) < MEMORY_LIMIT_KB, "%s: %u kB",
	    behaviour, memory_kb(&world));
	order_expect(&world, "ok", 200);
	world_destroy(&world);
}

/*
 * Guards against an instance that keeps an event without end until it is killed
 * for its memory, with the requests of all other callers.
 */
TEST(event_without_end_harms_no_other_request)
{
	static const char *const behaviours[] = {"endless-close-first",
	    "endless-close-line", "endless-close-field",
	    "endless-close-comment", "endless-chunks-line",
	    "endless-chunks-comment"};

	for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++)
		endless_check(behaviours[i]);
}

/* Guards against a bound on events that cuts sound ones. */
TEST(large_event_is_passed_on_whole)
{
	static const size_t sizes_kb[] = {1, 64, 300, 1000};
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	for (size_t i = 0; i < 4 * G_N_ELEMENTS(sizes_kb); i++) {
		size_t kb = sizes_kb[i % G_N_ELEMENTS(sizes_kb)];
		g_autofree char *path = g_strdup_printf("/write/event-%zu", kb);
		g_autofree char *id = g_strdup_printf("l%zu", i);
		world_answer_t answer =
		    world_call(&world, 0, "POST", path, id, WORLD_KEY, "{}");

		ck_assert_int_eq(answer.status, 200);
		ck_assert(answer.whole);
		ck_assert_uint_eq(strlen(answer.body),
		    kb * 1024 + strlen("id: 1\ndata: \n\n"));
		world_answer_clear(&answer);
	}
	world_destroy(&world);
}

/* Bodies that the sockets hold, hold in part, and don't hold. */
static const int body_sizes[] = {64 << 10, 4 << 20, 12 << 20};

/*
 * Guards against a part of an answer without length as a whole success: the
 * target resets the connection while the request is still being sent.
 */
TEST(answer_reset_during_the_request_is_not_whole)
{
	static const char *const paths[] = {"/order/early-reset",
	    "/order/early-old", "/write/early-reset-events",
	    "/write/early-old-events"};
	int longest = body_sizes[G_N_ELEMENTS(body_sizes) - 1];
	world_t world;

	world_create(&world);
	world_configure_body(&world, 4, longest + 1);
	world_start(&world, 0, "a-1", true, true);
	for (size_t i = 0; i < 3 * G_N_ELEMENTS(body_sizes); i++) {
		g_autofree char *body = g_strnfill(
		    (gsize)body_sizes[i % G_N_ELEMENTS(body_sizes)], 'b');
		g_autofree char *whole = g_strdup_printf("c%zu", i);
		world_answer_t answer;

		for (size_t j = 0; j < G_N_ELEMENTS(paths); j++) {
			g_autofree char *id = g_strdup_printf("r%zu-%zu", i, j);

			answer = world_call(
			    &world, 0, "POST", paths[j], id, WORLD_KEY, body);
			ck_assert_msg(!answer.whole || answer.status == 502,
			    "%s: %d with %zu bytes", paths[j], answer.status,
			    strlen(answer.body));
			world_answer_clear(&answer);
		}
		answer = world_call(&world, 0, "POST", "/order/early-close",
		    whole, WORLD_KEY, body);
		ck_assert_int_eq(answer.status, 200);
		ck_assert(answer.whole);
		ck_assert_uint_eq(strlen(answer.body), 30000);
		world_answer_clear(&answer);
	}
	world_destroy(&world);
}

/* Guards against an answer whose status is none as that of a target. */
TEST(answer_without_a_valid_status_is_not_passed_on)
{
	static const char *const bad[] = {"000", "000 OK", "099", "600 OK",
	    "1000", "20", "2x0", "0200 OK", "none", "-200", "+200"};
	world_t world;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autofree char *name = g_strdup_printf("status-%s", bad[i]);

		if (strchr(bad[i], ' ') != NULL)
			g_strdelimit(name, " ", '_');
		order_expect(&world, name, 502);
		order_expect(&world, "ok", 200);
	}
	order_expect(&world, "status-200_OK", 200);
	world_destroy(&world);
}

TEST_MAIN("process_faulty")
