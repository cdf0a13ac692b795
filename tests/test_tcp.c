#include "net/tcp.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "test.h"

/* More than the buffers of both sockets hold. */
#define OUTPUT_BYTES (16 << 20)

#define PART "a part of an answer"

/* Longest time for which a test waits for the end of a connection. */
#define WAIT_S 8.0

/* One connection to a peer that the test plays with blocking calls. */
typedef struct {
	struct ev_loop *loop;
	net_t *net;
	tcp_t *connection;
	int peer;
	GString *received;
	bool ended;
	tcp_end_t end;
} link_t;

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	g_string_append_len(
	    ((link_t *)owner)->received, (const char *)data, (gssize)len);
}

static void
on_ended(void *owner, tcp_end_t end)
{
	link_t *link = owner;

	link->ended = true;
	link->end = end;
	ev_break(link->loop, EVBREAK_ALL);
}

static const tcp_events_t events = {
    .received = on_received,
    .ended = on_ended,
};

static void
on_time(struct ev_loop *loop, ev_timer *timer, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static void
link_run(link_t *link, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_time, seconds, 0);
	ev_now_update(link->loop);
	ev_timer_start(link->loop, &timer);
	ev_run(link->loop, 0);
	ev_timer_stop(link->loop, &timer);
}

static void
link_create(link_t *link)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);
	int listening = socket(AF_INET, SOCK_STREAM, 0);

	*link = (link_t){.received = g_string_new(NULL)};
	ck_assert_int_eq(bind(listening, (struct sockaddr *)&at, len), 0);
	ck_assert_int_eq(listen(listening, 1), 0);
	getsockname(listening, (struct sockaddr *)&at, &len);
	link->loop = ev_loop_new(EVFLAG_AUTO);
	link->net = net_create(link->loop);
	link->connection = tcp_connect(link->net,
	    (net_address_t){INADDR_LOOPBACK, ntohs(at.sin_port)}, &events,
	    link);
	ck_assert_ptr_nonnull(link->connection);
	link->peer = accept(listening, NULL, NULL);
	ck_assert_int_ge(link->peer, 0);
	close(listening);
}

static void
link_destroy(link_t *link)
{
	tcp_close(link->connection);
	tcp_unref(link->connection);
	net_destroy(link->net);
	ev_loop_destroy(link->loop);
	g_string_free(link->received, TRUE);
}

/* Sends more than the peer reads. */
static void
output_begin(link_t *link)
{
	g_autofree char *output = g_strnfill(OUTPUT_BYTES, 'x');

	tcp_send(link->connection, output, OUTPUT_BYTES);
	link_run(link, 0.05);
	ck_assert_uint_gt(tcp_pending(link->connection), 0);
	ck_assert(!link->ended);
}

static void
peer_send(link_t *link, const char *text)
{
	ck_assert_int_eq(send(link->peer, text, strlen(text), MSG_NOSIGNAL),
	    (ssize_t)strlen(text));
}

/* Closes with unread bytes, which resets the connection. */
static void
peer_reset(link_t *link)
{
	close(link->peer);
}

/*
 * Guards against a part of an answer that is taken for whole: a write takes the
 * error of the reset, and the reader then sees an end without one.
 */
TEST(reset_during_output_is_no_orderly_end)
{
	for (int read_first = 0; read_first < 2; read_first++) {
		link_t link;

		link_create(&link);
		output_begin(&link);
		peer_send(&link, PART);
		if (read_first)
			link_run(&link, 0.05);
		peer_reset(&link);
		link_run(&link, WAIT_S);
		ck_assert(link.ended);
		ck_assert_int_eq(link.end, TCP_RESET);
		ck_assert_str_eq(link.received->str, PART);
		link_destroy(&link);
	}
}

