#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "connection.h"
#include "generated/peer.h"
#include "peer/client.h"
#include "peer/server.h"
#include "peer_samples.h"
#include "test.h"

#define SECRET "the fleet secret of the tests"
#define OTHER_SECRET "another secret of the tests"
#define WAIT_S 20 /* a failed wait ends the test; it isn't a measure */

/* What the server's handlers saw and what they answer. */
typedef struct {
	gint heartbeats;
	gint returns;
	gint borrows;
	gint misordered; /* borrow calls whose request id doesn't rise */
	uint64_t last_id;
	size_t text_len;
	heartbeat_t heartbeat;
	return_t returned;
	peer_sender_t from;
} seen_t;

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	int done;
	int errors;
	int superseded;
	int last_code;
	bool sigpipe_blocked; /* in the thread that called back */
	peer_result_t result;
	char *text;
} outcome_t;

static const peer_sender_t server_self = {"s1", 11};
static const peer_sender_t client_self = {"s2", 22};

static void
on_heartbeat(const heartbeat_t *in, heartbeat_t *reply, void *user)
{
	seen_t *seen = user;

	seen->heartbeat = *in;
	g_atomic_int_inc(&seen->heartbeats);
	g_strlcpy(reply->zone, "stred-1", sizeof(reply->zone));
	reply->lease_granted = true;
}

static void
on_fetch(const peer_sender_t *from, const fetch_t *in, fetch_reply_t *reply,
    void *user)
{
	const seen_t *seen = user;

	if (in->min_version > 5)
		return;
	reply->version = 5;
	reply->len = seen->text_len;
	reply->text = g_strnfill(seen->text_len, 'y');
}

static void
on_borrow(const peer_sender_t *from, const borrow_request_t *in,
    borrow_reply_t *reply, void *user)
{
	seen_t *seen = user;

	seen->from = *from;
	if (in->request_id <= seen->last_id)
		g_atomic_int_inc(&seen->misordered);
	seen->last_id = in->request_id;
	g_atomic_int_inc(&seen->borrows);
	*reply = (borrow_reply_t){in->share / 2, in->tokens / 2, 77};
}

static void
on_return(const peer_sender_t *from, const return_t *in, void *user)
{
	seen_t *seen = user;

	seen->returned = *in;
	g_atomic_int_inc(&seen->returns);
}

static peer_server_t *
server_make(seen_t *seen)
{
	const peer_handlers_t handlers = {
	    on_heartbeat, on_fetch, on_borrow, on_return, seen};
	envelope_keys_t keys = keys_make(SECRET, NULL);
	peer_server_t *server;

	memset(seen, 0, sizeof(*seen));
	seen->text_len = PEER_LIST_TEXT_LIMIT;
	server = peer_server_create(
	    "127.0.0.1:0", &server_self, &keys, &handlers, NULL);
	ck_assert_ptr_nonnull(server);
	return server;
}

/* All clients share one loop, as in an instance. It ends with the last one. */
static peer_loop_t *loop;
static int clients;

static peer_client_t *
client_make(const char *address, const char *first, const char *second)
{
	envelope_keys_t keys = keys_make(first, second);
	peer_client_t *client;

	if (clients++ == 0)
		loop = peer_loop_create(NULL);
	ck_assert_ptr_nonnull(loop);
	client = peer_client_create(loop, address, &client_self, &keys, NULL);
	ck_assert_ptr_nonnull(client);
	return client;
}

static void
client_end(peer_client_t *client)
{
	peer_client_destroy(client);
	if (--clients == 0)
		peer_loop_destroy(loop);
}

static void
outcome_init(outcome_t *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	pthread_mutex_init(&outcome->lock, NULL);
	pthread_cond_init(&outcome->wake, NULL);
}

static void
on_done(const peer_result_t *result, const GError *error, void *user)
{
	outcome_t *outcome = user;

	sigset_t blocked;

	pthread_sigmask(SIG_BLOCK, NULL, &blocked);
	pthread_mutex_lock(&outcome->lock);
	outcome->sigpipe_blocked = sigismember(&blocked, SIGPIPE) == 1;
	outcome->done++;
	if (error != NULL) {
		outcome->errors++;
		outcome->last_code = error->code;
		if (strstr(error->message, "superseded") != NULL)
			outcome->superseded++;
	} else {
		outcome->result = *result;
		if (result->kind == PEER_CALL_FETCH) {
			g_free(outcome->text);
			outcome->text = g_strdup(result->fetch.text);
		}
	}
	pthread_cond_signal(&outcome->wake);
	pthread_mutex_unlock(&outcome->lock);
}

