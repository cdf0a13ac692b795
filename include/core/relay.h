#ifndef CORE_RELAY_H
#define CORE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/changelog.h"
#include "core/memory.h"

/*
 * A copy of the publisher's store (core/changelog.h) that other instances read:
 * whether it is current, the readers that wait for changes, and when each of
 * them is answered, and how. What is asked and sent is left to the callback.
 *
 * Load pattern: up to fifty readers. A change completes the watches of all of
 * them at once, with an answer as large as a value of the store can be.
 */
typedef struct relay relay_t;

typedef enum {
	RELAY_WAIT,    /* for changes, or for room */
	RELAY_ANSWER,  /* with the changes; none: the wait is over */
	RELAY_LOST,    /* a removal isn't known any more: read all again */
	RELAY_STALE,   /* the copy may be stale */
	RELAY_NO_ROOM, /* for another answer */
	RELAY_ENDS,    /* nothing is sent */
} relay_verdict_t;

/* Part of what the caller keeps for a reader. */
typedef struct {
	int64_t after; /* the reader has all up to this revision */
	int64_t deadline_ms;
} relay_watch_t;

/* The watch isn't used any more; the callback frees it. */
typedef void (*relay_reply_t)(
    void *owner, relay_watch_t *watch, relay_verdict_t verdict);

/*
 * answers counts the bytes of answers that aren't sent yet, over all readers;
 * an answer may have answer_bytes and its last item.
 */
relay_t *relay_create(const memory_pool_t *answers, size_t answer_bytes,
    relay_reply_t reply, void *owner);
/* Pending watches get RELAY_ENDS. */
void relay_destroy(relay_t *relay);

/* The copy; changed by changelog_put() only. */
changelog_t *relay_log(const relay_t *relay);
int64_t relay_era(const relay_t *relay);
/* Up to which the copy is complete. */
int64_t relay_revision(const relay_t *relay);

/*
 * Empties the copy, as revisions are given out again. It isn't current until
 * relay_advance(); pending watches are lost then.
 */
void relay_begin_era(relay_t *relay, int64_t era);

/* Marks the copy current up to revision, and answers who waited for it. */
void relay_advance(relay_t *relay, int64_t revision);

/* Marks the copy as stale, and answers all pending watches so. */
void relay_suspend(relay_t *relay);

/*
 * Answers watches whose wait is over, or that waited for room. Call several
 * times a second.
 */
void relay_expire(relay_t *relay, int64_t now_ms);

/* Whether all keys may be read now: RELAY_ANSWER, RELAY_STALE, RELAY_NO_ROOM.
 */
relay_verdict_t relay_may_read(const relay_t *relay);

/*
 * Adds a watch, or answers it at once. era: of its revision, or that of the
 * copy. Returns whether it is pending.
 */
bool relay_watch(relay_t *relay, relay_watch_t *watch, int64_t era);

/* Returns whether the watch was pending; the caller frees it. */
bool relay_cancel(relay_t *relay, relay_watch_t *watch);

#endif
