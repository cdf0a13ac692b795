#ifndef CORE_ROLLOUT_H
#define CORE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/members.h"
#include "core/types.h"
#include "core/version.h"

/*
 * The configuration on its way through the fleet: for how long this instance
 * has lacked a version that others report, and which of them to get it from.
 *
 * Load pattern: operators add thousands of routes, and then change one of them
 * every second. Each instance hears of a version from dozens of others within
 * the same moment. At first only the few have it that read the publisher's
 * store, and their links, perhaps the slowest of the fleet, bear a few copies a
 * second. So the near ones are asked first, at random; one that is busy is left
 * for another, as each copy adds an instance that can be asked; and only a few
 * of a region ask other regions.
 */

/*
 * A version that no instance has reported for this long isn't waited for: the
 * only one that had it is gone, or its report was wrong.
 */
#define ROLLOUT_REPORT_MAX_AGE_US (2 * US_PER_S)

/* Instances with a newer version that are kept in mind. */
#define ROLLOUT_HOLDERS 16

/* Instances of a region that ask other regions at once. */
#define ROLLOUT_FAR_READERS 2

/* Lag from which on all of them do. */
#define ROLLOUT_FAR_US (600 * US_PER_MS)

/* Time for which an instance that was busy, or failed, isn't asked again. */
#define ROLLOUT_BUSY_US (100 * US_PER_MS)
#define ROLLOUT_FAILED_US US_PER_S

/*
 * Time for which a request that only a newer version may know waits for it, and
 * the part of the time its caller has left.
 */
#define ROLLOUT_WAIT_US US_PER_S
#define ROLLOUT_WAIT_SHARE 3

typedef struct {
	const char *version;
	uint32_t ip;
	member_place_t place;
} rollout_report_t;

typedef struct {
	uint32_t ip; /* 0: unused */
	member_place_t place;
	char version[VERSION_DIGITS_MAX + 1];
	time_us_t reported_at;
	time_us_t avoided_until;
} rollout_holder_t;

/* Initialized with zeros. */
typedef struct {
	char wanted[VERSION_DIGITS_MAX + 1]; /* VERSION_NONE: nothing */
	time_us_t wanted_since;
	time_us_t reported_at; /* last report of a newer version */
	rollout_holder_t holders[ROLLOUT_HOLDERS];
} rollout_t;

/* Records what another instance has. own: the version in force here. */
void rollout_note(rollout_t *rollout, const char *own,
    const rollout_report_t *report, time_us_t now);

/*
 * Records that own is in force here as of now. Returns the time since an
 * instance first reported it, or an earlier one that was missing; -1: none did.
 */
time_us_t rollout_note_own(rollout_t *rollout, const char *own, time_us_t now);

/* Returns whether a newer version than that in force here is known to exist. */
bool rollout_is_behind(const rollout_t *rollout, time_us_t now);

/* Time for which a version has been missing; 0: none is, as far as is known. */
time_us_t rollout_lag(const rollout_t *rollout, time_us_t now);

/*
 * Returns an instance to ask for a version above own, other than except; 0:
 * none. far: other regions may be asked before ROLLOUT_FAR_US.
 */
uint32_t rollout_pick(const rollout_t *rollout, const char *own, bool far,
    uint32_t except, uint64_t random, time_us_t now);

/*
 * Returns until when a request waits for the newer version that is known to
 * exist, however often it is decided on; 0: there is none. time_left of the
 * caller at its arrival; negative: unknown.
 */
time_us_t rollout_wait_end(const rollout_t *rollout, time_us_t arrived_at,
    time_us_t time_left, time_us_t now);

/* Records that the instance didn't answer with the version. */
void rollout_note_failed(
    rollout_t *rollout, uint32_t ip, bool busy, time_us_t now);

#endif
