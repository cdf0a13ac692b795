#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/handle.h"
#include "core/snapshot.h"

/*
 * Targets of the instance's own zone and the choice among them. Not safe for
 * concurrent use; the caller holds its lock. Memory is that of the listed
 * targets plus those that left the list while requests were running on them.
 */

/* A report counts in full when it arrives and linearly less until this age. */
#define ROUTE_REPORT_LIFE_US (5 * US_PER_S)

/*
 * Warm-up: a target with a cold cache is offered a part of its slots that rises
 * linearly to all of them over this time. When no other target has a free slot
 * it is offered the rest too, since a queue costs more than a cold cache.
 */
#define ROUTE_WARM_UP_US (30 * US_PER_S)

/* Failures in succession that eject a target. */
#define ROUTE_EJECT_FAILURES 3

/* First ejection; each one after a failed probe is twice as long. */
#define ROUTE_EJECT_US (2 * US_PER_S)
#define ROUTE_EJECT_LIMIT_US (60 * US_PER_S)

/* Bounded load: a target is passed over above 1.25 x the mean load. */
#define ROUTE_BOUND_PERCENT 125

/*
 * A service is nearly full while at most this part of its own slots, rounded
 * up, is free. With 1/16 the p99 of the other teams no longer follows one team
 * that sends 5 times its rate (docs/MEASUREMENTS.md). 1/48 kept less of a
 * margin, and larger parts only delay that team more.
 */
#define ROUTE_RESERVE_PART 16
/* With fewer own slots none is kept free: one of a few is much of what an
 * otherwise idle service can do. */
#define ROUTE_RESERVE_SLOTS 8

/* Prompt bytes that make up the prefix hash. */
#define ROUTE_PREFIX_BYTES 256

typedef enum {
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_LOADED,
	ROUTE_TWO_CHOICES,
	ROUTE_AFFINITY,
	ROUTE_AFFINITY_BOUNDED,
	ROUTE_POLICY_COUNT
} route_policy_t;

/* The own slots bound the load; a bound of 1.25 x mean as well moved prefixes
 * away from their cache (docs/MEASUREMENTS.md). */
#define ROUTE_POLICY_DEFAULT ROUTE_AFFINITY

/* With affinity, warm-up raised the cost after a recovery and changed the p99
 * by no more than it varies between runs; policies by load gain by it
 * (docs/MEASUREMENTS.md). */
#define ROUTE_WARM_UP_DEFAULT false

typedef struct {
	route_policy_t policy;
	bool warm_up;
} route_settings_t;

typedef enum {
	ROUTE_PICKED,
	ROUTE_NO_TARGET, /* none in service, or no own slots on any */
	ROUTE_ALL_FULL	 /* at least one could take the request later */
} route_verdict_t;

typedef struct {
	route_verdict_t verdict;
	handle_t target; /* HANDLE_NONE unless picked */
} route_choice_t;

/* How a request ended, as far as it tells something about the target. */
typedef enum {
	ROUTE_OK,
	ROUTE_FAILED,	/* connection refused or lost, timeout, 5xx */
	ROUTE_CANCELLED /* the caller gave up: says nothing about the target */
} route_result_t;

/* State of one target for display and tests. Strings belong to the table. */
typedef struct {
	const char *name;
	const char *service;
	const char *url;
	uint32_t in_flight;  /* own requests */
	uint32_t slots;	     /* own part of the target's slots */
	uint32_t usable;     /* own slots within its warm-up now */
	uint32_t load_milli; /* estimated requests on the target x 1000 */
	bool listed;
	bool leaving;
	bool ejected; /* and not yet due for a probe */
} route_view_t;

/* Returns this instance's part of the slots of a target. */
typedef uint32_t (*route_slots_t)(const target_t *target, void *context);

typedef struct route route_t;

route_t *route_create(route_settings_t settings);
void route_destroy(route_t *route);

/* Returns "round_robin", "affinity_bounded" and so on. */
const char *route_policy_name(route_policy_t policy);

/*
 * Keyed hash of the first ROUTE_PREFIX_BYTES of a prompt. Instances of a zone
 * use the same key, so that they send a prefix to the same target. 0 stands for
 * "no prefix" and is returned for an empty prompt only.
 */
uint64_t route_prefix_hash(const void *prompt, size_t len, uint64_t key);

/*
 * Adopts a fleet list. Targets are matched by name: counts and health stay. A
 * target that is not listed any more takes no new work and is freed when its
 * last request ends. Targets of the first list count as warm; later ones, and
 * those with a new url, have a cold cache.
 */
void route_sync(route_t *route, const fleet_t *fleet, const char *zone,
    route_slots_t slots, void *context, time_us_t now);

/*
 * Chooses a target of the service that has a free slot. prefix is 0 when the
 * request has none: affinity policies then take the least loaded target.
 * exclude is the target that a retry must avoid, or HANDLE_NONE. The same
 * arguments and state give the same choice. Reserves nothing.
 */
route_choice_t route_pick(route_t *route, const char *service, uint64_t prefix,
    handle_t exclude, uint64_t seed, time_us_t now);

/*
 * Counts a request as running. Returns false, and counts nothing, when the
 * target is gone, leaving, ejected or full.
 */
bool route_start(route_t *route, handle_t target, time_us_t now);

/* Ends a request that route_start counted; call it exactly once for each. */
void route_finish(
    route_t *route, handle_t target, route_result_t result, time_us_t now);

/*
 * Takes the number of requests that a target reports to hold, those of other
 * instances included. A stale handle is ignored.
 */
void route_report(
    route_t *route, handle_t target, uint32_t load, time_us_t now);

/* Returns HANDLE_NONE when the table has no target of that name. */
handle_t route_find(const route_t *route, const char *name);

/* Returns false for a stale handle. */
bool route_view(
    const route_t *route, handle_t target, time_us_t now, route_view_t *view);

/* Own running requests and own slots over the listed targets of a service. */
void route_service_load(const route_t *route, const char *service,
    uint32_t *in_flight, uint32_t *slots);

/*
 * Whether a service has few free own slots on the targets that take new work;
 * see ROUTE_RESERVE_PART. A service without running requests, or with fewer
 * than ROUTE_RESERVE_SLOTS, never is.
 */
bool route_nearly_full(
    const route_t *route, const char *service, time_us_t now);

/* Number of targets in the table, those that left the list included. */
size_t route_size(const route_t *route);

/* Bytes of state. */
size_t route_bytes(const route_t *route);

#endif
