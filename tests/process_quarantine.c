#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_world.h"
#include "test.h"

/* Instances in zone a-1, where the targets are, and one in the other region. */
#define N_INSTANCES 3
#define FAR_INSTANCE 2

/* Targets of the service "pen" beside the two at the start. */
#define N_ADDED 3

#define SOUND_PART "5c1e07a2"
#define DEADLY_PART "91bd3f06"

/* Time for which a crashed target refuses connections. */
#define DOWN_MS 400

/* Time between requests, longer than the interval of gossip messages. */
#define GAP_MS 300

/* Time after the last crash in which all instances learn of it. */
#define SPREAD_MS 800

/* Most crashes by one part: two for each of the first two requests, which are
 * tried twice, and one for the third. */
#define CRASH_LIMIT 5

/* Time to the first probe, from the last crash. */
#define PROBE_MS 10000
#define PROBE_S 10.0

/* Fields of a request with these parts before its own one. */
#define PARTS_FIELDS WORLD_KEY "Prompt-Prefix: %s,%08x:250\r\n"

#define SOUND_PARTS SOUND_PART ":800"
#define DEADLY_PARTS SOUND_PART ":800," DEADLY_PART ":410"

static unsigned n_requests;

static void
sleep_ms(gulong ms)
{
	g_usleep(ms * 1000);
}

static void
world_begin(world_t *world)
{
	world_create(world);
	for (int i = 0; i < N_ADDED; i++)
		world_add_worker(world);
	for (int i = 0; i < N_INSTANCES; i++)
		world_start(
		    world, i, i == FAR_INSTANCE ? "b-1" : "a-1", true, true);
	/* Until they know each other. */
	sleep_ms(SPREAD_MS);
}

static void
deadly_part_set(const world_t *world, const char *part)
{
	for (int i = 0; i < world->n_workers; i++)
		fake_worker_set_deadly_part(world->workers[i], part, DOWN_MS);
}

static void
crash_all(const world_t *world)
{
	for (int i = 0; i < world->n_workers; i++)
		fake_worker_crash(world->workers[i], DOWN_MS);
}

static gint
time_compare(gconstpointer a, gconstpointer b)
{
	gint64 left = *(const gint64 *)a;
	gint64 right = *(const gint64 *)b;

	return left < right ? -1 : left > right;
}

/* Times of all crashes, in order. */
static GArray *
crash_times(const world_t *world)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(gint64));

	for (int i = 0; i < world->n_workers; i++) {
		g_autoptr(GArray) crashes =
		    fake_worker_crashes(world->workers[i]);

		if (crashes->len > 0)
			g_array_append_vals(times, crashes->data, crashes->len);
	}
	g_array_sort(times, time_compare);
	return times;
}

static unsigned
n_crashes(const world_t *world)
{
	g_autoptr(GArray) times = crash_times(world);

	return times->len;
}

/* Requests with the deadly part that reached a target. */
static unsigned
n_deadly(const world_t *world)
{
	unsigned n = 0;

	for (int i = 0; i < world->n_workers; i++)
		n += fake_worker_n_deadly(world->workers[i]);
	return n;
}

static unsigned
n_runs(const world_t *world)
{
	unsigned n = 0;

	for (int i = 0; i < world->n_workers; i++) {
		g_autoptr(GPtrArray) runs = fake_worker_runs(world->workers[i]);

		n += runs->len;
	}
	return n;
}

/* A request like no other, with these fields. body NULL: one of its own. */
static world_answer_t
send_fields(const world_t *world, int instance, const char *path,
    const char *fields, const char *body)
{
	unsigned n = n_requests++;
	g_autofree char *id = g_strdup_printf("q%u", n);
	g_autofree char *own_body = g_strdup_printf("request %u", n);

	return world_call(
	    world, instance, "POST", path, id, fields, body ? body : own_body);
}

