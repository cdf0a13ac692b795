#ifndef PEER_SERVER_H
#define PEER_SERVER_H

#include <glib.h>

#include "core/heartbeat.h"
#include "peer/envelope.h"
#include "peer/messages.h"

/*
 * Answers calls of other instances: ONC RPC version 2 over TCP, without a port
 * mapper. One thread with poll(2) serves all connections and runs the handlers.
 *
 * The messages are coded with libtirpc, but its server transport is not used.
 * Measured with libtirpc 1.3.3 on loopback: in its blocking mode (svc_vc) one
 * connection that sent half a record delayed the answer to another one by
 * 34.9 s. In its non-blocking mode a peer that didn't read its 1 MiB replies
 * delayed the other one by 3.3 s, all of it processor time of a write loop.
 * Neither mode reports truncated records, and the record limit is one for the
 * process. Here sockets are non-blocking and a connection is closed when
 *
 * - a record is not complete PEER_RECORD_US after its first byte,
 * - a reply is not taken within PEER_WRITE_US,
 * - no authentic call came within PEER_STRANGER_US after it was opened,
 * - nothing came for PEER_IDLE_US, or
 * - a record is longer than a call can be.
 *
 * When PEER_CONNECTION_LIMIT connections are open, a new one replaces the
 * oldest without an authentic call, else the one idle for longest.
 *
 * A message that is malformed, unauthentic, replayed, truncated or oversized
 * reaches no handler. It is counted in peer_refused{reason=...} and logged at
 * most once a second. Reasons: malformed, oversized, truncated, unauthentic,
 * sender (heartbeat of another sender than its envelope's), replayed,
 * connections (closed to make room). Two more reasons stand for a call that
 * ran and whose reply was lost: slow_reader, and memory (unread replies above
 * PEER_UNREAD_LIMIT).
 * A call that only lacks the session is counted in peer_challenges.
 */

#define PEER_CONNECTION_LIMIT 512
#define PEER_RECORD_US (2 * US_PER_S)
#define PEER_WRITE_US (5 * US_PER_S)
#define PEER_STRANGER_US (5 * US_PER_S)
#define PEER_IDLE_US (60 * US_PER_S)
#define PEER_UNREAD_LIMIT ((size_t)32 << 20) /* bytes over all connections */

/*
 * Handlers run on the server's thread and must not block. in is valid during
 * the call only. Replies are zeroed before; a handler that has nothing to say
 * leaves them so. All must be set. They are called after the sender has been
 * authenticated.
 */
typedef struct {
	/* The server sets sender, incarnation and sent_at of the reply. */
	void (*on_heartbeat)(
	    const heartbeat_t *in, heartbeat_t *reply, void *user);
	/* reply->text, if set, is allocated with g_malloc; the server frees it.
	 */
	void (*on_fetch)(const peer_sender_t *from, const fetch_t *in,
	    fetch_reply_t *reply, void *user);
	void (*on_borrow)(const peer_sender_t *from, const borrow_request_t *in,
	    borrow_reply_t *reply, void *user);
	void (*on_return)(
	    const peer_sender_t *from, const return_t *in, void *user);
	void *user;
} peer_handlers_t;

typedef struct peer_server peer_server_t;

/*
 * Listens on address ("127.0.0.1:8201"; port 0: any) and starts the thread.
 * self, keys and handlers are copied. Returns NULL and sets error on failure.
 */
peer_server_t *peer_server_create(const char *address,
    const peer_sender_t *self, const envelope_keys_t *keys,
    const peer_handlers_t *handlers, GError **error);

/* Returns the bound address, for port 0. Owned by the server. */
const char *peer_server_address(const peer_server_t *server);

/* Closes all connections and joins the thread. No handler runs afterwards. */
void peer_server_destroy(peer_server_t *server);

#endif
