#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/packing.h"
#include "platform_world.h"
#include "test.h"

/*
 * Configurations on their way between instances. In some cases the test plays
 * instance 0, the seed: it reports a version and sends the document.
 */

#define SEED 0
#define INSTANCE 1
#define CONFIG_PATH "/cyclamensail/config"
#define DOCUMENT_LIMIT ((size_t)2 << 20)

/* Time in which what the operator writes has to be in force everywhere. */
#define CONFIG_MS 5000

/* Time in which one instance applies it, and in which one starts. */
#define APPLY_US 1000000
#define START_MS 10000

#define REPLICA "memory_bytes{part=\"replica\"} "
#define N_ROUTES 1400

static char *
routes(int moved)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < N_ROUTES; i++)
		g_string_append_printf(text,
		    ",{\"name\":\"x%d\",\"host\":\"h\",\"prefix\":\"/x%d/\","
		    "\"route_type\":\"safe\",\"timeout_ms\":4000,\"service\":"
		    "\"%s\",\"target_latency_ms\":500,\"max_attempts\":2}",
		    i * 7919, i * 7919, i == moved ? "desk" : "pen");
	return g_string_free(text, FALSE);
}

static void
configure(const world_t *world, int version, int moved)
{
	g_autofree char *extra = routes(moved);

	world_configure((world_t *)world, version, "key-1", extra);
}

/* Reads what an instance sends to others, as bytes. */
static GBytes *
fetch(const world_t *world, const char *fields, char **head)
{
	g_autofree char *request = g_strdup_printf(
	    "GET " CONFIG_PATH " HTTP/1.1\r\nHost: instance\r\n%s\r\n", fields);
	g_autoptr(GByteArray) answer = g_byte_array_new();
	uint8_t bytes[4096];
	ssize_t n;
	char *end;
	int fd = world_connect(world, INSTANCE, PORT_PEER);

	world_send(fd, request);
	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		g_byte_array_append(answer, bytes, (guint)n);
	close(fd);
	end = g_strstr_len((char *)answer->data, answer->len, "\r\n\r\n");
	ck_assert_ptr_nonnull(end);
	end += 4;
	g_free(*head);
	*head = g_strndup(
	    (char *)answer->data, (gsize)(end - (char *)answer->data));
	return g_bytes_new(
	    end, answer->len - (gsize)(end - (char *)answer->data));
}

static GBytes *
unpack(GBytes *frame, GBytes *base)
{
	gsize len;
	const void *data = g_bytes_get_data(frame, &len);
	GBytes *document =
	    packing_unpack(data, len, base, DOCUMENT_LIMIT, NULL);

	ck_assert_ptr_nonnull(document);
	return document;
}

/*
 * Guards against a version that moves one of 1,400 routes taking as long on a
 * slow link as one that adds them. An instance of the build before asks for
 * nothing special, and gets the document.
 */
TEST(change_of_one_route_is_sent_as_little_more)
{
	g_autofree char *head = NULL;
	g_autofree char *fields = NULL;
	g_autoptr(GBytes) whole = NULL;
	g_autoptr(GBytes) before = NULL;
	g_autoptr(GBytes) changes = NULL;
	g_autoptr(GBytes) after = NULL;
	g_autoptr(GBytes) plain = NULL;
	char digest[PACKING_DIGEST_BYTES];
	world_t world;

	world_create(&world);
	configure(&world, 4, -1);
	world_start(&world, INSTANCE, "a-1", true, true);
	WORLD_WAIT(world_status(&world, INSTANCE, "/x0/ok") == 200, CONFIG_MS);
	whole = fetch(&world, "Accept-Encoding: zstd\r\n", &head);
	ck_assert_ptr_nonnull(strstr(head, "Content-Encoding: zstd\r\n"));
	before = unpack(whole, NULL);
	ck_assert_uint_lt(
	    g_bytes_get_size(whole), g_bytes_get_size(before) / 4);
	configure(&world, 5, 700);
	packing_digest(before, digest);
	fields = g_strdup_printf(
	    "Accept-Encoding: zstd\r\nBase-Digest: %s\r\n", digest);
	g_usleep(APPLY_US);
	changes = fetch(&world, fields, &head);
	ck_assert_ptr_nonnull(strstr(head, digest));
	ck_assert_uint_lt(g_bytes_get_size(changes), 1000);
	after = unpack(changes, before);
	plain = fetch(&world, "", &head);
	ck_assert_ptr_null(strstr(head, "Content-Encoding"));
	ck_assert(g_bytes_equal(after, plain));
	ck_assert(!g_bytes_equal(after, before));
	world_destroy(&world);
}