/* The same with parts ID:TOKENS,... before a last one of its own. */
static world_answer_t
send_parts(
    const world_t *world, int instance, const char *path, const char *parts)
{
	g_autofree char *fields =
	    g_strdup_printf(PARTS_FIELDS, parts, n_requests + 1);

	return send_fields(world, instance, path, fields, NULL);
}

static int
status_of(
    const world_t *world, int instance, const char *path, const char *parts)
{
	world_answer_t answer = send_parts(world, instance, path, parts);
	int status = answer.status;

	world_answer_clear(&answer);
	return status;
}

static bool
is_held(const world_answer_t *answer)
{
	return answer->status == 503 &&
	       strstr(answer->body, "quarantined") != NULL;
}

/* Asserts a refusal that tells the caller all it may rely on. */
static void
expect_held(world_answer_t answer, int instance)
{
	const char *after = strstr(answer.head, "Retry-After: ");
	double retry_after = after ? atof(after + 13) : 0;

	ck_assert_msg(is_held(&answer), "instance %d: %d %s", instance,
	    answer.status, answer.body);
	ck_assert(answer.whole);
	ck_assert_str_eq(answer.body, "{\"error\":\"quarantined\"}");
	ck_assert_ptr_nonnull(strstr(answer.head, "Not-Executed: 1\r\n"));
	/* The caller has 8 s; a third of them would be 2.7 s. */
	ck_assert_msg(retry_after > 3 && retry_after <= PROBE_S,
	    "instance %d: Retry-After %.3f", instance, retry_after);
	world_answer_clear(&answer);
}

/* Asserts that each instance answers requests with these parts. */
static void
expect_answered(const world_t *world, const char *path, const char *parts)
{
	for (int i = 0; i < N_INSTANCES; i++) {
		world_answer_t answer = send_parts(world, i, path, parts);

		ck_assert_msg(answer.status == 200 && answer.whole,
		    "instance %d: %d %s", i, answer.status, answer.body);
		world_answer_clear(&answer);
	}
}

/* The same once crashed targets are in use again. */
static void
expect_answered_soon(const world_t *world, const char *path, const char *parts)
{
	for (int i = 0; i < N_INSTANCES; i++)
		WORLD_WAIT(status_of(world, i, path, parts) == 200, 4000);
	expect_answered(world, path, parts);
}

/*
 * Sends requests with the deadly part to the instances in turn, among sound
 * ones that share the other part, until one is refused as held.
 */
static void
crash_until_held(const world_t *world, const char *path)
{
	g_autoptr(GArray) times = NULL;
	bool held = false;

	for (int i = 0; i < 12 && !held; i++) {
		world_answer_t answer;
		unsigned reached;

		for (int j = 0; j < N_INSTANCES; j++)
			status_of(world, j, path, SOUND_PARTS);
		reached = n_deadly(world);
		answer = send_parts(world, i % N_INSTANCES, path, DEADLY_PARTS);
		ck_assert_ptr_nonnull(answer.head);
		if (strstr(answer.head, "Not-Executed") != NULL)
			ck_assert_uint_eq(n_deadly(world), reached);
		held = is_held(&answer);
		world_answer_clear(&answer);
		sleep_ms(GAP_MS);
	}
	times = crash_times(world);
	ck_assert_msg(held, "not held after %u crashes", times->len);
	ck_assert_uint_ge(times->len, 1);
	ck_assert_msg(
	    times->len <= CRASH_LIMIT, "held after %u crashes", times->len);
}

/* Guards against a part that goes on to crash targets, at instances that saw
 * its crashes and at others, and against callers told something else. */
static void
check_part_is_held(const char *path)
{
	world_t world;
	unsigned crashes;
	unsigned reached;

	world_begin(&world);
	deadly_part_set(&world, DEADLY_PART);
	expect_answered(&world, path, SOUND_PARTS);
	crash_until_held(&world, path);
	sleep_ms(SPREAD_MS);
	crashes = n_crashes(&world);
	reached = n_deadly(&world);
	ck_assert_uint_le(crashes, CRASH_LIMIT);
	for (int i = 0; i < 4 * N_INSTANCES; i++) {
		int instance = i % N_INSTANCES;

		expect_held(
		    send_parts(&world, instance, path, DEADLY_PARTS), instance);
	}
	expect_answered_soon(&world, path, SOUND_PARTS);
	ck_assert_uint_eq(n_crashes(&world), crashes);
	ck_assert_uint_eq(n_deadly(&world), reached);
	world_destroy(&world);
}

