#ifndef CORE_DEPARTURES_H
#define CORE_DEPARTURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/revision.h"
#include "core/types.h"

/*
 * What is known of targets that leave, from any source: an entry, an answer, a
 * removal, another instance. One fact for each start of a target. It only grows
 * while the target runs: no source that is behind takes it back. Instances tell
 * each other, so that how late one of them learns of it doesn't depend on its
 * own source alone.
 *
 * Load pattern: dozens of targets are replaced within seconds, while the
 * publisher refuses half of the instances and others are restarted.
 */

/* A departure is told to others for this long after an instance first knew. */
#define DEPARTURE_TELL_US (30 * US_PER_S)

/*
 * A new departure is told in each message, until others have told it
 * DEPARTURE_HEARD_MIN times or this time is over; then once in
 * DEPARTURE_RETELL_US, for instances that missed it. One of another region is
 * told in rounds only, which reach that region.
 */
#define DEPARTURE_FRESH_US (2 * US_PER_S)
#define DEPARTURE_HEARD_MIN 2
#define DEPARTURE_RETELL_US (2 * US_PER_S)

/* A departure is remembered for this long, and while its target is listed. */
#define DEPARTURE_KEEP_US (2 * DEPARTURE_TELL_US)

/* In the order in which they grow. */
typedef enum {
	/*
	 * Its entry is gone. It has left, or couldn't renew the entry while it
	 * was cut off from the publisher.
	 */
	DEPARTURE_REMOVED,
	DEPARTURE_LEFT,	   /* and it says itself that it isn't in service */
	DEPARTURE_LEAVING, /* it said itself that it leaves */
} departure_kind_t;

typedef struct {
	uint32_t target; /* target_short_id() */
	uint32_t start;	 /* target_start_id() */
	departure_kind_t kind;
	/* Of the entry that was last known, or of its removal. */
	revision_t revision;
	time_us_t known_at; /* when an instance first knew */
	bool local;	    /* the target is of the own region */
} departure_t;

typedef struct departures departures_t;

departures_t *departures_create(void);
void departures_destroy(departures_t *departures);

/*
 * Records a departure. told: another instance told it. Returns whether it is
 * new or has grown.
 */
bool departures_note(departures_t *departures, const departure_t *departure,
    bool told, time_us_t now);

/* NULL: none is known. */
const departure_t *departures_find(
    const departures_t *departures, uint32_t target, uint32_t start);

/* Forgets a departure, as a later entry shows that the target is in service. */
void departures_forget(
    departures_t *departures, uint32_t target, uint32_t start);

/*
 * Forgets departures that are over, but for those that keep returns true for.
 */
void departures_expire(departures_t *departures, time_us_t now,
    bool (*keep)(void *owner, const departure_t *departure), void *owner);

/*
 * Writes the departures that others are to be told now, at most limit, in turn.
 * round: the message is one of a round, and not a more frequent one. Returns
 * the number written.
 */
size_t departures_export(departures_t *departures, departure_t *out,
    size_t limit, bool round, time_us_t now);

#endif