/*
 * Guards against a relay's compressed values that a reader can't restore: it
 * would read all keys again without end, and its own readers would get nothing.
 */
TEST(reader_of_a_relay_holds_what_the_store_has)
{
	world_t world;

	world_create(&world);
	configure(&world, 4, -1);
	world_start(&world, 0, "a-1", true, true);
	world_start(&world, 1, "a-1", false, false);
	WORLD_WAIT(world_is_ready(&world, 1), START_MS);
	ck_assert_uint_gt(world_gauge(&world, 0, REPLICA), 200000);
	ck_assert_uint_eq(
	    world_gauge(&world, 1, REPLICA), world_gauge(&world, 0, REPLICA));
	configure(&world, 10, 700);
	WORLD_WAIT(world_status(&world, 1, "/x0/ok") == 200 &&
		       world_gauge(&world, 1, REPLICA) >
			   world_gauge(&world, 0, REPLICA) - 9,
	    CONFIG_MS);
	world_configure(&world, 11, "key-1", "");
	WORLD_WAIT(world_status(&world, 1, "/x0/ok") == 404, CONFIG_MS);
	world_destroy(&world);
}

/* The part of the seed. */

static int
seed_listen(const world_t *world)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(world->ports[PORT_PEER]),
	    .sin_addr.s_addr = htonl(world_ip(world, SEED))};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	return fd;
}

/* Reports that the seed has this version, as a member of zone a-1. */
static void
seed_report(const world_t *world, uint32_t version)
{
	uint32_t words[] = {0x43530005, 1, world_ip(world, SEED), 0, 1, 0x66212,
	    0x13180f6e, version, 0, 0, version, 0, 0x68, 0, 1, 0, 0, 0};
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons(world->ports[PORT_PEER]),
	    .sin_addr.s_addr = htonl(world_ip(world, INSTANCE))};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		words[i] = htonl(words[i]);
	ck_assert_int_gt(sendto(fd, words, sizeof(words), 0,
			     (struct sockaddr *)&to, sizeof(to)),
	    0);
	close(fd);
}

static char *
document(int version, const char *route)
{
	return g_strdup_printf(
	    "{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"prefix\":\"/%s/\",\"route_type\":\"safe\",\"timeout_ms\":4000,"
	    "\"service\":\"pen\",\"target_latency_ms\":500,\"max_attempts\":2}]"
	    ",\"services\":[{\"name\":\"pen\"}],\"tenants\":[{\"name\":"
	    "\"parish\",\"api_keys\":[\"key-1\"]}]}",
	    version, route);
}

/*
 * Reports the version until the instance asks for it, at most for CONFIG_MS.
 * Returns the connection.
 */