TEST(deadly_part_is_held_by_all_instances)
{
	check_part_is_held("/read/ok");
}

/* The same with a head of the answer that comes before the crash. */
TEST(deadly_part_of_streams_is_held_by_all_instances)
{
	check_part_is_held("/write/events-3-20");
}

#define N_FLOOD 60

typedef struct {
	const world_t *world;
	int instance;
	const char *path;
	char *fields;
	char *id;
	world_answer_t answer;
} call_t;

static gpointer
call_run(gpointer data)
{
	call_t *call = data;

	call->answer = world_call(call->world, call->instance, "POST",
	    call->path, call->id, call->fields, call->id);
	return NULL;
}

/* Starts a request with these parts. */
static GThread *
call_begin(const world_t *world, call_t *call, int instance, const char *path,
    const char *parts)
{
	*call = (call_t){.world = world, .instance = instance, .path = path};
	call->fields = g_strdup_printf(PARTS_FIELDS, parts, n_requests);
	call->id = g_strdup_printf("c%u", n_requests++);
	return g_thread_new("call", call_run, call);
}

static void
call_free(call_t *call)
{
	world_answer_clear(&call->answer);
	g_free(call->fields);
	g_free(call->id);
}

/*
 * Guards against crashes that go on for long after the part could be known:
 * requests come all the time, the deadly ones among sound ones, and overlap.
 */
TEST(deadly_part_is_held_soon_among_many_requests)
{
	world_t world;
	call_t calls[N_FLOOD];
	GThread *threads[N_FLOOD];
	g_autoptr(GArray) times = NULL;

	world_begin(&world);
	deadly_part_set(&world, DEADLY_PART);
	expect_answered(&world, "/read/ok", SOUND_PARTS);
	for (int i = 0; i < N_FLOOD; i++) {
		threads[i] = call_begin(&world, &calls[i], i % N_INSTANCES,
		    "/read/slow-40", i % 4 == 3 ? DEADLY_PARTS : SOUND_PARTS);
		sleep_ms(100);
	}
	for (int i = 0; i < N_FLOOD; i++) {
		g_thread_join(threads[i]);
		call_free(&calls[i]);
	}
	times = crash_times(&world);
	ck_assert_uint_ge(times->len, 1);
	for (guint i = 4; i < times->len; i++) {
		gint64 after_us = g_array_index(times, gint64, i) -
				  g_array_index(times, gint64, 3);

		ck_assert_msg(after_us <= 2000000,
		    "crash %u, %.1f s after the fourth", i + 1,
		    (double)after_us / 1e6);
	}
	ck_assert_msg(times->len <= CRASH_LIMIT, "%u crashes", times->len);
	expect_answered_soon(&world, "/read/ok", SOUND_PARTS);
	for (int i = 0; i < N_INSTANCES; i++) {
		world_answer_t answer =
		    send_parts(&world, i, "/read/ok", DEADLY_PARTS);

		ck_assert_msg(is_held(&answer), "instance %d: %d %s", i,
		    answer.status, answer.body);
		world_answer_clear(&answer);
	}
	world_destroy(&world);
}

/* Guards against a request without parts that callers repeat, each time with
 * the crash of a target, and against holding its path instead. */
