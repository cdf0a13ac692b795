#ifndef CORE_LAG_H
#define CORE_LAG_H

#include <stdint.h>

#include "core/revision.h"
#include "core/types.h"

/*
 * How long this instance has lacked a version that other instances have.
 *
 * Load pattern: the relay of a region falls behind, and half of the instances
 * read from it. Their messages report old versions all the time and say nothing
 * about whether this instance is up to date. Only reaching the version that was
 * missing ends the lag.
 */

/*
 * A newer version that no instance has reported for this long is not waited
 * for: the only instance that had it is gone, or its report was wrong.
 */
#define LAG_REPORT_MAX_AGE_US (2 * US_PER_S)

typedef struct {
	revision_t wanted;     /* the version that is missing */
	revision_t newest;     /* newest version reported */
	time_us_t reported_at; /* last report of a newer version than the own */
	time_us_t since; /* when wanted was first reported; 0: up to date */
} lag_t;

/*
 * Records the version that another instance reports. own: version of this
 * instance. Returns for how long it has lacked a version, 0 if it is up to
 * date.
 */
time_us_t lag_note(
    lag_t *lag, revision_t own, revision_t reported, time_us_t now);

/* Time for which a version has been missing, by the last report; 0: none is. */
time_us_t lag_time(const lag_t *lag, time_us_t now);

/* Measures the lag from now on, after a measure against it was taken. */
void lag_restart(lag_t *lag, time_us_t now);

#endif