static int
seed_await(const world_t *world, int listener, uint32_t version)
{
	struct timeval timeout = {.tv_usec = 100000};

	setsockopt(
	    listener, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	for (int i = 0; i < CONFIG_MS / 100; i++) {
		int fd;

		seed_report(world, version);
		fd = accept(listener, NULL, NULL);
		if (fd >= 0)
			return fd;
	}
	ck_abort_msg("the instance doesn't ask for the version");
	return -1;
}

/*
 * Guards against a transfer that is given up though it progresses: begun anew,
 * it loads the link of the only one that has the version again, without end.
 */
TEST(only_holder_is_waited_for_while_it_delivers)
{
	g_autofree char *text = document(9, "slow");
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", strlen(text));
	size_t part = strlen(text) / 12 + 1;
	world_t world;
	int listener;
	int fd;

	world_create(&world);
	listener = seed_listen(&world);
	world_start(&world, INSTANCE, "a-1", true, true);
	fd = seed_await(&world, listener, 9);
	world_send(fd, head);
	for (size_t sent = 0; sent < strlen(text); sent += part) {
		g_autofree char *piece = g_strndup(&text[sent], part);

		g_usleep(450000);
		seed_report(&world, 9);
		world_send(fd, piece);
	}
	WORLD_WAIT(world_status(&world, INSTANCE, "/slow/ok") == 200, 1000);
	close(fd);
	close(listener);
	world_destroy(&world);
}

/* Reads a request without a body. */
static void
request_read(int fd, char *text, size_t size)
{
	size_t len = 0;

	memset(text, 0, size);
	while (strstr(text, "\r\n\r\n") == NULL) {
		ssize_t n = recv(fd, &text[len], size - 1 - len, 0);

		ck_assert_int_gt(n, 0);
		len += (size_t)n;
	}
}

/* Guards against asking for the same damaged changes again and again. */
TEST(damaged_answer_is_followed_by_the_whole_document)
{
	g_autofree char *text = document(9, "added");
	g_autofree char *whole =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(text), text);
	char request[1024];
	world_t world;
	int listener;
	int fd;

	world_create(&world);
	listener = seed_listen(&world);
	world_start(&world, INSTANCE, "a-1", true, true);
	fd = seed_await(&world, listener, 9);
	request_read(fd, request, sizeof(request));
	ck_assert_ptr_nonnull(strstr(request, "base-digest: "));
	world_send(fd,
	    "HTTP/1.1 200 OK\r\nContent-Encoding: zstd\r\n"
	    "Base-Digest: 0123456789abcdef\r\nContent-Length: 4\r\n\r\nnone");
	close(fd);
	fd = seed_await(&world, listener, 9);
	request_read(fd, request, sizeof(request));
	ck_assert_ptr_null(strstr(request, "base-digest: "));
	world_send(fd, whole);
	WORLD_WAIT(
	    world_status(&world, INSTANCE, "/added/ok") == 200, CONFIG_MS);
	close(fd);
	close(listener);
	world_destroy(&world);
}

/* Sends a request that is answered later. */
static int
call_begin(const world_t *world, const char *path)
{
	g_autofree char *request = g_strdup_printf(
	    "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: early\r\n" WORLD_KEY
	    "\r\n",
	    path);
	int fd = world_connect(world, INSTANCE, PORT_CALLERS);

	world_send(fd, request);
	return fd;
}

/*
 * Guards against 404, which is final, for a route that was added: the instance
 * knows that a newer version exists, and gets it a moment later.
 */
TEST(request_on_a_route_of_a_newer_version_waits_for_it)
{
	g_autofree char *text = document(9, "added");
	g_autofree char *answer =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(text), text);
	world_answer_t served;
	world_t world;
	int listener;
	int caller;
	int fd;

	world_create(&world);
	listener = seed_listen(&world);
	world_start(&world, INSTANCE, "a-1", true, true);
	ck_assert_int_eq(world_status(&world, INSTANCE, "/added/ok"), 404);
	fd = seed_await(&world, listener, 9);
	caller = call_begin(&world, "/added/ok");
	g_usleep(400000);
	world_send(fd, answer);
	served = world_read(caller);
	ck_assert_int_eq(served.status, 200);
	world_answer_clear(&served);
	close(caller);
	ck_assert_int_eq(world_status(&world, INSTANCE, "/nowhere/ok"), 404);
	close(fd);
	close(listener);
	world_destroy(&world);
}

/* The version doesn't come: the caller is told to come again, not 404. */
TEST(request_that_waits_in_vain_is_told_to_come_again)
{
	world_answer_t refused;
	world_t world;
	gint64 began_at;
	int listener;
	int caller;
	int fd;

	world_create(&world);
	listener = seed_listen(&world);
	world_start(&world, INSTANCE, "a-1", true, true);
	fd = seed_await(&world, listener, 9);
	began_at = g_get_monotonic_time();
	caller = call_begin(&world, "/added/ok");
	for (int i = 0; i < 4; i++) {
		seed_report(&world, 9);
		g_usleep(200000);
	}
	refused = world_read(caller);
	ck_assert_int_eq(refused.status, 503);
	ck_assert_ptr_nonnull(strstr(refused.head, "Retry-After"));
	ck_assert_ptr_nonnull(strstr(refused.body, "config_behind"));
	/* Well before its deadline of 8 s. */
	ck_assert_int_lt(g_get_monotonic_time() - began_at, 3000000);
	world_answer_clear(&refused);
	close(caller);
	close(fd);
	close(listener);
	world_destroy(&world);
}

TEST_MAIN("process_config")