TEST(whole_request_that_crashes_targets_is_held)
{
	static const char path[] = "/read/deadly-400";
	world_t world;
	unsigned crashes;
	bool held = false;

	world_begin(&world);
	for (int i = 0; i < 12 && !held; i++) {
		world_answer_t answer;

		answer = send_fields(
		    &world, i % N_INSTANCES, path, WORLD_KEY, "deadly 1");
		held = is_held(&answer);
		world_answer_clear(&answer);
		sleep_ms(GAP_MS);
	}
	ck_assert_msg(held, "not held after %u crashes", n_crashes(&world));
	sleep_ms(SPREAD_MS);
	crashes = n_crashes(&world);
	ck_assert_uint_ge(crashes, 1);
	ck_assert_msg(crashes <= CRASH_LIMIT, "held after %u crashes", crashes);
	for (int i = 0; i < 2 * N_INSTANCES; i++) {
		int instance = i % N_INSTANCES;

		expect_held(
		    send_fields(&world, instance, path, WORLD_KEY, "deadly 1"),
		    instance);
	}
	for (int i = 0; i < N_INSTANCES; i++) {
		world_answer_t answer;

		WORLD_WAIT(
		    status_of(&world, i, path, SOUND_PARTS) == 200, 4000);
		answer = send_fields(&world, i, path, WORLD_KEY, NULL);
		ck_assert_int_eq(answer.status, 200);
		world_answer_clear(&answer);
	}
	ck_assert_uint_eq(n_crashes(&world), crashes);
	world_destroy(&world);
}

/* Guards against a connection's end that is taken for a crash: the target
 * accepts connections all the time. */
TEST(targets_that_reset_connections_hold_nothing)
{
	world_t world;
	unsigned runs;

	world_begin(&world);
	runs = n_runs(&world);
	for (int i = 0; i < 10; i++) {
		world_answer_t answer = send_parts(
		    &world, i % N_INSTANCES, "/read/reset", DEADLY_PARTS);

		ck_assert_ptr_nonnull(answer.body);
		ck_assert_msg(strstr(answer.body, "quarantined") == NULL,
		    "request %d: %d %s", i, answer.status, answer.body);
		world_answer_clear(&answer);
		sleep_ms(GAP_MS);
	}
	ck_assert_uint_ge(n_runs(&world) - runs, 10);
	ck_assert_uint_eq(n_crashes(&world), 0);
	expect_answered_soon(&world, "/read/ok", DEADLY_PARTS);
	world_destroy(&world);
}

static bool
answers_without_parts(const world_t *world, int instance)
{
	world_answer_t answer =
	    send_fields(world, instance, "/read/ok", WORLD_KEY, NULL);
	bool answered = answer.status == 200;

	world_answer_clear(&answer);
	return answered;
}

#define N_FLIGHT 30

/* Sends the requests again, each as it was. */
static void
calls_repeat(call_t *calls, GThread **threads)
{
	for (int i = 0; i < N_FLIGHT; i++)
		threads[i] = g_thread_new("call", call_run, &calls[i]);
}

/* Waits for their ends; none may be refused as held. */
static void
calls_join(call_t *calls, GThread **threads, bool answered)
{
	for (int i = 0; i < N_FLIGHT; i++) {
		world_answer_t *answer = &calls[i].answer;

		g_thread_join(threads[i]);
		ck_assert_ptr_nonnull(answer->body);
		ck_assert_msg(strstr(answer->body, "quarantined") == NULL,
		    "request %d: %d", i, answer->status);
		if (answered)
			ck_assert_msg(answer->status == 200,
			    "request %d: %d %s", i, answer->status,
			    answer->body);
		world_answer_clear(answer);
	}
}

/* Waits until targets are used again. Without parts, as answers clear them. */
static void
targets_await(const world_t *world)
{
	for (int i = 0; i < N_INSTANCES; i++)
		WORLD_WAIT(answers_without_parts(world, i), 4000);
}

/*
 * Guards against counting the targets, instances or requests of a cut of power
 * instead of the cut itself. The requests come again and meet a second one.
 */
