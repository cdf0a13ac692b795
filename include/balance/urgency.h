#ifndef BALANCE_URGENCY_H
#define BALANCE_URGENCY_H

#include <stdint.h>

#include "core/types.h"

/*
 * Which requests come first at the targets of one service, and how much room
 * the others leave to them.
 *
 * Load pattern: teams of equal rank ask for more than a service can do, with
 * short urgent requests and long less urgent ones of the same teams. Instances
 * choose independently: room that the urgent requests waiting at one instance
 * need is taken by the less urgent ones of another. Each less urgent request
 * therefore leaves a part of every target free, at most as large as the part of
 * more urgent ones in the work that was asked for lately, so that nothing has
 * to be agreed. Many small urgent requests thus take little room from the
 * others.
 */

/* Classes, 0 the most urgent; as many as core/queue.h has. */
#define URGENCY_CLASSES 4

/* Largest part of a target's slots and of its bearable load that is left free.
 */
#define URGENCY_RESERVE_MAX 0.25

/* Time constant with which earlier requests are forgotten. */
#define URGENCY_TAU_US (2 * US_PER_S)

/*
 * Returns the class of a request. The team's priority comes first and the
 * route's decides within it; 0 is the most urgent. team_priority: -1 if the
 * team has none.
 */
int urgency_class(int team_priority, int route_priority);

/* Work asked of one service lately. Initialized with zeros. */
typedef struct {
	double work[URGENCY_CLASSES]; /* weighted by age, as of updated_at */
	time_us_t updated_at;
} urgency_t;

/*
 * Work that a request asks for, in prompt tokens; at least 1, as for a plain
 * service. An output token takes as long as several tokens of a prompt.
 */
double urgency_work(uint32_t tokens_in, uint32_t tokens_out);

/* Records that a request of the class has arrived. */
void urgency_note(urgency_t *urgency, int class, double work, time_us_t now);

/* Part of the room that a request of the class leaves free, at most
 * URGENCY_RESERVE_MAX. */
double urgency_reserve(const urgency_t *urgency, int class);

/*
 * Longest expected time in ms to the first token at which a request may be sent
 * to a target. usual_ms holds for all; one whose objective is far off may wait
 * at the target, where it keeps it busy, unless more urgent ones would wait
 * behind it, as the reserve tells.
 */
double urgency_wait_limit_ms(
    double reserve, double usual_ms, int64_t objective_ms);

#endif