/* Waits for a number of ends. Returns false when they don't come in time. */
static bool
outcome_reached(outcome_t *outcome, int done, int seconds)
{
	struct timespec limit;
	int failed = 0;

	clock_gettime(CLOCK_REALTIME, &limit);
	limit.tv_sec += seconds;
	pthread_mutex_lock(&outcome->lock);
	while (outcome->done < done && failed == 0)
		failed = pthread_cond_timedwait(
		    &outcome->wake, &outcome->lock, &limit);
	pthread_mutex_unlock(&outcome->lock);
	return failed == 0;
}

static void
outcome_wait(outcome_t *outcome, int done)
{
	ck_assert(outcome_reached(outcome, done, WAIT_S));
}

/* Sends one call and waits for its end. Returns whether it succeeded. */
static bool
call_run(peer_client_t *client, const peer_call_t *call, outcome_t *outcome)
{
	outcome_init(outcome);
	ck_assert(peer_client_send(client, call, on_done, outcome, NULL));
	outcome_wait(outcome, 1);
	return outcome->errors == 0;
}

static peer_call_t
borrow_make(void)
{
	return (peer_call_t){
	    .kind = PEER_CALL_BORROW, .borrow = {"parish-nitra", 1000, 600, 1}};
}

/* Checks that calls succeed without waiting for the time limits of others. */
static void
ck_quick(peer_client_t *client)
{
	time_us_t start = clock_now();
	peer_call_t call = borrow_make();
	outcome_t outcome;

	for (int i = 0; i < 5; i++)
		ck_assert(call_run(client, &call, &outcome));
	ck_assert_int_lt(clock_now() - start, US_PER_S * PEER_TIMEOUT_S);
}

static int64_t
refused(const char *reason)
{
	return counter_read(counter_get("peer_refused", "reason", reason));
}

static int
socket_to(const char *address)
{
	const char *colon = strchr(address, ':');
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)atoi(colon + 1)),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* Waits until the server closes the connection; returns the bytes before. */
static size_t
socket_drain(int fd)
{
	struct pollfd pfd = {fd, POLLIN, 0};
	char bytes[4096];
	size_t sum = 0;
	ssize_t n;

	do {
		ck_assert_int_eq(poll(&pfd, 1, WAIT_S * 1000), 1);
		n = read(fd, bytes, sizeof(bytes));
		sum += n > 0 ? (size_t)n : 0;
	} while (n > 0);
	close(fd);
	return sum;
}

/* Encodes a call with its record mark, signed with SECRET. */
static size_t
record_make(char *record, uint32_t procedure, const char *sender,
    uint64_t sequence, uint64_t session, GBytes *body)
{
	envelope_keys_t keys = keys_make(SECRET, NULL);
	uint32_t mark;
	size_t len = record_encode(record + 4, &keys, procedure,
	    (peer_call){.sender = (char *)sender,
		.incarnation = 33,
		.sequence = sequence,
		.session = session,
		.body = {(u_int)g_bytes_get_size(body),
		    (char *)g_bytes_get_data(body, NULL)}});

	mark = htonl(0x80000000U | (uint32_t)len);
	memcpy(record, &mark, sizeof(mark));
	return len + 4;
}

/* Sends a record and reads one whole reply into *reply. */
static void
record_exchange(int fd, const char *record, size_t len, peer_reply *reply)
{
	char bytes[1024];
	struct rpc_msg msg = {0};
	uint32_t mark;
	XDR xdr;

	memset(reply, 0, sizeof(*reply));
	ck_assert_int_eq(write(fd, record, len), (ssize_t)len);
	ck_assert_int_eq(recv(fd, &mark, 4, MSG_WAITALL), 4);
	mark = ntohl(mark) & 0x7fffffff;
	ck_assert_uint_le(mark, sizeof(bytes));
	ck_assert_int_eq(recv(fd, bytes, mark, MSG_WAITALL), (ssize_t)mark);
	msg.acpted_rply.ar_results.where = (char *)reply;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_peer_reply;
	xdrmem_create(&xdr, bytes, mark, XDR_DECODE);
	ck_assert(xdr_replymsg(&xdr, &msg));
}

