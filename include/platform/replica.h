#ifndef PLATFORM_REPLICA_H
#define PLATFORM_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "common/packing.h"
#include "core/memory.h"
#include "http/reader.h"

/*
 * Replica of the keys that a store client has read (core/changelog.h). Serves
 * other instances that use this instance as a relay, with the same API as the
 * store. Answers 503 while the replica isn't current, that is, may be stale.
 *
 * Load pattern: up to fifty readers. A change completes the watches of all of
 * them at once, with the same answer, and a configuration may be as large as a
 * value of the store can be.
 */

/* An answer ends with the item that exceeds this size. */
#define REPLICA_ANSWER_BYTES ((size_t)1 << 20)

/* Field of a watch's query: the era that the revision is of. */
#define REPLICA_QUERY_ERA "era"

/*
 * Fields of a query that asks for large values as compressed copies
 * (common/packing.h): 1, and the digest of the document that the reader has. An
 * item or event then has the frame in base64, and the digest of its base if it
 * has one, instead of the value. Instances of versions without it send the
 * value.
 */
#define REPLICA_QUERY_PACKED "packed"
#define REPLICA_QUERY_BASE "base"
#define REPLICA_FIELD_PACKED "packed"
#define REPLICA_FIELD_BASE "base"

/* Smaller values, in base64, are sent as they are. */
#define REPLICA_PACK_MIN_BYTES 4096

typedef struct replica replica_t;
typedef struct replica_watch replica_watch_t;

/* era is 0 if unknown. body is JSON, valid until the callback returns. */
typedef void (*replica_reply_t)(
    void *owner, unsigned status, int64_t era, const char *body);

/*
 * Creates an empty replica of the keys with this prefix. answers counts the
 * bytes of answers that aren't sent yet, over all readers. Without room, a
 * range is refused (503), and a watch waits; it is refused when its time is
 * over. packing: documents that readers may have, and frames of them; NULL:
 * nothing is compressed.
 */
replica_t *replica_create(
    const char *prefix, const memory_pool_t *answers, packing_t *packing);
void replica_destroy(replica_t *replica);

/* Returns the bytes of the keys and values that it holds. */
size_t replica_bytes(const replica_t *replica);

/*
 * Empties the replica, as revisions are given out again. It isn't current until
 * replica_advance(); pending watches then get 410.
 */
void replica_begin_era(replica_t *replica, int64_t era);

/* value is the base64 text from the store; NULL: the key was deleted. */
void replica_put(
    replica_t *replica, const char *key, const char *value, int64_t revision);

/*
 * Marks the replica current up to revision. Answers the pending watches that
 * have changes, or that miss a removal (410).
 */
void replica_advance(replica_t *replica, int64_t revision);

/* Marks the replica as not current: pending watches get a 503. */
void replica_suspend(replica_t *replica);

/*
 * Answers pending watches whose wait has expired, or that waited for room. Call
 * several times a second.
 */
void replica_expire_watches(replica_t *replica, int64_t now_ms);

/*
 * Serves a request, immediately or later. Returns the pending watch, or NULL
 * when the request has been answered. Returns NULL without calling reply, and
 * sets *known to false, when the request is not for the keys of this replica.
 */
replica_watch_t *replica_request(replica_t *replica, const http_head_t *head,
    int64_t now_ms, replica_reply_t reply, void *owner, bool *known);

/* Drops a pending watch whose client is gone; reply isn't called. */
void replica_cancel_watch(replica_watch_t *watch);

#endif
