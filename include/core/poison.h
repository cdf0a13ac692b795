#ifndef CORE_POISON_H
#define CORE_POISON_H

#include "core/heartbeat.h"
#include "core/types.h"

/*
 * Detects requests that crash the targets that run them. Request bodies are
 * identified only by a keyed digest.
 *
 * Only the instance that holds the connection to a target records its loss; an
 * instance that forwarded the request does not. Several requests with the same
 * body, at one or more instances, can fail by the loss of one target, which
 * must be counted once:
 *
 * - At one instance, another loss of a target counts only for a request that
 *   was dispatched to it after its last recorded loss.
 * - Instances of one zone share their targets. Each reports its own count to
 *   the others in stamps (poison_stamp_t, part of a heartbeat), and the zone's
 *   count is the maximum of these, not their sum. The loss of a request that
 *   was dispatched after the last stamp that raised the zone's count is new and
 *   is added to that count; the loss of a request dispatched earlier
 *   may be the one that the stamp reported.
 * - Zones have disjoint targets, so the counts of the zones are added.
 *
 * Two instances of a zone that lose different targets at the same time are
 * therefore counted as one loss, because stamps do not name targets.
 */

#define POISON_TABLE_LIMIT 4096
#define POISON_KEY_BYTES 32
/* Number of target losses from which a body is refused. A target that is lost
 * twice counts twice. */
#define POISON_LIMIT 2
/* Time for which a body is refused, and for which a single loss is kept. */
#define POISON_TTL_US (600 * US_PER_S)
/*
 * Number of counts for other zones. With more zones than this, the last count
 * is shared. The planned deployment has 26 zones in 7 regions.
 */
#define POISON_ZONE_LIMIT 8

typedef struct poison_table poison_table_t;

/* zone is that of this instance. limit is the maximum number of bodies. */
poison_table_t *poison_table_create(const char *zone, size_t limit);
void poison_table_destroy(poison_table_t *table);

/* Computes a body's digest. Instances of a region must use the same key. */
void poison_digest(const uint8_t key[POISON_KEY_BYTES], const char *service,
    const void *body, size_t len, uint8_t digest[DIGEST_BYTES]);

/* Returns the time until which the body is refused (REFUSAL_POISON), or 0. */
time_us_t poison_refused_until(
    poison_table_t *table, const uint8_t digest[DIGEST_BYTES], time_us_t now);

/*
 * Records that target was lost while it ran a request that was dispatched to it
 * at dispatched_at. Returns the number of target losses, at least 1. Must be
 * called before the decision on a retry, as retry_decide() needs the result.
 */
uint32_t poison_record_loss(poison_table_t *table,
    const uint8_t digest[DIGEST_BYTES], const char *target,
    time_us_t dispatched_at, time_us_t now);

/*
 * Allows the entry of digest, if there is one, to be sent to other regions. For
 * requests of teams without a home region; call after poison_record_loss().
 */
void poison_allow_remote(
    poison_table_t *table, const uint8_t digest[DIGEST_BYTES]);

/* Merges the stamps received from a peer. */
void poison_merge(
    poison_table_t *table, const heartbeat_t *peer, time_us_t now);

/*
 * Sets heartbeat->poison to the latest losses recorded by this instance itself.
 * Received stamps are not sent on, so that no entry can outlive POISON_TTL_US
 * by circulating among instances.
 */
void poison_fill(
    const poison_table_t *table, heartbeat_t *heartbeat, time_us_t now);

/* The same for a peer in another region. */
void poison_fill_remote(
    const poison_table_t *table, heartbeat_t *heartbeat, time_us_t now);

/* Removes expired entries and returns how many. */
size_t poison_expire(poison_table_t *table, time_us_t now);

size_t poison_count(const poison_table_t *table);

#endif
