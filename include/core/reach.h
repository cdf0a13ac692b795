#ifndef CORE_REACH_H
#define CORE_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/*
 * Whether this instance reaches the targets of its region at all. Others may
 * reach them when it doesn't, so its requests are better passed on.
 *
 * Load pattern: an instance loses its links to all targets, while callers and
 * other instances still reach it. Each target would be found out alone, with
 * requests that wait for a connection. One target that fails says nothing: it
 * crashes, or is silent for a second. Connections to several different targets
 * that fail in a short time, and none that succeeds in between, do. After the
 * first failure, and while the targets are lost, connections are opened as
 * probes, so that neither verdict costs a request.
 */

/* Distinct targets that must fail, or all if there are fewer. */
#define REACH_FAILURES 3

/* Failures that are further apart don't belong together. */
#define REACH_WINDOW_US (1500 * US_PER_MS)

/*
 * An established connection answers a silence of the targets for this long:
 * they may just be slow.
 */
#define REACH_ANSWERED_US US_PER_S

/* Interval of the probes while a loss is suspected, and after it. */
#define REACH_SUSPECT_INTERVAL_US (100 * US_PER_MS)
#define REACH_LOST_INTERVAL_US (300 * US_PER_MS)

typedef struct {
	uint32_t target; /* target_short_id() */
	time_us_t at;
} reach_failure_t;

/* Zero-initialized: the targets are reached. */
typedef struct {
	reach_failure_t failures[REACH_FAILURES];
	size_t n_failures;
	bool lost;
	time_us_t lost_at;
	time_us_t connected_at; /* last established connection; 0: none */
	time_us_t probed_at;
} reach_t;

/*
 * Records that a new connection to a target was established. Returns whether
 * the targets were lost until now.
 */
bool reach_note_connected(reach_t *reach, time_us_t now);

/*
 * Records that a new connection to a target failed. n_targets: those of the
 * region that requests may be sent to. Returns whether the targets are lost as
 * of now.
 */
bool reach_note_failed(
    reach_t *reach, uint32_t target, size_t n_targets, time_us_t now);

bool reach_is_lost(const reach_t *reach);

/*
 * Returns whether to open a probe now. silent: the targets that have requests
 * send nothing.
 */
bool reach_take_probe(reach_t *reach, bool silent, time_us_t now);

#endif
