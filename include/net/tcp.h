#ifndef NET_TCP_H
#define NET_TCP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TCP connections over IPv4 on one event loop. Nothing blocks. Data sent in one
 * iteration of the loop goes out in one write at its end.
 *
 * Connections are reference counted: the creator holds one reference, and the
 * loop holds another until the connection is closed, so that a callback may
 * close its own connection.
 */

/*
 * The kernel closes a connection whose data is unacknowledged for the user
 * timeout, or from which nothing arrives for so long, not even replies to the
 * probes: on Linux a user timeout replaces the number of probes. For accepted
 * connections it is NET_OUTPUT_STALL_MS.
 */
#define NET_KEEPALIVE_IDLE_S 2
#define NET_KEEPALIVE_INTERVAL_S 1
#define NET_KEEPALIVE_PROBES 2
#define NET_USER_TIMEOUT_MS 4000

/*
 * Maximum time from the end of the output of a finished connection until it is
 * closed.
 */
#define NET_LINGER_S 1.0

/*
 * An accepted connection is closed when its peer reads nothing for this long
 * while there is output. Callers may read slowly and with pauses.
 */
#define NET_OUTPUT_STALL_MS 10000

/*
 * libev priority of sockets. Above that of timers (0): after a stall, what
 * arrived before a timeout is handled before the timeout.
 */
#define NET_SOCKET_PRIORITY 1

/* Size of the read buffer. */
#define NET_READ_BYTES 65536

typedef struct net net_t;
typedef struct tcp tcp_t;

typedef struct {
	uint32_t ip;   /* host byte order */
	uint16_t port; /* host byte order */
} net_address_t;

typedef enum {
	TCP_CLOSED_BY_PEER, /* orderly close by the peer */
	TCP_RESET,	    /* reset by the peer, or timed out in the kernel */
	TCP_CONNECT_FAILED, /* could not be established */
} tcp_end_t;

/*
 * Callbacks receive the owner. ended is the last callback; the connection is
 * closed by then. drained is called on an open connection when a flush has left
 * no output, also directly after connecting. It may be NULL.
 */
typedef struct {
	void (*connected)(void *owner); /* may be NULL */
	void (*received)(void *owner, const uint8_t *data, size_t len);
	void (*ended)(void *owner, tcp_end_t end);
	void (*drained)(void *owner);
} tcp_events_t;

net_t *net_create(struct ev_loop *loop);
void net_destroy(net_t *net);
struct ev_loop *net_loop(const net_t *net);

/* Returns whether a connection after tcp_finish() still has output to send. */
bool net_has_unsent(const net_t *net);

/* Connections after tcp_finish() that are not closed yet. */
size_t net_n_finishing(const net_t *net);
void net_close_oldest_finishing(net_t *net);

/* Reads "A.B.C.D:PORT". Returns false for anything else. */
bool net_address_parse(const char *text, net_address_t *address);

/*
 * Returns NULL and sets errno when socket(2) or connect(2) fails immediately.
 * Later failures are reported as TCP_CONNECT_FAILED.
 */
tcp_t *tcp_connect(
    net_t *net, net_address_t address, const tcp_events_t *events, void *owner);

/* Takes ownership of a connected socket. */
tcp_t *tcp_adopt(net_t *net, int fd, const tcp_events_t *events, void *owner);

tcp_t *tcp_ref(tcp_t *connection);
void tcp_unref(tcp_t *connection);

/* Changes the owner and the callbacks. */
void tcp_set_owner(tcp_t *connection, const tcp_events_t *events, void *owner);

void tcp_send(tcp_t *connection, const void *data, size_t len);

/*
 * Counts the output that the connection holds in *total, until it is closed.
 * NULL: no longer.
 */
void tcp_count_output(tcp_t *connection, size_t *total);

/* Returns the errno of TCP_CONNECT_FAILED. */
int tcp_connect_error(const tcp_t *connection);

/* Returns the number of bytes that are not written yet. */
size_t tcp_pending(const tcp_t *connection);

/* The same with the bytes that the peer has not acknowledged. */
size_t tcp_undelivered(const tcp_t *connection);

/* Returns the number of received bytes that have not been read yet. */
size_t tcp_unread(const tcp_t *connection);

/* Stops or resumes reading. */
void tcp_pause(tcp_t *connection, bool paused);

/* Closes immediately and discards unsent output. */
void tcp_close(tcp_t *connection);

/*
 * Closes with a reset, so that the peer can't take a truncated response for a
 * complete one.
 */
void tcp_abort(tcp_t *connection);

/*
 * Sends pending output, shuts down the sending side and closes once the peer
 * has closed, at the latest NET_LINGER_S after the shutdown. Closes with unsent
 * output when the peer reads nothing for NET_OUTPUT_STALL_MS, and immediately
 * when the connection isn't established. The owner gets no further callbacks.
 */
void tcp_finish(tcp_t *connection);

/*
 * Looks for an end of the connection that waits to be read, and reports it as
 * if it had been read. An end behind unread bytes isn't seen. Returns whether
 * the connection has ended.
 */
bool tcp_check_end(tcp_t *connection);

/*
 * Returns whether a connection can't be reused: it is closed, or the peer has
 * closed it or sent data that is unread.
 */
bool tcp_is_stale(const tcp_t *connection);

typedef struct listener listener_t;

/* accepted takes ownership of the socket. Returns NULL and sets errno. */
listener_t *listener_create(net_t *net, net_address_t address,
    void (*accepted)(void *owner, int fd), void *owner);
void listener_destroy(listener_t *listener);

#endif
