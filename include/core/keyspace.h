#ifndef CORE_KEYSPACE_H
#define CORE_KEYSPACE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/*
 * The keys that an instance has read from the publisher's store. Decides which
 * of the items that it reads are news.
 *
 * Load pattern: the store comes back from a copy some seconds old, on dozens of
 * instances at once, and what was written in the lost seconds is written again
 * within about two seconds. Until then the copy contradicts what was confirmed:
 * it lacks new keys and has removed and older ones. Within an era, sources that
 * lag answer with older items.
 *
 * Within an era the higher revision is newer. Across eras revisions can't be
 * compared; an item of the copy is recognized because it equals one that was
 * replaced or removed before. It is held back, and so is the removal of a key
 * that the copy lacks, until it is written again or the hold ends.
 */

/*
 * Time after which the store's word on a key that the copy lacks is taken: what
 * was lost has been written again by then.
 */
#define KEYSPACE_MISSING_HOLD_US (2500 * US_PER_MS)

/* Replaced and removed items that are remembered, the latest ones. */
#define KEYSPACE_REPLACED_LIMIT 4096

typedef struct keyspace keyspace_t;

typedef enum {
	KEYSPACE_APPLY,	 /* is in force */
	KEYSPACE_IGNORE, /* older than what is known */
	KEYSPACE_HOLD,	 /* restored from the copy, see keyspace_expire() */
} keyspace_verdict_t;

/* value is NULL for a key that is removed. */
typedef void (*keyspace_apply_t)(
    void *owner, const char *key, const char *value);

/*
 * restored_hold: time for which an item of the copy is held back that had been
 * replaced or removed.
 */
keyspace_t *keyspace_create(time_us_t restored_hold);
void keyspace_destroy(keyspace_t *keyspace);

/*
 * Begins an era. Known keys stay in force until a range or a change of the new
 * era says otherwise.
 */
void keyspace_begin_era(keyspace_t *keyspace, int64_t era, time_us_t now);

/* Begins to read all keys; those read before in an unfinished range don't
 * count. */
void keyspace_begin_range(keyspace_t *keyspace);

/* Records an item of a range or a watch. */
keyspace_verdict_t keyspace_put(
    keyspace_t *keyspace, const char *key, const char *value, int64_t revision);

/* Records that a key was removed. Returns false if a newer item is known. */
bool keyspace_remove(keyspace_t *keyspace, const char *key, int64_t revision);

/*
 * Ends a range of this revision. Calls removed, with a NULL value, for the keys
 * that it lacks and that are not newer; after an era began, not before
 * KEYSPACE_MISSING_HOLD_US.
 */
void keyspace_end_range(keyspace_t *keyspace, int64_t revision,
    keyspace_apply_t removed, void *owner);

/* Applies what was held back for long enough. Call several times a second. */
void keyspace_expire(
    keyspace_t *keyspace, time_us_t now, keyspace_apply_t apply, void *owner);

#endif
