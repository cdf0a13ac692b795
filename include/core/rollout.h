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
 * has lacked a version that others report.
 *
 * Load pattern: operators add thousands of routes, and then change one of them
 * every second. Each instance hears of a version from dozens of others within
 * the same moment.
 */

/*
 * A version that no instance has reported for this long isn't waited for: the
 * only one that had it is gone, or its report was wrong.
 */
#define ROLLOUT_REPORT_MAX_AGE_US (2 * US_PER_S)

typedef struct {
	char wanted[VERSION_DIGITS_MAX + 1]; /* VERSION_NONE: nothing */
	time_us_t wanted_since;
	time_us_t reported_at; /* last report of a newer version */
} rollout_t;

/* Records that another instance has this version. own: that in force here. */
void rollout_note(
    rollout_t *rollout, const char *own, const char *version, time_us_t now);

/*
 * Records that own is in force here as of now. Returns the time since an
 * instance first reported it, or an earlier one that was missing; -1: none did.
 */
time_us_t rollout_note_own(rollout_t *rollout, const char *own, time_us_t now);

/* Time for which a version has been missing; 0: none is, as far as is known. */
time_us_t rollout_lag(const rollout_t *rollout, time_us_t now);

#endif