/* Guards against a call whose argument or result is lost or mixed up. */
TEST(each_call_makes_the_round_trip)
{
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = {
	    .kind = PEER_CALL_HEARTBEAT, .heartbeat = heartbeat_sample()};

	g_strlcpy(call.heartbeat.sender, "s2", sizeof(call.heartbeat.sender));
	call.heartbeat.incarnation = 22;
	ck_assert(call_run(client, &call, &outcome));
	ck_assert(heartbeat_equal(&seen.heartbeat, &call.heartbeat));
	ck_assert(outcome.result.heartbeat.lease_granted);
	ck_assert_str_eq(outcome.result.from.name, "s1");
	ck_assert_uint_eq(outcome.result.from.incarnation, 11);
	call = borrow_make();
	ck_assert(call_run(client, &call, &outcome));
	ck_assert_uint_eq(outcome.result.borrow.share, 500);
	ck_assert_str_eq(seen.from.name, "s2");
	ck_assert_uint_eq(seen.from.incarnation, 22);
	call = (peer_call_t){
	    .kind = PEER_CALL_RETURN, .give_back = {"parish-nitra", 77, 500}};
	ck_assert(call_run(client, &call, &outcome));
	ck_assert_uint_eq(seen.returned.loan_id, 77);
	call = (peer_call_t){.kind = PEER_CALL_FETCH,
	    .fetch = {.kind = LIST_PLANS, .min_version = 4}};
	ck_assert(call_run(client, &call, &outcome));
	ck_assert_uint_eq(outcome.result.fetch.len, PEER_LIST_TEXT_LIMIT);
	ck_assert_uint_eq(strlen(outcome.text), PEER_LIST_TEXT_LIMIT);
	g_free(outcome.text);
	call.fetch.min_version = 6;
	ck_assert(call_run(client, &call, &outcome));
	ck_assert_uint_eq(outcome.result.fetch.version, 0);
	g_free(outcome.text);
	client_end(client);
	peer_server_destroy(server);
}

/* Guards against traffic that is counted at one end only, or twice. */
TEST(bytes_are_counted_at_both_ends)
{
	counter_t *in = counter_get("peer_bytes", "direction", "in");
	counter_t *out = counter_get("peer_bytes", "direction", "out");
	int64_t in_before = counter_read(in);
	int64_t out_before = counter_read(out);
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = {.kind = PEER_CALL_FETCH,
	    .fetch = {.kind = LIST_PLANS, .min_version = 4}};

	ck_assert(call_run(client, &call, &outcome));
	g_free(outcome.text);
	client_end(client);
	peer_server_destroy(server);
	ck_assert_int_ge(
	    counter_read(in) - in_before, (int64_t)PEER_LIST_TEXT_LIMIT);
	ck_assert_int_eq(
	    counter_read(in) - in_before, counter_read(out) - out_before);
}

/* Guards against a stranger who reaches a handler, and against a rotation that
 * locks out an instance which already signs with the new secret. */
TEST(only_the_fleet_secret_is_accepted)
{
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	const char *address = peer_server_address(server);
	peer_client_t *stranger = client_make(address, OTHER_SECRET, NULL);
	peer_client_t *rotating = client_make(address, SECRET, OTHER_SECRET);
	peer_call_t call = borrow_make();
	int64_t before = refused("unauthentic");

	ck_assert(!call_run(stranger, &call, &outcome));
	ck_assert_int_eq(outcome.last_code, CS_ERROR_AUTH);
	ck_assert_int_eq(refused("unauthentic"), before + 1);
	ck_assert_int_eq(g_atomic_int_get(&seen.borrows), 0);
	ck_assert(call_run(rotating, &call, &outcome));
	client_end(stranger);
	client_end(rotating);
	peer_server_destroy(server);
}

/* Guards against a recorded call that runs again, on the same server or on one
 * that was started anew, and against a heartbeat that speaks for another. */
