#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_world.h"
#include "test.h"

/* Idle timeout of the default configuration. */
#define IDLE_MS 5000

#define READ_REQUEST(id)                                                       \
	"GET /read/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: " id "\r\n" WORLD_KEY \
	"\r\n"

static void
sleep_ms(gulong ms)
{
	g_usleep(ms * 1000);
}

static void
answer_expect(int fd, int status)
{
	world_answer_t answer = world_read(fd);

	ck_assert_int_eq(answer.status, status);
	ck_assert(answer.whole);
	world_answer_clear(&answer);
}

/* Returns a connection on which one request has just been answered. */
static int
idle_connection(const world_t *world)
{
	int fd = world_connect(world, 0, PORT_CALLERS);

	world_send(fd, READ_REQUEST("i1"));
	answer_expect(fd, 200);
	return fd;
}

/*
 * Guards against an idle timer that is handled before the request which came
 * earlier: while the instance stands still, the request arrives and then the
 * idle timeout passes.
 */
TEST(request_before_the_idle_timeout_is_answered_after_a_stall)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = idle_connection(&world);
	sleep_ms(IDLE_MS - 600);
	world_signal(&world, 0, SIGSTOP);
	world_send(fd, READ_REQUEST("i2"));
	sleep_ms(3000);
	world_signal(&world, 0, SIGCONT);
	answer_expect(fd, 200);
	close(fd);
	world_destroy(&world);
}

/*
 * Guards against losing a request that is on its way when the connection
 * reaches its idle timeout: callers in another region hear of a close 80 ms
 * later. Many connections are used at times around the timeout.
 */
TEST(request_at_the_idle_timeout_is_answered)
{
	enum { N = 9 };
	world_t world;
	int fds[N];
	gint64 idle_since;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	for (int i = 0; i < N; i++)
		fds[i] = idle_connection(&world);
	idle_since = g_get_monotonic_time();
	for (int i = 0; i < N; i++) {
		gint64 at = idle_since + (gint64)(IDLE_MS - 40 + i * 20) * 1000;

		g_usleep((gulong)MAX(0, at - g_get_monotonic_time()));
		world_send(fds[i], READ_REQUEST("i3"));
	}
	for (int i = 0; i < N; i++) {
		answer_expect(fds[i], 200);
		close(fds[i]);
	}
	world_destroy(&world);
}

/* Guards against a timer of the old limit after the idle timeout was raised. */
TEST(raised_idle_timeout_holds_for_idle_connections)
{
	world_t world;
	int fd;

	world_create(&world);
	world_configure_limits(&world, 4, 1000);
	world_start(&world, 0, "a-1", true, true);
	fd = idle_connection(&world);
	world_configure_limits(&world, 5, IDLE_MS);
	sleep_ms(3500);
	world_send(fd, READ_REQUEST("i4"));
	answer_expect(fd, 200);
	close(fd);
	world_destroy(&world);
}

/* Guards against idle connections that are never closed. */
TEST(connection_is_closed_after_the_idle_timeout)
{
	world_t world;
	int fd;
	char byte;
	gint64 idle_since;

	world_create(&world);
	world_configure_limits(&world, 4, 1000);
	world_start(&world, 0, "a-1", true, true);
	fd = idle_connection(&world);
	idle_since = g_get_monotonic_time();
	ck_assert_int_eq(recv(fd, &byte, 1, 0), 0);
	idle_since = g_get_monotonic_time() - idle_since;
	ck_assert_int_ge(idle_since / 1000, 1000);
	ck_assert_int_le(idle_since / 1000, 4000);
	close(fd);
	world_destroy(&world);
}

/* Guards against callers that can't know how long a connection may be idle:
 * they reuse it until it is closed, and their request crosses the close. */
