/*
 * Measures the clients for other instances (peer/client.h) on loopback.
 *
 *   peers_bench serve
 *       Runs a peer server, an address that accepts and never answers and one
 *       where connecting hangs, prints the three addresses and serves until it
 *       is ended, at most SERVE_S.
 *   peers_bench call NAME PEERS HANGING BURST SERVER MUTE FULL
 *       Makes a client for each of PEERS peers, HANGING of them at MUTE and
 *       FULL in turn, sends RATE heartbeats a second to them in turn for
 *       MEASURE_S, BURST at a time, and prints a table row.
 *
 * With BENCH_THREAD_EACH it builds against the clients before peer_loop_t,
 * which had a thread each (scripts/bench-peers).
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/histogram.h"
#include "peer/client.h"
#include "peer/server.h"

#define SERVE_S 60
#define WARM_UP_S 1
#define MEASURE_S 3
#define RATE 800
#define CALLS (RATE * (WARM_UP_S + MEASURE_S))
#define PEER_LIMIT 400
#define LOADS 29 /* services at the planned size */

typedef struct {
	time_us_t sent_at;
	time_us_t took; /* 0: no answer */
	bool superseded;
} sample_t;

static sample_t samples[CALLS];
static peer_client_t *clients[PEER_LIMIT];

static void
fail(const char *what)
{
	fprintf(stderr, "peers_bench: %s failed\n", what);
	exit(EXIT_FAILURE);
}

static envelope_keys_t
keys_make(void)
{
	const char *const secrets[] = {"the fleet secret of the bench", NULL};
	envelope_keys_t keys;

	if (!envelope_keys_init(&keys, secrets, NULL))
		fail("envelope_keys_init");
	return keys;
}

static heartbeat_t
heartbeat_make(const char *sender)
{
	heartbeat_t beat = {.zone = "zone-0", .incarnation = 7, .sent_at = 1};

	g_strlcpy(beat.sender, sender, sizeof(beat.sender));
	beat.n_load = LOADS;
	for (int i = 0; i < LOADS; i++)
		snprintf(beat.load[i].service, sizeof(beat.load[i].service),
		    "model-%d", i);
	return beat;
}

static void
on_heartbeat(const heartbeat_t *in, heartbeat_t *reply, void *user)
{
	*reply = heartbeat_make("s1");
}

static void
on_fetch(const peer_sender_t *from, const fetch_t *in, fetch_reply_t *reply,
    void *user)
{
}

static void
on_borrow(const peer_sender_t *from, const borrow_request_t *in,
    borrow_reply_t *reply, void *user)
{
}

static void
on_return(const peer_sender_t *from, const return_t *in, void *user)
{
}

/* Listens and never accepts. Prints the address. */
static struct sockaddr_in
listen_mute(int backlog)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, backlog) != 0 ||
	    getsockname(fd, (struct sockaddr *)&at, &len) != 0)
		fail("listen");
	printf(" 127.0.0.1:%d", ntohs(at.sin_port));
	return at;
}

static void
serve(void)
{
	const peer_sender_t self = {"s1", 7};
	const peer_handlers_t handlers = {
	    on_heartbeat, on_fetch, on_borrow, on_return, NULL};
	envelope_keys_t keys = keys_make();
	peer_server_t *server =
	    peer_server_create("127.0.0.1:0", &self, &keys, &handlers, NULL);
	struct sockaddr_in full;

	if (server == NULL)
		fail("peer_server_create");
	printf("%s", peer_server_address(server));
	listen_mute(1024);
	full = listen_mute(0);
	/* Two connections fill a backlog of 0; further ones hang. */
	for (int i = 0; i < 2; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		if (fd < 0 ||
		    (connect(fd, (struct sockaddr *)&full, sizeof(full)) != 0 &&
			errno != EINPROGRESS))
			fail("connect");
	}
	printf("\n");
	fflush(stdout);
	sleep(SERVE_S);
}

static void
on_done(const peer_result_t *result, const GError *error, void *user)
{
	sample_t *sample = user;

	if (result != NULL)
		sample->took = MAX(clock_now() - sample->sent_at, 1);
	else
		sample->superseded =
		    strstr(error->message, "superseded") != NULL;
}

static peer_client_t *
client_make(const char *address, int index)
{
	static envelope_keys_t keys;
	peer_sender_t self = {.incarnation = 7};
	peer_client_t *client;

	/* A sender of its own each, because the server keeps a window of
	 * sequence numbers for each sender. */
	snprintf(self.name, sizeof(self.name), "c%d", index);
	if (keys.n == 0)
		keys = keys_make();
#ifdef BENCH_THREAD_EACH
	client = peer_client_create(address, &self, &keys, NULL);
#else
	static peer_loop_t *loop;

	if (loop == NULL)
		loop = peer_loop_create(NULL);
	client = peer_client_create(loop, address, &self, &keys, NULL);
#endif
	if (client == NULL)
		fail("peer_client_create");
	return client;
}