TEST(replays_and_false_senders_run_nothing)
{
	seen_t seen, seen_later;
	peer_server_t *server = server_make(&seen);
	peer_server_t *later = server_make(&seen_later);
	const return_t message = {"parish-nitra", 1, 1};
	const heartbeat_t beat = heartbeat_sample();
	GBytes *body = return_encode(&message, NULL);
	GBytes *beat_body = heartbeat_encode(&beat, NULL);
	char record[PEER_CALL_BYTES + 516];
	size_t len = record_make(record, PEER_RETURN, "s9", 1, 0, body);
	int fd = socket_to(peer_server_address(server));
	int64_t replayed = refused("replayed");
	int64_t false_sender = refused("sender");
	peer_reply reply;
	uint64_t session;

	record_exchange(fd, record, len, &reply);
	ck_assert_int_eq(reply.status, PEER_STATUS_CHALLENGE);
	session = reply.session;
	xdr_free((xdrproc_t)xdr_peer_reply, &reply);
	len = record_make(record, PEER_RETURN, "s9", 2, session, body);
	record_exchange(fd, record, len, &reply);
	ck_assert_int_eq(reply.status, PEER_STATUS_DONE);
	xdr_free((xdrproc_t)xdr_peer_reply, &reply);
	ck_assert_int_eq(write(fd, record, len), (ssize_t)len);
	socket_drain(fd);
	ck_assert_int_eq(refused("replayed"), replayed + 1);
	ck_assert_int_eq(g_atomic_int_get(&seen.returns), 1);
	fd = socket_to(peer_server_address(later));
	record_exchange(fd, record, len, &reply);
	ck_assert_int_eq(reply.status, PEER_STATUS_CHALLENGE);
	xdr_free((xdrproc_t)xdr_peer_reply, &reply);
	ck_assert_int_eq(g_atomic_int_get(&seen_later.returns), 0);
	close(fd);
	fd = socket_to(peer_server_address(server));
	len = record_make(record, PEER_HEARTBEAT, "s9", 3, session, beat_body);
	ck_assert_int_eq(write(fd, record, len), (ssize_t)len);
	socket_drain(fd);
	ck_assert_int_eq(refused("sender"), false_sender + 1);
	ck_assert_int_eq(g_atomic_int_get(&seen.heartbeats), 0);
	g_bytes_unref(body);
	g_bytes_unref(beat_body);
	peer_server_destroy(later);
	peer_server_destroy(server);
}

/* Guards against bytes of a stranger that stop the server, take its memory or
 * are not counted. */
TEST(garbage_is_refused_and_counted)
{
	static const struct {
		const char *bytes;
		size_t len;
		const char *reason;
	} cases[] = {
	    {"\x80\x00\x00\x04hey!", 8, "malformed"},
	    {"\x00\x00\x00\x00", 4, "malformed"}, /* empty fragment */
	    {"GET / HTTP/1.0\r\n\r\n", 18, "oversized"},
	    {"\xff\xff\xff\xff", 4, "oversized"},
	    {"\x80\x00\x00\x40half", 8, "truncated"},
	};
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = borrow_make();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int fd = socket_to(peer_server_address(server));
		int64_t before = refused(cases[i].reason);

		ck_assert_int_eq(write(fd, cases[i].bytes, cases[i].len),
		    (ssize_t)cases[i].len);
		shutdown(fd, SHUT_WR);
		socket_drain(fd);
		ck_assert_msg(refused(cases[i].reason) == before + 1,
		    "case %zu was not counted as %s", i, cases[i].reason);
	}
	ck_assert(call_run(client, &call, &outcome));
	client_end(client);
	peer_server_destroy(server);
}

/* Guards against a connection with half a record, or one that doesn't read its
 * replies, that delays the answers to others. */
TEST(slow_peers_block_nobody)
{
	const fetch_t fetch = {.kind = LIST_PLANS, .min_version = 1};
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	GBytes *body = fetch_encode(&fetch, NULL);
	char record[PEER_CALL_BYTES + 516];
	size_t len = record_make(record, PEER_FETCH_LIST, "s9", 1, 0, body);
	int half = socket_to(peer_server_address(server));
	int deaf = socket_to(peer_server_address(server));
	int64_t truncated = refused("truncated");
	int64_t slow = refused("slow_reader");
	peer_call_t call = borrow_make();
	time_us_t start;
	peer_reply reply;

	ck_assert_int_eq(write(half, record, 20), 20);
	record_exchange(deaf, record, len, &reply);
	for (uint64_t i = 2; i < 20; i++) {
		len = record_make(
		    record, PEER_FETCH_LIST, "s9", i, reply.session, body);
		ck_assert_int_eq(write(deaf, record, len), (ssize_t)len);
	}
	xdr_free((xdrproc_t)xdr_peer_reply, &reply);
	start = clock_now();
	for (int i = 0; i < 20; i++)
		ck_assert(call_run(client, &call, &outcome));
	ck_assert_int_lt(clock_now() - start, PEER_RECORD_US);
	ck_assert_int_eq(refused("slow_reader"), slow);
	socket_drain(half);
	ck_assert_int_eq(refused("truncated"), truncated + 1);
	while (refused("slow_reader") == slow &&
	       clock_now() - start < WAIT_S * US_PER_S)
		ck_assert(call_run(client, &call, &outcome));
	ck_assert_int_eq(refused("slow_reader"), slow + 1);
	close(deaf);
	g_bytes_unref(body);
	client_end(client);
	peer_server_destroy(server);
}

