#ifndef CORE_POISON_H
#define CORE_POISON_H

#include "core/heartbeat.h"
#include "core/types.h"

/*
 * Requests that stop the targets that run them. Bodies are known by a keyed
 * digest only.
 *
 * Only the instance that holds the connection to a target records its loss; an
 * instance that passed the request on does not. Several requests with the same
 * body, at one or more instances, can lose the same target at once, and this
 * must count as one:
 *
 * - At one instance, a target counts again only for a request that was
 *   dispatched to it after its last recorded loss.
 * - Instances of one zone share their targets. Each tells the others its own
 *   count, and the zone's count is the highest of these, not their sum. A
 *   request dispatched after a stamp arrived is a new loss and counts on top of
 *   it; one dispatched earlier may be the loss that the stamp told of.
 * - Zones have disjoint targets, so the counts of the zones add up.
 *
 * Two instances of a zone that lose different targets at the same time are
 * therefore counted as one loss, because stamps do not name targets.
 */

#define POISON_TABLE_LIMIT 4096
#define POISON_KEY_BYTES 32
/* A body that stopped this many targets is refused. */
#define POISON_LIMIT 2
/* Time for which it is refused, and for which a single loss is remembered. */
#define POISON_LIFE_US (600 * US_PER_S)
/* Zones of the region besides the own one that are counted apart; planned are
 * 26 zones in 7 regions. Further zones share the last count. */
#define POISON_ZONE_LIMIT 8

typedef struct poison_table poison_table_t;

/* zone is the instance's own. limit is the number of bodies remembered. */
poison_table_t *poison_table_create(const char *zone, size_t limit);
void poison_table_destroy(poison_table_t *table);

/* Digests a body. All instances of a region must use the same key. */
void poison_digest(const uint8_t key[POISON_KEY_BYTES], const char *service,
    const void *body, size_t len, uint8_t digest[DIGEST_BYTES]);

/* Returns 0, or the time until which the body is refused (REFUSAL_POISON). */
time_us_t poison_refused_until(
    poison_table_t *table, const uint8_t digest[DIGEST_BYTES], time_us_t now);

/*
 * Records that target was lost while it ran a request that was dispatched to it
 * at dispatched_at. Returns the number of targets lost, at least 1. Must be
 * called before a retry is decided: retry_decide takes the result.
 */
uint32_t poison_lost(poison_table_t *table, const uint8_t digest[DIGEST_BYTES],
    const char *target, time_us_t dispatched_at, time_us_t now);

/* The digest may leave the region: the team of the request has no home. */
void poison_allow_abroad(
    poison_table_t *table, const uint8_t digest[DIGEST_BYTES]);

/* Merges the stamps of a peer. */
void poison_merge(
    poison_table_t *table, const heartbeat_t *peer, time_us_t now);

/*
 * Sets heartbeat->poison to the latest losses that this instance itself
 * recorded. What it learned is not passed on, so no entry outlives its time by
 * going round among instances.
 */
void poison_fill(
    const poison_table_t *table, heartbeat_t *heartbeat, time_us_t now);

/* The same for a peer of another region. */
void poison_fill_abroad(
    const poison_table_t *table, heartbeat_t *heartbeat, time_us_t now);

/* Drops entries that are over. Returns how many. */
size_t poison_expire(poison_table_t *table, time_us_t now);

size_t poison_count(const poison_table_t *table);

#endif