TEST(cut_of_power_holds_nothing)
{
	world_t world;
	call_t calls[N_FLIGHT];
	GThread *threads[N_FLIGHT];
	unsigned runs;

	world_begin(&world);
	for (int i = 0; i < N_FLIGHT; i++)
		threads[i] = call_begin(&world, &calls[i], i % N_INSTANCES,
		    "/read/slow-1200", DEADLY_PARTS);
	for (int cut = 1; cut <= 2; cut++) {
		sleep_ms(600);
		crash_all(&world);
		ck_assert_uint_eq(
		    n_crashes(&world), cut * (uintmax_t)world.n_workers);
		calls_join(calls, threads, false);
		targets_await(&world);
		runs = n_runs(&world);
		calls_repeat(calls, threads);
		sleep_ms(300);
		ck_assert_uint_ge(n_runs(&world) - runs, N_FLIGHT / 2);
	}
	calls_join(calls, threads, true);
	expect_answered_soon(&world, "/read/ok", DEADLY_PARTS);
	for (int i = 0; i < N_FLIGHT; i++)
		call_free(&calls[i]);
	world_destroy(&world);
}

static gint64
ms_since_last_crash(const world_t *world)
{
	g_autoptr(GArray) times = crash_times(world);

	return (g_get_monotonic_time() -
		   g_array_index(times, gint64, times->len - 1)) /
	       1000;
}

/* Guards against a quarantine that doesn't end, or ends only at the instance
 * that probed. */
TEST(part_that_is_sound_again_is_answered_by_all_instances)
{
	world_t world;
	int n_answered = 0;

	world_begin(&world);
	deadly_part_set(&world, DEADLY_PART);
	expect_answered(&world, "/read/ok", SOUND_PARTS);
	crash_until_held(&world, "/read/ok");
	sleep_ms(SPREAD_MS);
	deadly_part_set(&world, NULL);
	/* Every instance in turn, three times. */
	for (int i = 0; n_answered < 3 * N_INSTANCES; i++) {
		int status = status_of(
		    &world, i % N_INSTANCES, "/read/ok", DEADLY_PARTS);

		if (ms_since_last_crash(&world) < PROBE_MS - 1000)
			ck_assert_int_eq(status, 503);
		n_answered = status == 200 ? n_answered + 1 : 0;
		ck_assert_int_lt(ms_since_last_crash(&world), PROBE_MS + 5000);
		sleep_ms(100);
	}
	world_destroy(&world);
}

/* Guards against probes by several instances, or several times: a probe costs
 * one target, and the next one follows only after 40 s. */
TEST(failed_probe_crashes_one_target)
{
	world_t world;
	unsigned crashes;
	gint64 until;

	world_begin(&world);
	deadly_part_set(&world, DEADLY_PART);
	expect_answered(&world, "/read/ok", SOUND_PARTS);
	crash_until_held(&world, "/read/ok");
	sleep_ms(SPREAD_MS);
	crashes = n_crashes(&world);
	until = g_get_monotonic_time() + (gint64)(PROBE_MS + 8000) * 1000;
	for (int i = 0; g_get_monotonic_time() < until; i++) {
		ck_assert_int_ge(status_of(&world, i % N_INSTANCES, "/read/ok",
				     DEADLY_PARTS),
		    500);
		sleep_ms(50);
	}
	ck_assert_uint_eq(n_crashes(&world), crashes + 1);
	expect_answered(&world, "/read/ok", SOUND_PARTS);
	world_destroy(&world);
}

/* Guards against holding the last part, which is a request's own, or a part of
 * a list that can't be read, though crashes share it. */