/* Guards against strangers that take all connections from the fleet. */
TEST(strangers_leave_room_for_peers)
{
	enum { STRANGERS = PEER_CONNECTION_LIMIT + 8 };
	struct rlimit files;
	static int fds[STRANGERS];
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = borrow_make();
	int64_t before = refused("connections");
	time_us_t limit = clock_now() + WAIT_S * US_PER_S;

	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &files), 0);
	files.rlim_cur = files.rlim_max;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &files), 0);
	ck_assert_uint_gt(files.rlim_cur, 2 * STRANGERS + 32);
	ck_assert(call_run(client, &call, &outcome));
	for (int i = 0; i < STRANGERS; i++)
		fds[i] = socket_to(peer_server_address(server));
	/* The oldest strangers make room. Were it the peer, its new connection
	 * would need room once more. */
	while (refused("connections") < before + 9) {
		ck_assert_int_lt(clock_now(), limit);
		ck_assert(call_run(client, &call, &outcome));
	}
	ck_assert(call_run(client, &call, &outcome));
	ck_assert_int_eq(refused("connections"), before + 9);
	for (int i = 0; i < STRANGERS; i++)
		close(fds[i]);
	client_end(client);
	peer_server_destroy(server);
}

/* A peer that accepts connections and never answers. */
static int
mute_listen(char *address, size_t size, int backlog)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	ck_assert_int_eq(listen(fd, backlog), 0);
	getsockname(fd, (struct sockaddr *)&at, &len);
	g_snprintf(address, size, "127.0.0.1:%d", ntohs(at.sin_port));
	return fd;
}

/* Guards against a mute peer that blocks its client for longer than the limit,
 * or blocks clients of other peers. */
TEST(mute_peer_times_out_alone)
{
	char address[32];
	int mute = mute_listen(address, sizeof(address), 8);
	seen_t seen;
	outcome_t slow, quick;
	peer_server_t *server = server_make(&seen);
	peer_client_t *blocked = client_make(address, SECRET, NULL);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = borrow_make();
	time_us_t start = clock_now();

	outcome_init(&slow);
	ck_assert(peer_client_send(blocked, &call, on_done, &slow, NULL));
	ck_assert(call_run(client, &call, &quick));
	outcome_wait(&slow, 1);
	ck_assert_int_eq(slow.last_code, CS_ERROR_TIMEOUT);
	ck_assert_int_ge(clock_now() - start, US_PER_S * PEER_TIMEOUT_S);
	ck_assert_int_lt(clock_now() - start, 5 * US_PER_S * PEER_TIMEOUT_S);
	/* Signals are for the main thread; thread_start blocks them. */
	ck_assert(slow.sigpipe_blocked);
	client_end(blocked);
	client_end(client);
	peer_server_destroy(server);
	close(mute);
}

/* Makes a client whose thread waits for the mute peer's answer. *fd is the
 * peer's end. */
static peer_client_t *
busy_client_make(int mute, const char *address, outcome_t *outcome, int *fd)
{
	struct pollfd pfd = {mute, POLLIN, 0};
	peer_client_t *client = client_make(address, SECRET, NULL);
	peer_call_t call = borrow_make();
	char byte;

	outcome_init(outcome);
	ck_assert(peer_client_send(client, &call, on_done, outcome, NULL));
	ck_assert_int_eq(poll(&pfd, 1, WAIT_S * 1000), 1);
	*fd = accept(mute, NULL, NULL);
	/* The call has left the queue when its first byte comes. */
	ck_assert_int_eq(recv(*fd, &byte, 1, 0), 1);
	return client;
}

/* Guards against old heartbeats that are sent before newer ones. */
TEST(newer_heartbeat_replaces_queued_one)
{
	char address[32];
	int fd, mute = mute_listen(address, sizeof(address), 8);
	outcome_t outcome, beats;
	peer_client_t *client = busy_client_make(mute, address, &outcome, &fd);
	peer_call_t beat = {
	    .kind = PEER_CALL_HEARTBEAT, .heartbeat = heartbeat_sample()};

	outcome_init(&beats);
	ck_assert(peer_client_send(client, &beat, on_done, &beats, NULL));
	ck_assert(peer_client_send(client, &beat, on_done, &beats, NULL));
	client_end(client);
	ck_assert_int_eq(beats.done, 2);
	ck_assert_int_eq(beats.superseded, 1);
	close(fd);
	close(mute);
}

