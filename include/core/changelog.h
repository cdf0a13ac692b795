#ifndef CORE_CHANGELOG_H
#define CORE_CHANGELOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The newest value of each key of a store, and a history of superseded values
 * and removals that is bounded in number and in bytes. Tells readers what has
 * changed since the revision that they have.
 *
 * Readers need the newest change of a key only. The history lets them see the
 * states between, as long as these are small and few: without a superseded
 * value they skip a state, as they do when they read everything again. Without
 * a removal they would keep the key, so they have to read everything again.
 *
 * Load pattern: hundreds of small values that change a few times a minute, and
 * one of up to 1.4 MB that changes tens of times a second.
 */
#define CHANGELOG_HISTORY_LIMIT 512
#define CHANGELOG_HISTORY_BYTES ((size_t)256 << 10)

typedef struct changelog changelog_t;

typedef struct {
	const char *key;
	const char *value; /* NULL: removed */
	int64_t revision;
} change_t;

/* Returns false to end the iteration. */
typedef bool (*changelog_visit_t)(void *owner, const change_t *change);

changelog_t *changelog_create(void);
void changelog_destroy(changelog_t *log);

/* Forgets everything, as revisions are given out again. */
void changelog_clear(changelog_t *log);

/*
 * Records a change. value NULL: the key was removed. A change that isn't newer
 * than the last one of its key is ignored.
 */
void changelog_put(
    changelog_t *log, const char *key, const char *value, int64_t revision);

/*
 * All keys are recorded as they were at this revision. Only the first call
 * after the log is empty counts.
 */
void changelog_begin(changelog_t *log, int64_t revision);

/*
 * Returns whether a reader with everything up to this revision can continue, as
 * no later removal is missing.
 */
bool changelog_continues(const changelog_t *log, int64_t revision);

bool changelog_has_after(const changelog_t *log, int64_t revision);

/* Visits the changes after this revision in the order of their revisions. */
void changelog_visit_after(const changelog_t *log, int64_t revision,
    changelog_visit_t visit, void *owner);

/* Visits the keys that exist and come after this one, in order. NULL: all. */
void changelog_visit_keys(const changelog_t *log, const char *after,
    changelog_visit_t visit, void *owner);

/* Returns the bytes of the keys and values that are held. */
size_t changelog_bytes(const changelog_t *log);

#endif
