#ifndef BALANCE_OVERFLOW_H
#define BALANCE_OVERFLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which region gets a request that has no room in its own.
 *
 * Load pattern: regions whose peaks alternate. All instances of the one at its
 * peak have requests to pass on at the same moment, and know the room of the
 * others from reports that are some hundred milliseconds old. If each chose the
 * region with the most room, all would choose the same, and send it many times
 * what it has. Each takes its share of the room that a report tells, as all
 * others of its region do, and chooses at random in proportion to what is left
 * of its shares.
 */

/* What an instance may send to one region until the next report. */
typedef struct {
	uint32_t left; /* requests */
} overflow_share_t;

/* Value of overflow_pick() if nothing is left. */
#define OVERFLOW_NONE ((size_t)-1)

/*
 * Sets the share by a report. room: requests that could start in the region.
 * n_instances: of the own region, this one included. random: any number; the
 * remainder is divided at random, so that it is right on average. engine: the
 * room is of engines; that of a plain service isn't divided, as each of its
 * slots serves many requests between reports.
 */
void overflow_note_report(overflow_share_t *share, uint32_t room, bool engine,
    uint32_t n_instances, uint64_t random);

/* Returns the index of a region, or OVERFLOW_NONE. random: any number. */
size_t overflow_pick(const overflow_share_t *shares, size_t n, uint64_t random);

/* Counts a request that is sent there. */
void overflow_note_sent(overflow_share_t *share);

#endif