/* Guards against a queue without a bound, a heartbeat that finds no room, and a
 * destroy that hangs or forgets a callback. */
TEST(destroy_completes_pending_calls)
{
	char address[32];
	int fd, mute = mute_listen(address, sizeof(address), 8);
	outcome_t outcome, beats;
	peer_client_t *client = busy_client_make(mute, address, &outcome, &fd);
	peer_call_t call = borrow_make();
	peer_call_t beat = {
	    .kind = PEER_CALL_HEARTBEAT, .heartbeat = heartbeat_sample()};
	int queued = 1;

	outcome_init(&beats);
	while (peer_client_send(client, &call, on_done, &outcome, NULL))
		ck_assert_int_le(++queued, 1 + PEER_QUEUE_LIMIT);
	ck_assert_int_eq(queued, 1 + PEER_QUEUE_LIMIT);
	ck_assert(peer_client_send(client, &beat, on_done, &beats, NULL));
	client_end(client);
	ck_assert_int_eq(outcome.errors, queued);
	ck_assert_int_eq(outcome.done, queued);
	ck_assert_int_eq(outcome.superseded, 1);
	ck_assert_int_eq(beats.errors, 1);
	close(fd);
	close(mute);
}

/* Guards against a client that doesn't find a peer again after its restart, or
 * that hammers it meanwhile. */
TEST(client_reconnects_after_restart)
{
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	g_autofree char *address = g_strdup(peer_server_address(server));
	const peer_handlers_t handlers = {
	    on_heartbeat, on_fetch, on_borrow, on_return, &seen};
	envelope_keys_t keys = keys_make(SECRET, NULL);
	peer_client_t *client = client_make(address, SECRET, NULL);
	peer_call_t call = borrow_make();
	counter_t *backoff = counter_get("peer_dropped", "reason", "backoff");
	int64_t before = counter_read(backoff);
	time_us_t limit = clock_now() + WAIT_S * US_PER_S;

	ck_assert(call_run(client, &call, &outcome));
	peer_server_destroy(server);
	while (counter_read(backoff) == before && clock_now() < limit)
		ck_assert(!call_run(client, &call, &outcome));
	ck_assert_int_gt(counter_read(backoff), before);
	server =
	    peer_server_create(address, &server_self, &keys, &handlers, NULL);
	ck_assert_ptr_nonnull(server);
	while (!call_run(client, &call, &outcome))
		ck_assert_int_lt(clock_now(), limit);
	client_end(client);
	peer_server_destroy(server);
}

/* Takes a client's call at a listening socket and its connection. */
static int
call_accept(int listener)
{
	struct pollfd pfd = {listener, POLLIN, 0};

	ck_assert_int_eq(poll(&pfd, 1, WAIT_S * 1000), 1);
	return accept(listener, NULL, NULL);
}

/* Reads a call and answers it with a share of 1 under another call's xid, then
 * with a share of 2. */
static void
answer_twice(int fd)
{
	envelope_keys_t keys = keys_make(SECRET, NULL);
	char bytes[1024], cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	peer_call call = {0};
	uint32_t mark;
	XDR xdr;

	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	ck_assert_int_eq(recv(fd, &mark, 4, MSG_WAITALL), 4);
	mark = ntohl(mark) & 0x7fffffff;
	ck_assert_uint_le(mark, sizeof(bytes));
	ck_assert_int_eq(recv(fd, bytes, mark, MSG_WAITALL), (ssize_t)mark);
	xdrmem_create(&xdr, bytes, mark, XDR_DECODE);
	ck_assert(xdr_callmsg(&xdr, &msg) && xdr_peer_call(&xdr, &call));
	for (share_t share = 1; share <= 2; share++) {
		const borrow_reply_t lent = {share, 0, 7};
		GBytes *body = borrow_reply_encode(&lent, NULL);
		peer_reply reply = {.sender = (char *)"s1",
		    .incarnation = 11,
		    .sequence = call.sequence,
		    .body = {(u_int)g_bytes_get_size(body),
			(char *)g_bytes_get_data(body, NULL)}};
		struct rpc_msg out = {.rm_direction = REPLY};

		out.rm_xid = msg.rm_xid - 2 + share;
		out.acpted_rply.ar_verf = _null_auth;
		out.acpted_rply.ar_results.where = (char *)&reply;
		out.acpted_rply.ar_results.proc = (xdrproc_t)xdr_peer_reply;
		envelope_seal_reply(&keys, PEER_BORROW, &call, &reply);
		xdrmem_create(&xdr, bytes + 4, sizeof(bytes) - 4, XDR_ENCODE);
		ck_assert(xdr_replymsg(&xdr, &out));
		mark = htonl(0x80000000U | xdr_getpos(&xdr));
		memcpy(bytes, &mark, 4);
		ck_assert_int_eq(write(fd, bytes, 4 + xdr_getpos(&xdr)),
		    (ssize_t)(4 + xdr_getpos(&xdr)));
		g_bytes_unref(body);
	}
	xdr_free((xdrproc_t)xdr_peer_call, &call);
}

