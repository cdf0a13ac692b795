#ifndef CORE_SPILL_H
#define CORE_SPILL_H

#include <stdbool.h>
#include <stddef.h>

#include "core/heartbeat.h"

/*
 * Decides whether a request without a free target in its zone is forwarded to
 * an instance of another zone. Keeps the last load report of each peer, the use
 * of the links to other regions and hysteresis flags for each service. Not
 * thread-safe; the caller must hold its lock.
 */

/* Default one-way delays. */
#define SPILL_ZONE_DELAY_US ((time_us_t)500)
#define SPILL_REGION_DELAY_US (80 * US_PER_MS)

/* Default of spill_settings_t.bandwidth, for each other region: 2 Gb/s, in
 * bytes per second. */
#define SPILL_REGION_BANDWIDTH ((int64_t)250000000)

/*
 * The weight of reported free slots falls linearly to zero at this age.
 * Heartbeats from other zones arrive every 5 s.
 */
#define SPILL_REPORT_MAX_AGE_US (15 * US_PER_S)

/*
 * Hysteresis: spilling starts when the local wait exceeds SPILL_START_FACTOR
 * times the cost of forwarding plus SPILL_START_MARGIN_US, and stops when the
 * wait no longer exceeds the cost.
 */
#define SPILL_START_FACTOR 2
#define SPILL_START_MARGIN_US (20 * US_PER_MS)

typedef struct {
	time_us_t zone_delay;	/* one way, between zones of a region */
	time_us_t region_delay; /* one way, between regions */
	int64_t bandwidth;	/* bytes per second to a region, this
				 instance's share */
} spill_settings_t;

typedef struct {
	const char *service;
	const char *zone;     /* of this instance */
	const char *home;     /* region of the team, or NULL */
	char *const *regions; /* allowed by the plan for the service,
				 NULL-terminated */
	int64_t bytes;	      /* expected size of request and answer */
	time_us_t local_wait; /* queue_expected_wait(); INT64_MAX when no
				 target of the zone is in service */
} spill_query_t;

typedef enum {
	SPILL_LOCAL,
	SPILL_FORWARD_ZONE,  /* to another zone of the same region */
	SPILL_FORWARD_REGION /* to another region */
} spill_verdict_t;

typedef struct {
	spill_verdict_t verdict;
	char instance[NAME_LIMIT + 1]; /* empty for SPILL_LOCAL */
	time_us_t cost;		       /* round trip, link queue and transfer */
} spill_choice_t;

typedef struct spill spill_t;

spill_t *spill_create(spill_settings_t settings);
void spill_destroy(spill_t *spill);

/*
 * Records the load reported in a heartbeat. Brief heartbeats carry no load and
 * don't renew the age of the report. A heartbeat of an instance that is
 * not ready or is draining removes the instance.
 */
void spill_record_load(
    spill_t *spill, const heartbeat_t *heartbeat, time_us_t now);

/* Removes an instance that left the fleet list or does not answer. */
void spill_remove_instance(spill_t *spill, const char *instance);

/*
 * Decides where a request is sent. Other zones of the same region are preferred
 * to other regions that the plan allows; a request of a team with a home is
 * never sent to another region. An instance is chosen at random in proportion
 * to its reported free slots, less the requests forwarded since and reduced by
 * the age of the report; seed is a random number. A forward immediately reduces
 * the free slots and the idle link capacity.
 */
spill_choice_t spill_decide(spill_t *spill, const allowances_t *allowances,
    const spill_query_t *query, uint64_t seed, time_us_t now);

/* Memory used, in bytes. */
size_t spill_bytes(const spill_t *spill);

#endif
