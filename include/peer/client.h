#ifndef PEER_CLIENT_H
#define PEER_CLIENT_H

#include <glib.h>

#include "core/heartbeat.h"
#include "peer/envelope.h"
#include "peer/messages.h"

/*
 * Calls other instances. One thread of a loop serves all its clients with
 * non-blocking sockets; each client has its own connection and bounded queue
 * and one call in progress, so that a slow or dead peer delays only the calls
 * to itself. Replies with a list are checked and completed on a second thread,
 * because parsing a list takes up to 250 ms (docs/CAPACITY.md).
 *
 * The connection is opened on demand (1 s limit) and kept. After a failure, the
 * next attempt waits a random time up to a limit that doubles from
 * PEER_BACKOFF_MIN_US to PEER_BACKOFF_MAX_US; calls that come meanwhile fail at
 * once, so that the caller can ask another peer. A call fails when no byte
 * came for 1 s. The limit is one on silence, not on the whole reply, because a
 * 1 MiB list between distant regions takes longer than 1 s on a fresh
 * connection. It also fails after PEER_CALL_US, so that a reply that trickles
 * doesn't keep its peer's queue waiting for ever.
 *
 * A call that fails after it was sent may have run. No call is sent twice,
 * except when the peer answered with a challenge, which says that it wasn't
 * run.
 *
 * Counters: peer_dropped{reason=...} for calls that were never sent
 * (queue_full, superseded, expired, backoff, unreachable, stopped) and
 * peer_calls{result=done|timeout|refused|failed}.
 */

#define PEER_QUEUE_LIMIT 64
#define PEER_TIMEOUT_S 1
#define PEER_CALL_US (10 * US_PER_S)
#define PEER_QUEUE_US (2 * US_PER_S) /* longest wait in the queue */
#define PEER_BACKOFF_MIN_US (100 * US_PER_MS)
#define PEER_BACKOFF_MAX_US (2 * US_PER_S)

typedef enum {
	PEER_CALL_HEARTBEAT = 1,
	PEER_CALL_FETCH = 2,
	PEER_CALL_BORROW = 3,
	PEER_CALL_RETURN = 4,
} peer_call_kind_t;

typedef struct {
	peer_call_kind_t kind;
	union {
		heartbeat_t heartbeat;
		fetch_t fetch;
		borrow_request_t borrow;
		return_t give_back;
	};
} peer_call_t;

typedef struct {
	peer_call_kind_t kind;
	peer_sender_t from; /* authenticated */
	union {
		heartbeat_t heartbeat;
		fetch_reply_t fetch; /* version 0 or >= min_version */
		borrow_reply_t borrow;
	};
} peer_result_t;

/*
 * Called exactly once for each accepted call, on a thread of the loop, and for
 * one client never twice at a time. result is NULL when error is set. Both are
 * valid during the call only. It may call peer_client_send, but not
 * peer_client_destroy. It delays the other clients: only that of a
 * PEER_CALL_FETCH with a result may take long.
 */
typedef void (*peer_done_t)(
    const peer_result_t *result, const GError *error, void *user);

typedef struct peer_loop peer_loop_t;
typedef struct peer_client peer_client_t;

/* Starts the threads. Returns NULL and sets error on failure. */
peer_loop_t *peer_loop_create(GError **error);

/* Joins the threads. All clients must have been destroyed. */
void peer_loop_destroy(peer_loop_t *loop);

/* self and keys are copied. Doesn't connect. Returns NULL and sets error when
 * the address is none. */
peer_client_t *peer_client_create(peer_loop_t *loop, const char *address,
    const peer_sender_t *self, const envelope_keys_t *keys, GError **error);

/*
 * Queues a call (copied); never blocks on the network. A heartbeat goes before
 * other calls. It supersedes a queued heartbeat, or the oldest call when the
 * queue is full; the superseded call completes with an error.
 * Returns false and sets error, and doesn't call done, when the call isn't
 * valid, the queue is full or the client is stopping. done may be NULL.
 */
bool peer_client_send(peer_client_t *client, const peer_call_t *call,
    peer_done_t done, void *user, GError **error);

/* Breaks the call that is running and completes pending ones with an error;
 * returns after the last callback. */
void peer_client_destroy(peer_client_t *client);

#endif