TEST(answers_announce_the_idle_timeout)
{
	world_t world;
	world_answer_t answer;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	answer =
	    world_call(&world, 0, "GET", "/read/ok", "k1", WORLD_KEY, NULL);
	ck_assert_ptr_nonnull(strstr(answer.head, "Keep-Alive: timeout=5\r\n"));
	world_answer_clear(&answer);
	answer = world_call(&world, 0, "GET", "/read/ok", "k2",
	    WORLD_KEY "Connection: close\r\n", NULL);
	ck_assert_ptr_null(strstr(answer.head, "Keep-Alive"));
	ck_assert_ptr_nonnull(strstr(answer.head, "Connection: close\r\n"));
	world_answer_clear(&answer);
	world_destroy(&world);
}

/* Guards against closing sooner than was announced, after the idle timeout was
 * lowered while the answer was sent. */
TEST(announced_idle_timeout_is_kept_when_it_is_lowered)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = world_connect(&world, 0, PORT_CALLERS);
	world_send(fd,
	    "POST /write/events-10-100 HTTP/1.1\r\nHost: h\r\n"
	    "Request-Id: l1\r\n" WORLD_KEY "Content-Length: 2\r\n\r\n{}");
	sleep_ms(300);
	world_configure_limits(&world, 4, 500);
	answer_expect(fd, 200);
	sleep_ms(3000);
	world_send(fd, READ_REQUEST("l2"));
	answer_expect(fd, 200);
	/* The answer announced the new one, of at least 1 s. */
	sleep_ms(900);
	world_send(fd, READ_REQUEST("l3"));
	answer_expect(fd, 200);
	close(fd);
	world_destroy(&world);
}

/* Guards against a connection that blank lines keep open. */
TEST(blank_lines_do_not_extend_the_idle_timeout)
{
	world_t world;
	char byte;
	int fd;
	int n = 0;

	world_create(&world);
	world_configure_limits(&world, 4, 1000);
	world_start(&world, 0, "a-1", true, true);
	fd = idle_connection(&world);
	while (recv(fd, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN) {
		ck_assert_int_lt(n++, 16);
		world_send(fd, "\r\n");
		sleep_ms(250);
	}
	close(fd);
	world_destroy(&world);
}

#define SHORT_DEADLINE                    \
	"Authorization: Bearer key-1\r\n" \
	"Request-Deadline: 2000\r\nX-Stall: 1\r\n"

/*
 * Guards against timers that count from a clock read before a stall: a request
 * of 1 s and a stream of 1.5 s were ended 1.2 s before their deadline, and the
 * connection to a target counted as failed.
 */
TEST(request_read_after_a_stall_has_its_whole_deadline)
{
	world_t world;
	world_answer_t answer;

	world_create(&world);
	world_start_stalling(&world, 0);
	answer = world_call(
	    &world, 0, "GET", "/read/slow-1000", "d1", SHORT_DEADLINE, NULL);
	ck_assert_int_eq(answer.status, 200);
	world_answer_clear(&answer);
	answer = world_call(&world, 0, "POST", "/write/events-15-100", "d2",
	    SHORT_DEADLINE, "{}");
	ck_assert_int_eq(answer.status, 200);
	ck_assert(answer.whole);
	world_answer_clear(&answer);
	for (int i = 0; i < WORLD_WORKERS; i++)
		ck_assert_uint_le(fake_worker_count(world.workers[i], "d1"), 1);
	world_destroy(&world);
}

/* Guards against ending a request at its deadline while its answer has come and
 * is unread, as after a stall of the instance. */
TEST(answer_that_came_before_the_deadline_is_delivered_after_a_stall)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = world_connect(&world, 0, PORT_CALLERS);
	world_send(fd,
	    "GET /read/slow-600 HTTP/1.1\r\nHost: h\r\nRequest-Id: f1\r\n"
	    "Authorization: Bearer key-1\r\nRequest-Deadline: 1500\r\n\r\n");
	sleep_ms(300);
	world_signal(&world, 0, SIGSTOP);
	sleep_ms(2000);
	world_signal(&world, 0, SIGCONT);
	answer_expect(fd, 200);
	close(fd);
	world_destroy(&world);
}

