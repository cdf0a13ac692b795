#ifndef PEER_CLIENT_H
#define PEER_CLIENT_H

#include <glib.h>

#include "core/heartbeat.h"
#include "peer/envelope.h"
#include "peer/messages.h"

/*
 * Calls one other instance. Each client has its own thread, connection and
 * bounded queue, so that a slow or dead peer delays only the calls to itself.
 *
 * The connection is opened on demand (1 s limit) and kept. After a failure, the
 * next attempt waits a random time up to a limit that doubles from
 * PEER_BACKOFF_MIN_US to PEER_BACKOFF_MAX_US; calls that come meanwhile fail at
 * once, so that the caller can ask another peer. A call fails when no byte
 * came for 1 s. The limit is one on silence, not on the whole reply, because a
 * 1 MiB list between distant regions takes longer than 1 s on a fresh
 * connection.
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
 * Called exactly once for each accepted call, on the client's thread. result is
 * NULL when error is set. Both are valid during the call only. It may call
 * peer_client_send, but not peer_client_destroy.
 */
typedef void (*peer_done_t)(
    const peer_result_t *result, const GError *error, void *user);

typedef struct peer_client peer_client_t;

/* Starts the thread; doesn't connect. Returns NULL and sets error on failure.
 */
peer_client_t *peer_client_create(const char *address,
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

/* Breaks the call that is running, completes pending ones with an error, and
 * joins the thread. */
void peer_client_destroy(peer_client_t *client);

#endif
