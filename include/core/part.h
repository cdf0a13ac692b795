#ifndef CORE_PART_H
#define CORE_PART_H

#include <stdbool.h>

#include "core/snapshot.h"

/*
 * One zone's part of each team under the pair (plans, allowances) in force, and
 * lower bounds for the teams whose part rose since the last agreed pair. A team
 * that a list doesn't name has part 0. A team that a list adds has its part at
 * once when its pair is the next after the agreed one, else with the agreement.
 */
typedef struct parts parts_t;

parts_t *parts_create(const char *zone);
void parts_destroy(parts_t *parts);

/* Takes a reference to both lists. Cost: O(teams). */
void parts_adopt(
    parts_t *parts, plans_t *plans, allowances_t *allowances, time_us_t now);

/* Ends the lower bounds: the pair in force is agreed. */
void parts_agree(parts_t *parts, time_us_t now);
bool parts_are_agreed(const parts_t *parts);

/* Sets all parts to 0 until the next parts_agree(). */
void parts_void(parts_t *parts);

/* Plan of a team in the pair in force, or NULL. */
const plan_t *parts_plan(const parts_t *parts, const char *team);

/* Last time at which the part or the burst of this team alone rose; 0: never.
 */
time_us_t parts_raised_at(const parts_t *parts, const char *team);

share_t parts_lowest(const parts_t *parts, const char *team);
share_t parts_newest(const parts_t *parts, const char *team);
size_t parts_n_lowered(const parts_t *parts);

#endif
