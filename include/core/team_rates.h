#ifndef CORE_TEAM_RATES_H
#define CORE_TEAM_RATES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/types.h"
#include "core/zone_load.h"

/*
 * Limits the rate of each team over all instances. Each instance takes a share
 * in proportion to its demand.
 *
 * A team's callers move between regions within seconds, and one team may send
 * many times its rate. Fixed shares would refuse requests that are within the
 * rate. Instances report their demand to each other, refused requests included,
 * so the sum of the shares, TEAM_RATE_SHARE_SUM, doesn't depend on the demand.
 * Beyond this sum, the rate is only exceeded when demand moves faster than the
 * reports, and only until they arrive.
 *
 * A share is a token bucket whose balance may become negative, so that a
 * request larger than the share's burst can run. Requests are refused from a
 * debt of TEAM_RATE_MAX_DEBT, which the last accepted request may exceed.
 *
 * This is a simpler alternative to the shares and loans of limiter.h, which
 * stay exact during a partition. It is for operators that tolerate some excess
 * over their limits, and refuses less.
 */

/* Fraction of a rate that follows demand; the rest is divided evenly, so that
 * an instance can serve its first request of a team. */
#define TEAM_RATE_DEMAND_FRACTION 0.8

/*
 * Sum of all shares. More than one, so that demand that moves faster than the
 * reports isn't refused; the operators' limits leave 25% and a slack.
 */
#define TEAM_RATE_SHARE_SUM 1.12

/*
 * Debt at which an instance begins to refuse, as a multiple of an even share of
 * the burst: a share that shrinks for a moment because no request arrived
 * doesn't refuse the next one.
 */
#define TEAM_RATE_MAX_DEBT 1.0

/* Time constant of the average demand. */
#define TEAM_DEMAND_TAU_US (700 * US_PER_MS)

/* A report of another instance or region is used for this long. */
#define TEAM_REPORT_MAX_AGE_US (10 * US_PER_S)

#define TEAM_DEMAND_LIMIT 64

typedef struct {
	uint32_t team;	/* team_short_id() */
	uint32_t per_s; /* tokens or requests, per the team's setting */
} team_demand_t;

typedef struct team_rates team_rates_t;

team_rates_t *team_rates_create(int own_region);
void team_rates_destroy(team_rates_t *rates);

/* Keeps the state of teams that are also in the new catalog. */
void team_rates_set_catalog(
    team_rates_t *rates, const catalog_t *catalog, time_us_t now);

uint32_t team_short_id(const char *name);

/*
 * Charges cost to the team's share. Returns false when the team is over its
 * rate, and sets *retry_after to the time until the share accepts requests
 * again.
 */
bool team_rates_charge(team_rates_t *rates, int team, double cost,
    time_us_t now, time_us_t *retry_after);

/* Refunds the cost of a request that wasn't sent to any target. */
void team_rates_refund(team_rates_t *rates, int team, double cost);

/* Recalculates the shares. Call several times a second. n_instances: live ones.
 */
void team_rates_update(
    team_rates_t *rates, uint32_t n_instances, time_us_t now);

/* Writes the own demand, to report to the region's instances. Returns how many
 * entries. */
size_t team_rates_own_demand(
    const team_rates_t *rates, team_demand_t *demands, size_t limit);

/* Writes the demand of the own region, to report to other regions. */
size_t team_rates_region_demand(const team_rates_t *rates,
    team_demand_t *demands, size_t limit, time_us_t now);

/* Writes the demand of the own zone, to report to other zones of the region. */
size_t team_rates_zone_demand(const team_rates_t *rates, team_demand_t *demands,
    size_t limit, time_us_t now);

/* Replaces the report of an instance, or of another zone, of the own region. */
void team_rates_report_instance(team_rates_t *rates, load_sender_t sender,
    const team_demand_t *demands, size_t n, time_us_t now);

/* Replaces the report about another region. */
void team_rates_report_region(team_rates_t *rates, int region,
    const team_demand_t *demands, size_t n, time_us_t now);

#endif
