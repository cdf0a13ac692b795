#ifndef FAKES_TCP_RELAY_H
#define FAKES_TCP_RELAY_H

/*
 * A TCP relay on loopback in a thread of its own. It imitates faults of the
 * network between two processes, separately for each source of connections.
 */
typedef struct tcp_relay tcp_relay_t;

typedef enum {
	RELAY_PASS,
	RELAY_HOLD, /* accept, but carry no byte until passing again */
	RELAY_DROP  /* reset open and new connections */
} tcp_relay_mode_t;

#define RELAY_SOURCES 16

/* Returns the source, below RELAY_SOURCES, of a connection to the relay. */
typedef int (*tcp_relay_source_t)(void *user, int client_port, int relay_port);

/* Relays to 127.0.0.1:to_port. Without a function the source is 0. */
tcp_relay_t *tcp_relay_create(
    int to_port, tcp_relay_source_t source, void *user);
void tcp_relay_destroy(tcp_relay_t *relay);
int tcp_relay_port(const tcp_relay_t *relay);
void tcp_relay_set(tcp_relay_t *relay, int source, tcp_relay_mode_t mode);

#endif
