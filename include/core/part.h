#ifndef CORE_PART_H
#define CORE_PART_H

#include <stdbool.h>

#include "core/snapshot.h"

/*
 * The share of one zone in the rate of each team, its zone share, under the
 * pair (plans, allowances) in force, and lower bounds for teams whose zone
 * share rose since the last agreed pair. It is 0 for a team that is not listed.
 * A newly listed team gets its zone share at once when its pair directly
 * follows the agreed one, otherwise when its pair is agreed.
 */
typedef struct zone_shares parts_t;

parts_t *parts_create(const char *zone);
void parts_destroy(parts_t *shares);

/* Puts a pair in force and takes a reference to both lists. Cost: O(teams). */
void parts_adopt(
    parts_t *shares, plans_t *plans, allowances_t *allowances, time_us_t now);

/* Marks the pair in force as agreed, which ends the lower bounds. */
void parts_agree(parts_t *shares, time_us_t now);
bool parts_are_agreed(const parts_t *shares);

/* Lowers all zone shares to 0 until the next parts_agree(). */
void parts_void(parts_t *shares);

/* Returns the plan of a team in the pair in force, or NULL. */
const plan_t *parts_plan(const parts_t *shares, const char *team);

/* Returns when the zone share or burst of this team last rose; 0: never. A rise
 * for all teams at once (the first agreement) isn't counted. */
time_us_t parts_raised_at(const parts_t *shares, const char *team);

/* Returns the lowest zone share of a team since the last agreed pair. */
share_t parts_lowest(const parts_t *shares, const char *team);
/* Returns the zone share of a team under the pair in force. */
share_t parts_newest(const parts_t *shares, const char *team);
/* Returns the number of teams whose lowest zone share is below the newest. */
size_t parts_n_lowered(const parts_t *shares);

#endif