/* Guards against a reply to an earlier call that is taken for that of the call
 * in progress. */
TEST(reply_to_another_call_is_passed_over)
{
	char address[32];
	int mute = mute_listen(address, sizeof(address), 8);
	peer_client_t *client = client_make(address, SECRET, NULL);
	peer_call_t call = borrow_make();
	outcome_t outcome;
	int fd;

	outcome_init(&outcome);
	ck_assert(peer_client_send(client, &call, on_done, &outcome, NULL));
	fd = call_accept(mute);
	answer_twice(fd);
	outcome_wait(&outcome, 1);
	ck_assert_int_eq(outcome.errors, 0);
	ck_assert_uint_eq(outcome.result.borrow.share, 2);
	client_end(client);
	close(fd);
	close(mute);
}

/* Guards against a reply that takes memory without a bound, and against a call
 * that waits for the end of such a reply. */
TEST(oversized_reply_is_refused_at_once)
{
	static const struct {
		peer_call_t call;
		uint32_t len;
	} cases[] = {
	    {{.kind = PEER_CALL_BORROW, .borrow = {"t", 1, 1, 1}},
		PEER_CALL_BYTES + 513},
	    {{.kind = PEER_CALL_FETCH, .fetch = {LIST_PLANS, 1}},
		PEER_REPLY_BYTES + 513},
	};
	char address[32];
	int mute = mute_listen(address, sizeof(address), 8);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		peer_client_t *client = client_make(address, SECRET, NULL);
		uint32_t mark = htonl(0x80000000U | cases[i].len);
		outcome_t outcome;
		int fd;

		outcome_init(&outcome);
		ck_assert(peer_client_send(
		    client, &cases[i].call, on_done, &outcome, NULL));
		fd = call_accept(mute);
		ck_assert_int_eq(write(fd, &mark, 4), 4);
		outcome_wait(&outcome, 1);
		ck_assert_int_eq(outcome.last_code, CS_ERROR_SYNTAX);
		client_end(client);
		close(fd);
	}
	close(mute);
}

/* Answers with a byte each 100 ms, until the client has closed. */
static void *
trickle(void *arg)
{
	static const uint8_t mark[4] = {0x80, 0, 0x10, 0};
	int fd = call_accept(*(int *)arg);
	struct pollfd pfd = {fd, POLLRDHUP, 0};

	for (size_t i = 0; poll(&pfd, 1, 100) == 0; i++) {
		if (send(fd, i < 4 ? &mark[i] : mark, 1, MSG_NOSIGNAL) != 1)
			break;
	}
	close(fd);
	return NULL;
}

/* Guards against a connect that hangs or a reply that trickles byte by byte and
 * delays calls to other peers or, for ever, those to its own. */
TEST(hanging_peers_delay_no_other)
{
	char full_address[32], slow_address[32];
	int full = mute_listen(full_address, sizeof(full_address), 0);
	int slow = mute_listen(slow_address, sizeof(slow_address), 8);
	int filling = socket_to(full_address); /* a backlog of 0 holds one */
	seen_t seen;
	outcome_t hung, trickled;
	peer_server_t *server = server_make(&seen);
	peer_client_t *hanging = client_make(full_address, SECRET, NULL);
	peer_client_t *trickling = client_make(slow_address, SECRET, NULL);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = borrow_make();
	time_us_t start = clock_now();
	pthread_t thread;

	ck_assert_int_eq(pthread_create(&thread, NULL, trickle, &slow), 0);
	outcome_init(&hung);
	outcome_init(&trickled);
	ck_assert(peer_client_send(hanging, &call, on_done, &hung, NULL));
	ck_assert(peer_client_send(trickling, &call, on_done, &trickled, NULL));
	ck_quick(client);
	outcome_wait(&hung, 1);
	ck_assert_int_eq(hung.last_code, CS_ERROR_TIMEOUT);
	/* The limit on silence is over, and the trickle goes on. */
	ck_assert_int_eq(trickled.done, 0);
	ck_quick(client);
	outcome_wait(&trickled, 1);
	ck_assert_int_eq(trickled.last_code, CS_ERROR_TIMEOUT);
	ck_assert_int_ge(clock_now() - start, PEER_CALL_US);
	pthread_join(thread, NULL);
	client_end(hanging);
	client_end(trickling);
	client_end(client);
	peer_server_destroy(server);
	close(filling);
	close(full);
	close(slow);
}

