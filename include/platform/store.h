#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <glib.h>
#include <stdbool.h>

#include "core/catalog.h"
#include "core/places.h"
#include "core/targets.h"
#include "net/tcp.h"
#include "platform/mirror.h"

/*
 * Client of the platform's metadata store. Reads the configuration, the
 * evacuations and the targets, then watches them, and reads everything again
 * when a watch can't go on. Only translates: it decides nothing about what it
 * reads.
 */

/* A watch is answered after this time even without news. Short enough that a
 * connection that went silent is noticed within STORE_WATCH_WAIT_MS +
 * STORE_ANSWER_MS. */
#define STORE_WATCH_WAIT_MS 4000

/* Longest time for an answer besides the wait. */
#define STORE_ANSWER_MS 1200

/* Pause before the next try; doubles, and each is spread over half its time. */
#define STORE_RETRY_MIN_MS 60
#define STORE_RETRY_MAX_MS 1000

/*
 * Pause before the next watch of targets. Load pattern: when many targets
 * change, each change answers a watch; in this time they are gathered in one.
 */
#define STORE_GATHER_MS 200

typedef struct store store_t;

typedef struct {
	/* text is what was published, for other instances. */
	void (*config)(void *owner, catalog_t *catalog, GBytes *text);
	void (*target)(void *owner, const target_entry_t *entry);
	void (*target_removed)(void *owner, const char *id);
	void (*evacuation)(void *owner, const char *zone, bool evacuated);
	/* The store stopped or began to answer. cause is text for logs. */
	void (*reachable)(void *owner, bool reachable, const char *cause);
	/* Everything has been read once. */
	void (*loaded)(void *owner);
} store_events_t;

store_t *store_create(net_t *net, net_address_t address, const places_t *places,
    const store_events_t *events, void *owner, uint64_t random);
void store_destroy(store_t *store);

/*
 * Reads from another instance in place of the store; NULL: from the store. A
 * relay that fails is left for STORE_RELAY_PAUSE_MS.
 */
#define STORE_RELAY_PAUSE_MS 5000
void store_set_relay(store_t *store, const net_address_t *relay);

/* The relay is known to be behind, or has failed. */
void store_leave_relay(store_t *store);

/* Revision of the newest change that was read. */
int64_t store_revision(const store_t *store);

/*
 * Serves an instance that reads from this one; see mirror_call(). Refuses while
 * this one reads from a relay itself.
 */
mirror_watch_t *store_serve(store_t *store, const http_head_t *head,
    int64_t now_ms, mirror_reply_t reply, void *owner, bool *known);

/* Answers watches that have waited long enough. Call often. */
void store_serve_waiting(store_t *store, int64_t now_ms);

/* Drops the waiting calls and reads everything again, after a suspension. */
void store_refresh(store_t *store);

/*
 * Decode one published value. Return NULL or false with an error that names the
 * field.
 */
catalog_t *platform_catalog_read(
    const char *text, size_t len, const places_t *places, GError **error);
bool platform_target_read(const char *id, const char *text, size_t len,
    const places_t *places, target_entry_t *entry, GError **error);

#endif