/* The same where output is added after the write that failed. */
TEST(output_after_a_reset_leaves_its_error)
{
	link_t link;

	link_create(&link);
	output_begin(&link);
	peer_send(&link, PART);
	peer_reset(&link);
	tcp_send(link.connection, PART, strlen(PART));
	link_run(&link, 0);
	tcp_send(link.connection, PART, strlen(PART));
	link_run(&link, WAIT_S);
	ck_assert(link.ended);
	ck_assert_int_eq(link.end, TCP_RESET);
	link_destroy(&link);
}

/*
 * Guards against losing an answer that is whole: its end came before the reset
 * of the output that the peer didn't read.
 */
TEST(orderly_end_before_a_reset_stays_one)
{
	link_t link;

	link_create(&link);
	output_begin(&link);
	peer_send(&link, PART);
	shutdown(link.peer, SHUT_WR);
	peer_reset(&link);
	link_run(&link, WAIT_S);
	ck_assert(link.ended);
	ck_assert_int_eq(link.end, TCP_CLOSED_BY_PEER);
	ck_assert_str_eq(link.received->str, PART);
	link_destroy(&link);
}

/* The kernel ends a connection whose peer doesn't read for too long. */
TEST(timeout_of_output_is_no_orderly_end)
{
	link_t link;

	link_create(&link);
	output_begin(&link);
	peer_send(&link, PART);
	link_run(&link, WAIT_S);
	ck_assert(link.ended);
	ck_assert_int_eq(link.end, TCP_RESET);
	ck_assert_str_eq(link.received->str, PART);
	close(link.peer);
	link_destroy(&link);
}

TEST(end_without_output_is_told_as_it_was)
{
	for (int reset = 0; reset < 2; reset++) {
		link_t link;

		link_create(&link);
		tcp_send(link.connection, PART, strlen(PART));
		link_run(&link, 0.05);
		peer_send(&link, PART);
		if (!reset) {
			char unread[64];

			ck_assert_int_gt(
			    recv(link.peer, unread, sizeof(unread), 0), 0);
		}
		close(link.peer);
		link_run(&link, WAIT_S);
		ck_assert(link.ended);
		ck_assert_int_eq(
		    link.end, reset ? TCP_RESET : TCP_CLOSED_BY_PEER);
		ck_assert_str_eq(link.received->str, PART);
		link_destroy(&link);
	}
}

/* Guards against output of an ended connection that counts for ever. */
TEST(output_is_counted_while_it_is_held)
{
	size_t total = 7;
	link_t link;

	link_create(&link);
	tcp_count_output(link.connection, &total);
	tcp_send(link.connection, PART, strlen(PART));
	ck_assert_uint_eq(total, 7 + strlen(PART));
	link_run(&link, 0.05);
	ck_assert_uint_eq(total, 7);
	output_begin(&link);
	ck_assert_uint_eq(total, 7 + OUTPUT_BYTES);
	tcp_count_output(link.connection, NULL);
	ck_assert_uint_eq(total, 7);
	tcp_count_output(link.connection, &total);
	ck_assert_uint_eq(total, 7 + OUTPUT_BYTES);
	peer_reset(&link);
	link_run(&link, WAIT_S);
	ck_assert(link.ended);
	ck_assert_uint_eq(total, 7);
	link_destroy(&link);
}

static void
on_connected(void *owner)
{
	tcp_close(((link_t *)owner)->connection);
}

static const tcp_events_t closing_events = {
    .connected = on_connected,
    .received = on_received,
    .ended = on_ended,
};

/*
 * Guards against a request that reaches a target which left while the
 * connection was opened: the owner closes it then, and nothing may be sent.
 */
TEST(output_of_a_connection_closed_when_established_is_not_sent)
{
	link_t link;
	char byte;

	link_create(&link);
	tcp_set_owner(link.connection, &closing_events, &link);
	tcp_send(link.connection, "GET", 3);
	link_run(&link, 0.05);
	ck_assert_int_eq(recv(link.peer, &byte, 1, 0), 0);
	close(link.peer);
	link_destroy(&link);
}

TEST_MAIN("tcp")