/* Returns after another client's call, as a long parse would. */
static void
on_list(const peer_result_t *result, const GError *error, void *user)
{
	on_done(result, error, user);
	outcome_reached(user, 2, WAIT_S / 2);
}

/* Guards against a list whose parsing delays calls to other peers. */
TEST(long_callback_of_a_list_delays_no_other)
{
	seen_t seen;
	outcome_t list;
	peer_server_t *server = server_make(&seen);
	peer_client_t *fetching =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_client_t *client =
	    client_make(peer_server_address(server), SECRET, NULL);
	peer_call_t call = {.kind = PEER_CALL_FETCH, .fetch = {LIST_PLANS, 4}};

	outcome_init(&list);
	ck_assert(peer_client_send(fetching, &call, on_list, &list, NULL));
	outcome_wait(&list, 1);
	ck_quick(client);
	pthread_mutex_lock(&list.lock);
	list.done++;
	pthread_cond_signal(&list.wake);
	pthread_mutex_unlock(&list.lock);
	client_end(fetching);
	ck_assert_int_eq(list.errors, 0);
	g_free(list.text);
	client_end(client);
	peer_server_destroy(server);
}

/* Guards against a number of threads that grows with that of the peers, and
 * against calls to one peer that overtake each other. */
TEST(clients_share_threads_and_keep_the_order)
{
	enum { CLIENTS = 32, CALLS = 20 };
	seen_t seen;
	outcome_t outcome;
	peer_server_t *server = server_make(&seen);
	peer_client_t *many[CLIENTS];
	peer_call_t call = borrow_make();
	GDir *threads;
	int n = 0;

	for (int i = 0; i < CLIENTS; i++) {
		many[i] =
		    client_make(peer_server_address(server), SECRET, NULL);
		ck_assert(call_run(many[i], &call, &outcome));
	}
	threads = g_dir_open("/proc/self/task", 0, NULL);
	while (g_dir_read_name(threads) != NULL)
		n++;
	g_dir_close(threads);
	ck_assert_int_lt(n, CLIENTS);
	outcome_init(&outcome);
	g_atomic_int_set(&seen.misordered, 0);
	for (int i = 0; i < CALLS; i++) {
		call.borrow.request_id = 2 + (uint64_t)i;
		ck_assert(
		    peer_client_send(many[0], &call, on_done, &outcome, NULL));
	}
	outcome_wait(&outcome, CALLS);
	ck_assert_int_eq(outcome.errors, 0);
	ck_assert_int_eq(g_atomic_int_get(&seen.misordered), 0);
	for (int i = 0; i < CLIENTS; i++)
		client_end(many[i]);
	peer_server_destroy(server);
}

/* Guards against a record of tiny fragments that holds up the thread until its
 * end. */
TEST(one_read_takes_a_bounded_number_of_fragments)
{
	enum { FRAGMENTS = 2 * CONNECTION_READS };
	static const uint8_t fragment[5] = {0, 0, 0, 1, 'x'};
	static const uint8_t last[5] = {0x80, 0, 0, 1, 'x'};
	connection_state_t state = CONNECTION_OPEN;
	connection_t *connection;
	int fds[2];
	int turns = 0;

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	for (int i = 0; i < FRAGMENTS; i++)
		ck_assert_int_eq(
		    write(fds[1], i < FRAGMENTS - 1 ? fragment : last, 5), 5);
	connection = connection_create(fds[0], 1);
	for (; state == CONNECTION_OPEN && turns < FRAGMENTS; turns++)
		state = connection_read(connection, FRAGMENTS, 1);
	ck_assert_int_eq(state, CONNECTION_RECORD);
	ck_assert_uint_eq(connection->record->len, FRAGMENTS);
	ck_assert_int_ge(turns, 2 * FRAGMENTS / CONNECTION_READS);
	connection_destroy(connection);
	close(fds[1]);
}

TEST_MAIN("peer_rpc")