#define LARGE_KB 300UL

/*
 * Connects with buffers that are too small for the answer, so that its end
 * stays with the instance, and asks for it.
 */
static int
slow_reader(const world_t *world, const char *field)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int buffer = 4096;
	int segment = 536;
	struct timeval limit = {.tv_sec = 15};
	g_autofree char *request =
	    g_strdup_printf("GET /read/large-%lu HTTP/1.1\r\nHost: h\r\n"
			    "Request-Id: s1\r\n%s" WORLD_KEY "\r\n",
		LARGE_KB, field);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	ck_assert(world_connect_socket(world, 0, PORT_CALLERS, fd));
	world_send(fd, request);
	return fd;
}

/* Reads to the end of the connection. */
static GString *
rest_read(int fd)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
		g_string_append_len(text, buffer, n);
		g_usleep(1000);
	}
	ck_assert_int_eq(n, 0);
	return text;
}

static gsize
rest_length(int fd)
{
	g_autoptr(GString) text = rest_read(fd);

	return text->len;
}

/* Reads to the end of the connection. Returns the bytes of the body. */
static gsize
body_length(int fd)
{
	g_autoptr(GString) text = rest_read(fd);
	const char *body = strstr(text->str, "\r\n\r\n");

	ck_assert_ptr_nonnull(body);
	return text->len - (gsize)(body + 4 - text->str);
}

/* Guards against closing a connection 1 s after the end of an answer that its
 * caller is still reading. */
TEST(slow_reader_gets_the_whole_answer_before_the_close)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = slow_reader(&world, "Connection: close\r\n");
	sleep_ms(2000);
	ck_assert_uint_eq(body_length(fd), LARGE_KB * 1024);
	close(fd);
	world_destroy(&world);
}

/* Guards against counting the time in which a caller reads its answer as idle:
 * it sends its next request at once, 3 s after the instance sent the answer. */
TEST(slow_reader_may_reuse_its_connection)
{
	world_t world;
	int fd;
	gsize n = 0;
	char buffer[4096];

	world_create(&world);
	world_configure_limits(&world, 4, 1000);
	world_start(&world, 0, "a-1", true, true);
	fd = slow_reader(&world, "");
	sleep_ms(1500);
	while (n < LARGE_KB * 1024) {
		ssize_t got = recv(fd, buffer, sizeof(buffer), 0);

		ck_assert_int_gt(got, 0);
		n += (gsize)got;
		sleep_ms(20);
	}
	/* What is left of the head and the body. */
	sleep_ms(300);
	while (recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0)
		;
	world_send(fd, READ_REQUEST("s2"));
	answer_expect(fd, 200);
	close(fd);
	world_destroy(&world);
}

/* Guards against cutting the answer of a caller that pauses for some seconds,
 * or because the instance stood still while it read. */
TEST(answer_survives_a_pause_of_its_reader_or_of_the_instance)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = slow_reader(&world, "Connection: close\r\n");
	sleep_ms(6000);
	ck_assert_uint_eq(body_length(fd), LARGE_KB * 1024);
	close(fd);
	fd = slow_reader(&world, "Connection: close\r\n");
	sleep_ms(300);
	world_signal(&world, 0, SIGSTOP);
	for (int i = 0; i < 110; i++) {
		char buffer[4096];

		while (recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0)
			;
		sleep_ms(100);
	}
	world_signal(&world, 0, SIGCONT);
	/* To the end in order; a connection that was given up is reset. */
	ck_assert_uint_gt(rest_length(fd), LARGE_KB * 1024 / 2);
	close(fd);
	world_destroy(&world);
}

/* Guards against a planned stop that cuts an answer which its caller is still
 * reading: 3 s after SIGTERM all requests have ended for the instance. */