/* Reads a number from /proc/self/status. */
static long
status_read(const char *key)
{
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents("/proc/self/status", &text, NULL, NULL) ||
	    (line = strstr(text, key)) == NULL)
		fail("/proc/self/status");
	return strtol(line + strlen(key) + 1, NULL, 10);
}

static time_us_t
processor_us(void)
{
	struct rusage use;

	getrusage(RUSAGE_SELF, &use);
	return (use.ru_utime.tv_sec + use.ru_stime.tv_sec) * US_PER_S +
	       use.ru_utime.tv_usec + use.ru_stime.tv_usec;
}

static void
sleep_until(time_us_t at)
{
	const struct timespec ts = {at / US_PER_S, (at % US_PER_S) * 1000};

	clock_nanosleep(CLOCK_BOOTTIME, TIMER_ABSTIME, &ts, NULL);
}

static void
call_one(int index, int peers)
{
	g_autofree char *sender = g_strdup_printf("c%d", index % peers);
	peer_call_t call = {
	    .kind = PEER_CALL_HEARTBEAT, .heartbeat = heartbeat_make(sender)};
	sample_t *sample = &samples[index];

	sample->sent_at = clock_now();
	peer_client_send(clients[index % peers], &call, on_done, sample, NULL);
}

static void
row_print(const char *name, int peers, int hanging, int burst, long idle_kb,
    long kb, long threads, time_us_t used)
{
	histogram_t *took = histogram_create();
	int sent = 0;
	int superseded = 0;

	for (int i = RATE * WARM_UP_S; i < CALLS; i++) {
		if (i % peers < hanging)
			continue;
		sent++;
		superseded += samples[i].superseded;
		if (samples[i].took > 0)
			histogram_record(took, (uint64_t)samples[i].took);
	}
	printf("| %s | %d | %d | %d | %ld | %ld | %ld | %.0f | %.1f%% | %lu | "
	       "%lu | "
	       "%lu | %d | %lu | %d |\n",
	    name, peers, hanging, burst, threads, kb, kb - idle_kb,
	    (double)used / (RATE * MEASURE_S),
	    (double)used * 100 / (double)(MEASURE_S * US_PER_S),
	    histogram_quantile(took, 0.5), histogram_quantile(took, 0.99),
	    histogram_max(took), sent, histogram_count(took), superseded);
	histogram_destroy(took);
}

static void
call(const char *name, int peers, int hanging, int burst, char **addresses)
{
	long idle_kb = status_read("VmRSS:");
	time_us_t start = clock_now();
	time_us_t before = 0;
	time_us_t used;
	long threads, kb;

	for (int i = 0; i < peers; i++)
		clients[i] =
		    client_make(addresses[i >= hanging ? 0 : 1 + i % 2], i);
	for (int i = 0; i < CALLS; i++) {
		if (i == RATE * WARM_UP_S)
			before = processor_us();
		call_one(i, peers);
		if ((i + 1) % burst == 0)
			sleep_until(
			    start + (time_us_t)(i + 1) * US_PER_S / RATE);
	}
	used = processor_us() - before;
	threads = status_read("Threads:");
	kb = status_read("VmRSS:");
	/* The last calls get their replies. */
	sleep_until(clock_now() + US_PER_S / 2);
	for (int i = 0; i < peers; i++)
		peer_client_destroy(clients[i]);
	row_print(name, peers, hanging, burst, idle_kb, kb, threads, used);
}

int
main(int argc, char **argv)
{
	if (argc == 2 && strcmp(argv[1], "serve") == 0) {
		serve();
		return EXIT_SUCCESS;
	}
	if (argc == 9 && strcmp(argv[1], "call") == 0) {
		int peers = (int)strtol(argv[3], NULL, 10);
		int burst = (int)strtol(argv[5], NULL, 10);

		if (peers < 1 || peers > PEER_LIMIT || burst < 1)
			fail("number of peers");
		call(argv[2], peers, (int)strtol(argv[4], NULL, 10), burst,
		    argv + 6);
		return EXIT_SUCCESS;
	}
	fprintf(stderr,
	    "usage: peers_bench serve | call NAME PEERS HANGING BURST "
	    "SERVER MUTE FULL\n");
	return EXIT_FAILURE;
}