TEST(last_part_and_malformed_parts_are_never_held)
{
	static const char *const lists[] = {DEADLY_PART ":410", DEADLY_PART,
	    DEADLY_PART ":410," SOUND_PART ":x", DEADLY_PART ":410,,:",
	    SOUND_PART ":800," DEADLY_PART ":410;" DEADLY_PART ":1", ""};
	world_t world;

	world_begin(&world);
	deadly_part_set(&world, DEADLY_PART);
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		g_autofree char *fields = g_strdup_printf(
		    WORLD_KEY "Prompt-Prefix: %s\r\n", lists[i]);

		/* Different requests that crash targets for other reasons. */
		for (int j = 0; j < 4; j++) {
			world_answer_t answer = send_fields(&world,
			    j % N_INSTANCES, "/read/crash-200", fields, NULL);

			ck_assert_msg(!is_held(&answer), "%s", lists[i]);
			world_answer_clear(&answer);
			sleep_ms(GAP_MS);
		}
		ck_assert_uint_ge(n_crashes(&world), (i + 1) * 3);
		for (int j = 0; j < N_INSTANCES; j++) {
			world_answer_t answer;

			WORLD_WAIT(status_of(&world, j, "/read/ok",
				       SOUND_PARTS) == 200,
			    4000);
			answer =
			    send_fields(&world, j, "/read/ok", fields, NULL);
			ck_assert_msg(answer.status == 200, "%s: %d %s",
			    lists[i], answer.status, answer.body);
			world_answer_clear(&answer);
		}
	}
	world_destroy(&world);
}

/* Returns -1 when the connection is refused. */
static int
target_connect(const world_t *world, int worker)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(world->worker_ports[worker]),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval limit = {.tv_sec = 5};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	ck_assert_int_eq(errno, ECONNREFUSED);
	close(fd);
	return -1;
}

static bool
target_accepts(const world_t *world, int worker)
{
	int fd = target_connect(world, worker);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/* Guards the other cases against a stand-in that crashes otherwise than they
 * say: it resets all connections, is away, and is back on its port. */
TEST(stand_in_crashes_and_comes_back)
{
	static const char deadly[] =
	    "GET /read/slow-100 HTTP/1.1\r\nHost: h\r\n"
	    "Prompt-Prefix: " DEADLY_PARTS ",00000001:2\r\n\r\n";
	static const char last[] = "GET /read/ok HTTP/1.1\r\nHost: h\r\n"
				   "Prompt-Prefix: " DEADLY_PARTS "\r\n\r\n";
	world_t world;
	world_answer_t answer;
	char byte;
	int idle;
	int busy;
	int fd;

	world_create(&world);
	deadly_part_set(&world, DEADLY_PART);
	idle = target_connect(&world, 0);
	busy = target_connect(&world, 0);
	world_send(busy, "GET /read/slow-3000 HTTP/1.1\r\nHost: h\r\n\r\n");
	fd = target_connect(&world, 0);
	world_send(fd, last);
	answer = world_read(fd);
	ck_assert_int_eq(answer.status, 200);
	world_answer_clear(&answer);
	ck_assert_uint_eq(n_deadly(&world), 0);
	world_send(fd, deadly);
	ck_assert_int_eq(recv(fd, &byte, 1, 0), -1);
	ck_assert_int_eq(errno, ECONNRESET);
	ck_assert(!target_accepts(&world, 0));
	ck_assert(target_accepts(&world, 1));
	ck_assert_int_eq(recv(idle, &byte, 1, 0), -1);
	ck_assert_int_eq(errno, ECONNRESET);
	ck_assert_int_eq(recv(busy, &byte, 1, 0), -1);
	ck_assert_int_eq(errno, ECONNRESET);
	ck_assert_uint_eq(n_crashes(&world), 1);
	ck_assert_uint_eq(n_deadly(&world), 1);
	/* A crash of a target that is down is none. */
	fake_worker_crash(world.workers[0], DOWN_MS);
	ck_assert_uint_eq(n_crashes(&world), 1);
	sleep_ms(DOWN_MS - 100);
	WORLD_WAIT(target_accepts(&world, 0), 1000);
	close(fd);
	fd = target_connect(&world, 0);
	world_send(fd, last);
	answer = world_read(fd);
	ck_assert_int_eq(answer.status, 200);
	world_answer_clear(&answer);
	close(fd);
	close(idle);
	close(busy);
	/* Ends while it is down. */
	fake_worker_crash(world.workers[0], 60000);
	ck_assert(!target_accepts(&world, 0));
	world_destroy(&world);
}

TEST_MAIN("quarantine")
