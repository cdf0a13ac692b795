#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/changelog.h"
#include "platform_world.h"
#include "test.h"

/*
 * What an instance holds while the configuration changes in quick succession
 * and is about as large as a value of the store can be.
 */

#define CONFIG_BYTES ((size_t)900 << 10)
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
	WORLD_WAIT(world_gauge(&world, 0, "memory_bytes{part=\"replica\"} ") >
		       CONFIG_BYTES,
	    8000);
	ck_assert_uint_ge(versions_read(&world, 0), 10);
	ck_assert_uint_le(
	    world_gauge(&world, 0, "memory_bytes{part=\"replica\"} "), bound);
	world_destroy(&world);
}

/*
 * Readers that don't read what they ask for. The kernel takes a few MB for each
 * connection, so that each reader asks several times.
 */
#define READERS 60
#define READER_CALLS 8
#define READER_BUFFER 4096
#define READER_WAIT_MS 1500
#define READER_STEP_US 150000

static int
reader_connect(const world_t *world, const char *call)
{
	g_autofree char *request =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: store\r\n\r\n", call);
	int buffer = READER_BUFFER;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	ck_assert(world_connect_socket(world, 0, PORT_PEER, fd));
	for (int i = 0; i < READER_CALLS; i++)
		world_send(fd, request);
	return fd;
}

/* Half of the readers watch, the others read all keys or the document. */
static void
readers_connect(const world_t *world, int fds[READERS])
{
	g_autofree char *watch = g_strdup_printf(
	    "/kv-watch?prefix=op/&after=%" G_GINT64_FORMAT "&wait_ms=%d",
	    fake_store_revision(world->store), READER_WAIT_MS);
	const char *calls[] = {
	    watch, "/kv-range?prefix=op/", watch, "/cyclamensail/config"};

	for (int i = 0; i < READERS; i++)
		fds[i] = reader_connect(world, calls[i % G_N_ELEMENTS(calls)]);
}

/*
 * Guards against a relay that ends as its readers, with slow links, are
 * answered with a large configuration all at once.
 */
TEST(answers_to_slow_readers_are_bounded)
{
	g_autofree char *routes = routes_of_size(CONFIG_BYTES);
	/* A sixteenth of 256 MB, and the answer that exceeds it. */
	size_t bound = (16 << 20) + 2 * CONFIG_BYTES;
	size_t most = 0;
	int fds[READERS];
	world_t world;

	world_create(&world);
	world_configure(&world, 10, "key-1", routes);
	world_start(&world, 0, "a-1", true, true);
	readers_connect(&world, fds);
	for (int i = 1; i <= 20; i++) {
		size_t output;

		world_configure(&world, 10 + i, "key-1", routes);
		output =
		    world_gauge(&world, 0, "memory_bytes{part=\"output\"} ");
		ck_assert_uint_le(output, bound);
		most = MAX(most, output);
		g_usleep(READER_STEP_US);
	}
	/* Some were answered. */
	ck_assert_uint_ge(most, CONFIG_BYTES);
	for (int i = 0; i < READERS; i++)
		close(fds[i]);
	WORLD_WAIT(world_gauge(
		       &world, 0, "memory_bytes{part=\"relay_answers\"} ") == 0,
	    8000);
	world_destroy(&world);
}

/* Streams that last longer than the test, each begun under another version. */
#define STREAMS 16

static int
stream_open(const world_t *world, int number)
{
	g_autofree char *request = g_strdup_printf(
	    "POST /write/events-60-100 HTTP/1.1\r\nHost: h\r\n"
	    "Request-Id: stream-%d\r\n" WORLD_KEY "Content-Length: 2\r\n\r\n{}",
	    number);
	int fd = world_connect(world, 0, PORT_CALLERS);
	char head[16];

	ck_assert_int_ge(fd, 0);
	world_send(fd, request);
	ck_assert_int_eq(recv(fd, head, sizeof(head), MSG_WAITALL), 16);
	ck_assert_int_eq(strncmp(head, "HTTP/1.1 200 OK", 15), 0);
	return fd;
}

/*
 * Guards against streams that keep the whole configuration under which each of
 * them began, whose tables take more than its text. The sanitizers' allocator
 * has no figures of the heap, so that only the plain build checks the bound.
 */
TEST(streams_keep_no_old_configuration)
{
	g_autofree char *routes = routes_of_size(CONFIG_BYTES);
	int fds[STREAMS];
	world_t world;
	size_t before;

	world_create(&world);
	world_configure(&world, 10, "key-1", routes);
	world_start(&world, 0, "a-1", true, true);
	fds[0] = stream_open(&world, 0);
	before = world_gauge(&world, 0, "heap_bytes{state=\"used\"} ");
	for (int i = 1; i < STREAMS; i++) {
		world_configure(&world, 10 + i, "key-1", routes);
		WORLD_WAIT(versions_read(&world, 0) == 1u + (unsigned)i, 4000);
		fds[i] = stream_open(&world, i);
	}
	ck_assert_uint_le(world_gauge(&world, 0, "heap_bytes{state=\"used\"} "),
	    before + 2 * CONFIG_BYTES);
	for (int i = 0; i < STREAMS; i++)
		close(fds[i]);
	world_destroy(&world);
}

TEST_MAIN("process_memory")
