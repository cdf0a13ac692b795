#ifndef CORE_SOURCE_H
#define CORE_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"

/*
 * Sources of what the publisher's store holds: the store itself, and instances
 * that pass it on (relays). Decides which relays may be read, and whether an
 * answer is of the past.
 *
 * Load pattern: a relay fails or lags while dozens of instances read from it,
 * and others name it to them again; the store comes back from an older copy,
 * and relays answer with what it was before.
 */

/* Relays that are left at a time. The one left first is replaced first. */
#define SOURCE_LEFT_LIMIT 4

/* Time for which a relay that failed or lagged isn't read. */
#define SOURCE_RELAY_PAUSE_US (5 * US_PER_S)

/*
 * Answers of an older era come from sources that lag. If the store itself gives
 * no others for this long, the newer era was reported in error.
 */
#define SOURCE_ERA_FALL_US (5 * US_PER_S)

/* Initialized with zeros. */
typedef struct {
	int64_t era;	       /* 0: unknown */
	time_us_t older_since; /* answers of the store; 0: they aren't */
	struct {
		uint64_t relay;
		time_us_t until;
	} left[SOURCE_LEFT_LIMIT];
} sources_t;

typedef enum {
	ANSWER_CURRENT,
	ANSWER_NEW_ERA, /* the caller begins the era by setting it */
	ANSWER_OLDER,	/* outdated */
} answer_verdict_t;

/* era: that the answer names; 0: none. relayed: a relay gave it. */
answer_verdict_t sources_judge(
    sources_t *sources, int64_t era, bool relayed, time_us_t now);

/* relay identifies an instance. */
void sources_leave(sources_t *sources, uint64_t relay, time_us_t now);
bool sources_may_read(const sources_t *sources, uint64_t relay, time_us_t now);

#endif
