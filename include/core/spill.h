#ifndef CORE_SPILL_H
#define CORE_SPILL_H

#include <stdbool.h>
#include <stddef.h>

#include "core/heartbeat.h"

/*
 * Decides whether a request that finds no free target in its zone is forwarded
 * to an instance of another zone. State: the last load report of each peer, the
 * links to other regions and a hysteresis flag for each service. Not safe for
 * concurrent use; the caller holds its lock.
 */

/* One-way delays when the settings give none. */
#define SPILL_ZONE_DELAY_US ((time_us_t)500)
#define SPILL_REGION_DELAY_US (80 * US_PER_MS)

/* 2 Gb/s for a pair of regions, in bytes a second. */
#define SPILL_REGION_BANDWIDTH ((int64_t)250000000)

/* Reported free slots count fully when fresh and not at all after this age.
 * Heartbeats from other zones come every 5 s. */
#define SPILL_REPORT_LIFE_US (15 * US_PER_S)

/* Spilling starts when the local wait is this many times the cost of the way
 * there plus the margin, and stops when it is not above the cost. */
#define SPILL_START_FACTOR 2
#define SPILL_START_MARGIN_US (20 * US_PER_MS)

typedef struct {
	time_us_t zone_delay;	/* one way, between zones of a region */
	time_us_t region_delay; /* one way, between regions */
	int64_t bandwidth; /* bytes a second to a region: this instance's part
			    */
} spill_settings_t;

typedef struct {
	const char *service;
	const char *zone;     /* of this instance */
	const char *home;     /* region of the team, or NULL */
	char *const *regions; /* NULL-terminated that the plan allows for the
				 service */
	int64_t bytes;	      /* expected, request and answer */
	time_us_t local_wait; /* queue_expected_wait; INT64_MAX when no target
				 of the zone is in service */
} spill_query_t;

typedef enum {
	SPILL_STAY,
	SPILL_FORWARD_ZONE,  /* to another zone of the own region */
	SPILL_FORWARD_REGION /* to another region */
} spill_verdict_t;

typedef struct {
	spill_verdict_t verdict;
	char instance[NAME_LIMIT + 1]; /* empty when staying */
	time_us_t cost;		       /* round trip and transfer */
} spill_choice_t;

typedef struct spill spill_t;

spill_t *spill_create(spill_settings_t settings);
void spill_destroy(spill_t *spill);

/* Takes the load out of a heartbeat. One from an instance that is not ready or
 * drains removes its load. */
void spill_observe(spill_t *spill, const heartbeat_t *heartbeat, time_us_t now);

/* Forgets an instance that left the fleet list or does not answer. */
void spill_forget(spill_t *spill, const char *instance);

/*
 * Chooses where a request goes. Zones of the own region come first, then other
 * regions that the plan allows; the request of a team with a home is never sent
 * to another region. An instance is chosen in proportion to its free slots.
 * seed is a random number. A forward is counted against the free slots and the
 * link at once.
 */
spill_choice_t spill_decide(spill_t *spill, const allowances_t *allowances,
    const spill_query_t *query, uint64_t seed, time_us_t now);

/* Bytes of state. */
size_t spill_bytes(const spill_t *spill);

#endif
