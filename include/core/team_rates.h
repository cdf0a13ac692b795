#ifndef CORE_TEAM_RATES_H
#define CORE_TEAM_RATES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/types.h"

/*
 * Rates of teams over all instances, each of which takes a part in proportion
 * to the demand that it sees.
 *
 * Load pattern: a team's callers move between regions within seconds, and one
 * team sends many times its rate. Fixed parts would refuse what is within the
 * rate. Instances tell each other the demand that they see, refused requests
 * included, so the parts add up to one however high the demand is; only a shift
 * that is faster than the news can exceed the rate, and for as long.
 *
 * A part is a token bucket that may go into debt by one request, so that a
 * request larger than the part's burst can run.
 *
 * Simpler than the shares and loans of allotment.h, which are exact also across
 * a partition: an operator that grants a slack in its limits needs no exact
 * scheme, and the simpler one refuses less.
 */

/* Part of a rate that follows demand; the rest is the same for all, so that an
 * instance with its first request of a team can serve it. */
#define TEAM_RATE_FOLLOWS 0.8

/*
 * What the parts add up to. More than one, so that demand that moves faster
 * than the news isn't refused; the operators' limits leave 25% and a slack.
 */
#define TEAM_RATE_SUM 1.12

/*
 * Debt at which an instance begins to refuse, in parts of an even part of the
 * burst: a part that shrinks for a moment because no request came doesn't
 * refuse the next one.
 */
#define TEAM_RATE_DEBT 1.0

/* Time constant of the demand. */
#define TEAM_DEMAND_TAU_US (700 * US_PER_MS)

/* What another instance or region told counts for this long. */
#define TEAM_NEWS_LIFE_US (10 * US_PER_S)

#define TEAM_DEMAND_LIMIT 64

typedef struct {
	uint32_t team;	/* team_short_id() */
	uint32_t per_s; /* tokens or requests, as the team counts */
} team_demand_t;

typedef struct team_rates team_rates_t;

team_rates_t *team_rates_create(int own_region);
void team_rates_destroy(team_rates_t *rates);

/* Keeps the state of teams that the new catalog has as well. */
void team_rates_set_catalog(
    team_rates_t *rates, const catalog_t *catalog, time_us_t now);

uint32_t team_short_id(const char *name);

/*
 * Takes cost from the team's part. Returns false when it is over its rate, and
 * sets *retry_after to the time until the part has something again.
 */
bool team_rates_charge(team_rates_t *rates, int team, double cost,
    time_us_t now, time_us_t *retry_after);

/* Gives back what a request cost that wasn't sent anywhere. */
void team_rates_refund(team_rates_t *rates, int team, double cost);

/* Adapts the parts. Call several times a second. n_instances: live ones. */
void team_rates_update(
    team_rates_t *rates, uint32_t n_instances, time_us_t now);

/* Own demand, to tell the region's instances. Returns how many. */
size_t team_rates_own(
    const team_rates_t *rates, team_demand_t *demands, size_t limit);

/* Demand of the own region, to tell other regions. */
size_t team_rates_region(const team_rates_t *rates, team_demand_t *demands,
    size_t limit, time_us_t now);

/* Replaces what an instance of the own region told. */
void team_rates_hear_instance(team_rates_t *rates, uint32_t ip,
    const team_demand_t *demands, size_t n, time_us_t now);

/* Replaces what was told of another region. */
void team_rates_hear_region(team_rates_t *rates, int region,
    const team_demand_t *demands, size_t n, time_us_t now);

#endif
