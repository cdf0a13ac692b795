#include <arpa/inet.h>
#include <check.h>
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

/* Reads to the end of the connection. Returns the bytes of the body. */
static gsize
body_length(int fd)
{
	g_autoptr(GString) text = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;
	const char *body;

	while ((n = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
		g_string_append_len(text, buffer, n);
		g_usleep(1000);
	}
	ck_assert_int_eq(n, 0);
	body = strstr(text->str, "\r\n\r\n");
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
