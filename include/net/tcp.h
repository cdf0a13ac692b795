#ifndef NET_TCP_H
#define NET_TCP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * TCP connections over IPv4 on one event loop. Nothing blocks. What is sent in
 * one turn of the loop goes out in one write at its end.
 *
 * Connections are reference counted: the creator holds one reference, and the
 * loop holds another until the connection is closed, so that a callback may
 * close its own connection.
 */

/*
 * The kernel ends a connection whose peer is silent after this many seconds
 * plus the probes, or whose data stay unacknowledged for the user timeout.
 */
#define NET_KEEPALIVE_IDLE_S 2
#define NET_KEEPALIVE_INTERVAL_S 1
#define NET_KEEPALIVE_PROBES 2
#define NET_USER_TIMEOUT_MS 4000

/* A closing connection waits this long for the peer to close as well. */
#define NET_LINGER_S 1.0

/* Bytes read at once. */
#define NET_READ_BYTES 65536

typedef struct net net_t;
typedef struct tcp tcp_t;

typedef struct {
	uint32_t ip;   /* host byte order */
	uint16_t port; /* host byte order */
} net_address_t;

typedef enum {
	TCP_FINISHED, /* the peer closed in order */
	TCP_RESET,    /* reset, or given up by the kernel */
	TCP_REFUSED,  /* not established */
} tcp_end_t;

/*
 * Callbacks get the owner. After ended, the connection is closed and no further
 * callback comes. drained may be NULL: all output has been written.
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

/* Reads "A.B.C.D:PORT". Returns false for anything else. */
bool net_address_parse(const char *text, net_address_t *address);

/* Returns NULL when no socket can be had; errno says why. */
tcp_t *tcp_connect(
    net_t *net, net_address_t address, const tcp_events_t *events, void *owner);

/* Takes over a connected socket. */
tcp_t *tcp_adopt(net_t *net, int fd, const tcp_events_t *events, void *owner);

tcp_t *tcp_ref(tcp_t *connection);
void tcp_unref(tcp_t *connection);

/* Hands the connection to another owner. */
void tcp_set_owner(tcp_t *connection, const tcp_events_t *events, void *owner);

void tcp_send(tcp_t *connection, const void *data, size_t len);

/* Bytes that are not written yet. */
size_t tcp_pending(const tcp_t *connection);

/* Stops or resumes reading. */
void tcp_pause(tcp_t *connection, bool paused);

/* Closes at once; unsent output is dropped. */
void tcp_close(tcp_t *connection);

/* Closes with a reset, so that the peer can't take an answer for whole. */
void tcp_abort(tcp_t *connection);

/*
 * Sends what is pending, ends the sending side and closes when the peer has
 * done so too, or after NET_LINGER_S. The owner gets no further callback.
 */
void tcp_finish(tcp_t *connection);

/* Tells whether the peer has closed or sent bytes that nobody has read. */
bool tcp_is_disturbed(const tcp_t *connection);

typedef struct listener listener_t;

/* accepted takes over the socket. Returns NULL with errno. */
listener_t *listener_create(net_t *net, net_address_t address,
    void (*accepted)(void *owner, int fd), void *owner);
void listener_destroy(listener_t *listener);

#endif
