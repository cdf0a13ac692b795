#ifndef CORE_CONTACT_H
#define CORE_CONTACT_H

#include <stdbool.h>

#include "core/types.h"

/*
 * Whether this instance hears of changes, so that what it hasn't heard of
 * hasn't happened, up to a moment ago.
 *
 * Load pattern: targets of a new version join while an instance is cut off or
 * stands still for some seconds, which it doesn't notice. Callers whose streams
 * began there through other instances come to it before anything else does.
 *
 * An instance is in contact while it hears most of the others, its list doesn't
 * lag behind theirs and the process itself runs, and only after a while of
 * this: right after a cut or a freeze it reads what was sent before. A part of
 * the fleet that is cut off hears itself, so that a few don't count. Otherwise,
 * as when most were killed, only an answer of the publisher to a request made
 * since tells.
 */

/*
 * Age of the last heartbeat of an instance that is heard: five gossip rounds,
 * as updates reach all of a large fleet only after some.
 */
#define CONTACT_HEARD_US (1250 * US_PER_MS)

/*
 * Time in which messages sent before have been read, and a lag reaches
 * CONTACT_LAG_US.
 */
#define CONTACT_SETTLE_US (750 * US_PER_MS)

/* Time between two updates after which the process has stood still. */
#define CONTACT_STALL_US (500 * US_PER_MS)

/* Lag at which the list may lack a target that others use. */
#define CONTACT_LAG_US (500 * US_PER_MS)

/* An answer of the publisher holds for this long after its request. */
#define CONTACT_CONFIRMED_US (500 * US_PER_MS)

/* Initialized with zeros: out of contact. */
typedef struct {
	time_us_t updated_at;
	time_us_t since;	/* most others are heard; 0: they aren't */
	time_us_t confirmed_at; /* request that the publisher answered */
} contact_t;

/* The publisher answered a request sent at that time: the list is current. */
void contact_note_confirmed(contact_t *contact, time_us_t requested_at);

/*
 * Call ten times a second. hears_most: see members_hears_most(). lag: time for
 * which this instance lacks a change that others have; 0: none.
 */
void contact_update(
    contact_t *contact, bool hears_most, time_us_t lag, time_us_t now);

/* Whether it hears most others; its own messages then probably arrive. */
bool contact_hears_most(const contact_t *contact, time_us_t now);

/* Whether no change is missing here, up to a moment ago. */
bool contact_holds(const contact_t *contact, time_us_t now);

#endif