TEST(slow_reader_gets_the_whole_answer_of_a_stopping_instance)
{
	static const char *const fields[] = {"", "Connection: close\r\n"};
	world_t world;

	world_create(&world);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		int fd;

		world_start(&world, 0, "a-1", true, true);
		world_start(&world, 1, "a-1", true, true);
		sleep_ms(600);
		fd = slow_reader(&world, fields[i]);
		sleep_ms(300);
		world_signal(&world, 0, SIGTERM);
		sleep_ms(3600);
		ck_assert_uint_eq(body_length(fd), LARGE_KB * 1024);
		close(fd);
		ck_assert_int_eq(world_wait_end(&world, 0, 4000), 0);
		world_signal(&world, 1, SIGKILL);
		ck_assert_int_eq(world_wait_end(&world, 1, 2000), -1);
	}
	world_destroy(&world);
}

/* Guards against a planned stop that drops a request which came behind one that
 * is being answered. */
TEST(stopping_instance_answers_a_pipelined_request)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = world_connect(&world, 0, PORT_CALLERS);
	world_send(fd, "GET /read/slow-1000 HTTP/1.1\r\nHost: h\r\nRequest-Id: "
		       "p1\r\n" WORLD_KEY "\r\n" READ_REQUEST("p2"));
	sleep_ms(300);
	world_signal(&world, 0, SIGTERM);
	answer_expect(fd, 200);
	answer_expect(fd, 200);
	close(fd);
	ck_assert_int_eq(world_wait_end(&world, 0, 6000), 0);
	world_destroy(&world);
}

/* Guards against an exit that drops a request to the directory which came while
 * the instance stood still. */
TEST(exiting_instance_answers_the_directory)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = world_connect(&world, 0, PORT_DIRECTORY);
	sleep_ms(200);
	world_signal(&world, 0, SIGTERM);
	sleep_ms(1500);
	world_signal(&world, 0, SIGSTOP);
	world_send(
	    fd, "GET /resolve?name=h&region=a HTTP/1.1\r\nHost: h\r\n\r\n");
	sleep_ms(3000);
	world_signal(&world, 0, SIGCONT);
	answer_expect(fd, 200);
	close(fd);
	ck_assert_int_eq(world_wait_end(&world, 0, 4000), 0);
	world_destroy(&world);
}

/* Guards against connections that are being closed, and count nowhere, taking
 * all descriptors: their callers don't read, and new ones are served. */
TEST(callers_that_read_nothing_give_way_to_new_ones)
{
	enum { LIMIT = 32, N = 3 * LIMIT };
	world_t world;
	world_answer_t answer;
	int fds[N];

	world_create(&world);
	world.descriptor_limit = 264; /* half of 64 are for connections */
	world_start(&world, 0, "a-1", true, true);
	for (int i = 0; i < N; i++) {
		fds[i] = slow_reader(&world, "Connection: close\r\n");
		sleep_ms(10);
	}
	sleep_ms(500);
	answer =
	    world_call(&world, 0, "GET", "/read/ok", "n1", WORLD_KEY, NULL);
	ck_assert_int_eq(answer.status, 200);
	world_answer_clear(&answer);
	answer = world_get(&world, 0, PORT_METRICS, "/metrics");
	ck_assert_ptr_nonnull(
	    strstr(answer.body, "output_discarded{reason=\"limit\"}"));
	world_answer_clear(&answer);
	for (int i = 0; i < N; i++)
		close(fds[i]);
	world_destroy(&world);
}

/* Guards against an instance that never ends because a caller reads nothing. */
TEST(stopping_instance_ends_beside_a_caller_that_reads_nothing)
{
	world_t world;
	int fd;

	world_create(&world);
	world_start(&world, 0, "a-1", true, true);
	fd = slow_reader(&world, "");
	sleep_ms(300);
	world_signal(&world, 0, SIGTERM);
	ck_assert_int_eq(world_wait_end(&world, 0, 6000), 0);
	close(fd);
	world_destroy(&world);
}

TEST_MAIN("close")
