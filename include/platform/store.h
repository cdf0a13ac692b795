#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <glib.h>
#include <stdbool.h>

#include "core/catalog.h"
#include "core/revision.h"
#include "core/targets.h"
#include "core/topology.h"
#include "net/tcp.h"
#include "platform/replica.h"

/*
 * Client of the platform's metadata store. Reads the configuration, the
 * zone evacuations and the targets, then watches them for changes. Reads all
 * keys of a prefix again when its watch can't be resumed, and all keys when the
 * store has come back from an older copy (a new era). Answers of an older era
 * than the last one are not used. Decisions about
 * decoded values are left to the callbacks. A target that can't be decoded is
 * reported as removed; a configuration that can't be decoded is ignored.
 */

/*
 * The store answers a watch after this time even without changes. Short enough
 * that a dead connection is detected within STORE_WATCH_WAIT_MS +
 * STORE_RESPONSE_TIMEOUT_MS.
 */
#define STORE_WATCH_WAIT_MS 4000

/*
 * Maximum time without a byte of an answer, in addition to the wait of a watch,
 * and from its first byte to its end.
 */
#define STORE_RESPONSE_TIMEOUT_MS 1200
#define STORE_ANSWER_TIMEOUT_MS 10000

/*
 * Time for which an answer that arrives is waited for though others have newer
 * data. Another source would have to send all of it again.
 */
#define STORE_ANSWER_PATIENCE_US (4 * US_PER_S)

/*
 * Exponential backoff between attempts. Each delay is a random value between
 * half of the backoff and all of it.
 */
#define STORE_RETRY_MIN_MS 60
#define STORE_RETRY_MAX_MS 1000

/*
 * Delay before the next watch of targets. When many targets change at once,
 * each change would answer a watch of its own; the delay batches them.
 */
#define STORE_BATCH_DELAY_MS 200

typedef struct store store_t;

typedef struct {
	/*
	 * Returns whether this document is the loaded configuration. It is then
	 * not decoded again: a large one takes a few hundred
	 * milliseconds on 0.12 of a core.
	 */
	bool (*config_is_loaded)(void *owner, const uint8_t *text, size_t len);
	/* text is the published document, kept to serve other instances. */
	void (*config)(void *owner, catalog_t *catalog, GBytes *text);
	/* The published document can't be read; the one before stays. */
	void (*config_unreadable)(void *owner, const char *error);
	void (*target)(void *owner, const target_entry_t *entry);
	void (*target_removed)(void *owner, const char *id);
	void (*evacuation)(void *owner, const char *zone, bool evacuated);
	/*
	 * The list of targets is up to date, as far as the source knows. The
	 * store itself answers a request sent at requested_at (clock_now());
	 * 0: a relay does.
	 */
	void (*targets_listed)(void *owner, time_us_t requested_at);
	/* The store became reachable or unreachable. cause is for logs. */
	void (*reachable)(void *owner, bool reachable, const char *cause);
	/* All keys have been read once. */
	void (*loaded)(void *owner);
} store_events_t;

/*
 * answers: what other instances are answered, and packing: configurations that
 * have been in force here; see replica_create().
 */
store_t *store_create(net_t *net, net_address_t address,
    const topology_t *topology, const store_events_t *events, void *owner,
    uint64_t random, const memory_pool_t *answers, packing_t *packing);
void store_destroy(store_t *store);

/*
 * Reads from the replica of another instance (the relay) instead of the store;
 * NULL: reads from the store. A relay that fails isn't used for
 * SOURCE_RELAY_PAUSE_US.
 */
void store_set_relay(store_t *store, const net_address_t *relay);

/* Returns whether the relay failed or was left within SOURCE_RELAY_PAUSE_US. */
bool store_relay_is_paused(const store_t *store, const net_address_t *relay);

/*
 * Doesn't use the current relay for SOURCE_RELAY_PAUSE_US, as it lags behind
 * the store or has failed. Reads from the store until store_set_relay() names
 * another one. cause is for the log.
 */
void store_abandon_relay(store_t *store, const char *cause);

/*
 * Called when other instances have read a change that this one is missing:
 * abandons the relay, or, when there is none, the watches, and counts the store
 * as unreachable then. Does nothing while an answer arrives.
 */
void store_note_behind(store_t *store, revision_t missing);

/*
 * Returns why the last request failed, for logs; "" if one was answered since.
 */
const char *store_last_failure(const store_t *store);

/* Bytes that the client holds. */
typedef struct {
	size_t replica;	 /* keys and values for other instances */
	size_t unparsed; /* of answers of the store */
} store_memory_t;

store_memory_t store_memory(const store_t *store);

/*
 * Where the item that is reported by the present callback comes from. revision:
 * of its change; of the range for a key that it lacks; number 0: unknown.
 */
typedef struct {
	const char *source; /* "store" or "relay" */
	const char *by;	    /* "range", "watch", or "copy" after a restore */
	revision_t revision;
} store_origin_t;

store_origin_t store_origin(const store_t *store);

/* Returns since when it reads, or tries to, from its present source. */
time_us_t store_source_since(const store_t *store);

/* Returns the revision of the newest change that was read. */
revision_t store_revision(const store_t *store);

/*
 * The same without the configuration: what other instances measure their lag
 * by. Their configurations don't come from their source only (core/rollout.h),
 * so that one that is still on its way there is no reason to leave it.
 */
revision_t store_told_revision(const store_t *store);

/* Returns the revision up to which no change of a target is missing. */
revision_t store_targets_revision(const store_t *store);

/*
 * Returns the revision up to which no change is missing. A range has the state
 * after all changes before it, but doesn't tell the revisions of removals, so
 * this may be higher than store_revision().
 */
revision_t store_known_revision(const store_t *store);

/*
 * Serves a request of an instance that reads from this one; see
 * replica_request(). Answers 503 while this instance itself reads from a relay.
 */
replica_watch_t *store_serve(store_t *store, const http_head_t *head,
    int64_t now_ms, replica_reply_t reply, void *owner, bool *known);

/*
 * Answers pending watches whose wait has expired, and applies what was held
 * back after a restore. Call several times a second.
 */
void store_expire(store_t *store, int64_t now_ms);

/*
 * Asks the store whether the list of targets is still up to date, without
 * waiting for a change; targets_listed() follows. Returns false if a relay is
 * read, or the store can't be asked now.
 */
bool store_confirm(store_t *store);

/*
 * Drops pending requests and reads everything again. Called after the machine
 * was suspended.
 */
void store_refresh(store_t *store);

/*
 * Decode one published value. On failure, return NULL or false with an error
 * that states what is wrong.
 */
catalog_t *platform_catalog_read(
    const char *text, size_t len, const topology_t *topology, GError **error);
bool platform_target_read(const char *id, const char *text, size_t len,
    const topology_t *topology, target_entry_t *entry, GError **error);

#endif
