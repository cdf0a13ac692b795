#ifndef CORE_STREAMS_H
#define CORE_STREAMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/*
 * Which software version of a service began a stream. What two versions write
 * doesn't fit together, so that a stream goes on only at the version that began
 * it.
 *
 * Load pattern: hundreds of streams begin each second at dozens of instances
 * while a release replaces targets for minutes; then instances are killed, up
 * to all at once, and callers resume their streams at others within seconds.
 *
 * Where there was one version in the life of a stream, and the list of targets
 * was up to date all the while and is now, the history tells it without a
 * message. The last is for the caller to know (current; core/contact.h): a
 * stream may have begun a moment ago, at a version that hasn't been heard of.
 * Otherwise the instance where a stream began tells its version. Its zone gets
 * all records soon after their begin: when a second version comes, the instance
 * may be dead or cut off. A few instances of each other zone get them when
 * there are two. A stream that has no record then is unknown, and isn't
 * resumed: the version of today's targets tells nothing, as its own may just
 * have left. docs/platform.md has the ways that were weighed.
 */

/*
 * Longest time between the first event of a stream and its last resumption, if
 * the timeout of its route isn't longer than half of it.
 */
#define STREAM_LIFE_MIN_US (20 * US_PER_S)

/* A record is kept for this long. */
#define STREAM_RECORD_AGE_US (60 * US_PER_S)

/* Not a version: the target may have been another one than its entry says. */
#define STREAM_VERSION_UNKNOWN 0

typedef struct streams streams_t;

typedef struct {
	uint64_t id; /* stream_id() of the caller's attempt that began it */
	uint32_t service;
	uint32_t version; /* or STREAM_VERSION_UNKNOWN */
} stream_record_t;

uint64_t stream_id(const char *request_id);

/* Identifies a version of a service's software; never 0. */
uint32_t stream_version(const char *service, const char *version);

/* now: from when on the list of targets is known. */
streams_t *streams_create(time_us_t now);
void streams_destroy(streams_t *streams);

/* A target of this version is listed. Call several times a second. */
void streams_note_version(
    streams_t *streams, uint32_t service, uint32_t version, time_us_t now);

/* The list of targets may have lacked one until now. */
void streams_note_gap(streams_t *streams, time_us_t now);

/* Records that a stream began at this instance. */
void streams_begin(
    streams_t *streams, const stream_record_t *record, time_us_t now);

/* Records what another instance tells. */
void streams_import(
    streams_t *streams, const stream_record_t *record, time_us_t now);

/*
 * Finds the version that began a stream. life: the longest that one may last.
 * Returns false if it is not known here.
 */
bool streams_find(const streams_t *streams, uint64_t id, uint32_t service,
    time_us_t life, bool current, time_us_t now, uint32_t *version);

/*
 * Finds the version of a stream whose caller doesn't name the attempt that
 * began it: the only one of the service that has been listed here in the last
 * STREAM_RECORD_AGE_US. Returns STREAM_VERSION_UNKNOWN if there were others, or
 * the list isn't current.
 */
uint32_t streams_only_version(
    const streams_t *streams, uint32_t service, bool current);

/* Which instances records are written for. */
typedef enum {
	STREAMS_FOR_ZONE,   /* the own zone */
	STREAMS_FOR_OTHERS, /* other zones */
	STREAMS_AUDIENCE_COUNT
} streams_audience_t;

/*
 * Writes records of this instance that these others haven't been told, the
 * latest first. Other zones need them only where the history doesn't tell the
 * version. Returns the number written.
 */
size_t streams_export(streams_t *streams, streams_audience_t audience,
    stream_record_t *records, size_t limit, bool current, time_us_t now);

/* Drops old records and versions. Call about once a second. */
void streams_expire(streams_t *streams, time_us_t now);

#endif
