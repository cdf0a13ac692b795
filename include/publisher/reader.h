#ifndef PUBLISHER_READER_H
#define PUBLISHER_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/plans_set.h"
#include "core/snapshot.h"

/*
 * Reads the three lists from the platform and watches them, on one thread.
 *
 *     GET <base>/v1/values/<name>                          200, text, ETag
 *     GET <base>/v1/values/<name>?after=<revision>&wait=30 200, or 304 when
 *                                                          nothing changed
 *
 * The revision is the ETag without quotes and is used for the watch only; which
 * text is newer is decided by the version inside it (core/lists).
 *
 * A plans list in parts has a value for each part, plans-PART-of-PARTS. Parts
 * that are not watched are read once within 30 s and then about every 2 h, as a
 * fallback; peers normally report their changes.
 *
 * Each list has at most one call outstanding. After a failure the next base URL
 * is queried, at a random time: within 1 s for the first failure, then 1..30 s
 * later (full jitter). The query has no revision, since revisions of two
 * platforms, or of one that was restored, can't be compared. A platform that
 * doesn't wait is queried at most once a second for each list, which keeps 400
 * instances below its limit of 2,000 calls a second.
 *
 * Counter: platform_reads{result=value|unchanged|status|too_large|invalid|
 * timeout|unreachable}. invalid: 200 without a usable ETag, or 304 to a call
 * without revision.
 */

#define PLATFORM_VALUE_LIMIT 1048576 /* bytes */
#define PLATFORM_REVISION_LIMIT 64   /* bytes of an ETag without quotes */

/*
 * Called on the reader's thread with each new text. text is
 * NUL-terminated and valid during the call only. The callback must not call
 * platform_reader_destroy.
 */
typedef void (*platform_value_t)(
    list_kind_t kind, const char *text, size_t len, void *user);

typedef struct {
	const char *const *bases;      /* NULL-terminated, http or https */
	const char *names[LIST_COUNT]; /* NULL: name of the list */
	unsigned wait_s;	       /* 0: 30 */
	unsigned timeout_s;	       /* of an answer, after wait_s; 0: 10 */
	unsigned retry_max_ms;	       /* 0: 30,000 */
	bool defer_plans; /* read plans only after the sources are set */
	platform_value_t on_value;
	void *user;
} platform_options_t;

typedef struct platform_reader platform_reader_t;

/*
 * Starts reading. options and its strings are copied. Proxies set in the
 * environment are not used. Returns NULL and sets error on failure.
 */
platform_reader_t *platform_reader_create(
    const platform_options_t *options, GError **error);

/*
 * Sets the parts of the plans list to read. Initially the undivided list is
 * read, or none with defer_plans. Takes effect within a second. Can be called
 * from any thread.
 */
void platform_reader_set_sources(
    platform_reader_t *reader, const plans_source_t *sources, size_t n);

/* Aborts outstanding calls and joins the thread. No callback runs afterwards.
 */
void platform_reader_destroy(platform_reader_t *reader);

#endif
