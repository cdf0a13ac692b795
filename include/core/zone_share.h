#ifndef CORE_ZONE_SHARE_H
#define CORE_ZONE_SHARE_H

#include <stdbool.h>

#include "core/snapshot.h"

/*
 * The share of one zone in the rate of each team, its zone share, under the
 * pair (plans, allowances) in force, and caps for teams whose zone share rose
 * since the last agreed pair: the lowest zone share since then. It is 0 for a
 * team that is not listed. A newly listed team gets its zone share at once when
 * its pair directly follows the agreed one, otherwise when its pair is agreed.
 */
typedef struct zone_shares zone_shares_t;

zone_shares_t *zone_shares_create(const char *zone);
void zone_shares_destroy(zone_shares_t *shares);

/* Puts a pair in force and takes a reference to both lists. Cost: O(teams). */
void zone_shares_adopt(zone_shares_t *shares, plans_t *plans,
    allowances_t *allowances, time_us_t now);

/* Marks the pair in force as agreed, which ends the caps. */
void zone_shares_agree(zone_shares_t *shares, time_us_t now);
bool zone_shares_are_agreed(const zone_shares_t *shares);

/* Makes zone_shares_lowest() return 0 for all teams until the next
 * zone_shares_agree(). */
void zone_shares_revoke(zone_shares_t *shares);

/* Returns the plan of a team in the pair in force, or NULL. */
const plan_t *zone_shares_plan(const zone_shares_t *shares, const char *team);

/* Returns when the zone share or burst of this team last rose; 0: never. A rise
 * for all teams at once (the first agreement) isn't counted. */
time_us_t zone_shares_raised_at(const zone_shares_t *shares, const char *team);

/* Returns the lowest zone share of a team since the last agreed pair. */
share_t zone_shares_lowest(const zone_shares_t *shares, const char *team);
/* Returns the zone share of a team under the pair in force. */
share_t zone_shares_newest(const zone_shares_t *shares, const char *team);
/* Returns the number of teams whose lowest zone share is below the newest. */
size_t zone_shares_n_lowered(const zone_shares_t *shares);

#endif
