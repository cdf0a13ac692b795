#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include <stdbool.h>
#include <stddef.h>

#include "core/handle.h"
#include "core/snapshot.h"

/*
 * Table of the targets in the instance's own zone, and selection of one for
 * each request. Not thread-safe; the caller must hold its lock. Memory is
 * proportional to the number of listed targets plus those that were removed
 * from the list while requests were running on them. Used by core/gate.c;
 * gateway/ uses targets.h and placement.h instead.
 */

/* The weight of a load report falls linearly to zero at this age. */
#define ROUTE_REPORT_MAX_AGE_US (5 * US_PER_S)

/*
 * Warm-up: the usable slots of a target with a cold cache rise linearly to all
 * of its slots over this time. When no other target has a free slot, the rest
 * are used too, since waiting in the queue costs more than a cold cache.
 */
#define ROUTE_WARM_UP_US (30 * US_PER_S)

/* Consecutive failures that eject a target. */
#define ROUTE_EJECT_FAILURES 3

/* Duration of the first ejection; it doubles after each failed probe. */
#define ROUTE_EJECT_US (2 * US_PER_S)
#define ROUTE_EJECT_MAX_US (60 * US_PER_S)

/* Bounded load: a target above 1.25 x the mean load is skipped. */
#define ROUTE_BOUND_PERCENT 125

/*
 * A service is nearly full, and requests above their team's rate yield to other
 * teams (see gate_yields()), while at most 1/16 of this instance's slots for
 * it, rounded up, are free. With 1/16, the p99 of the other teams no longer
 * depends on a team that sends 5 times its rate (docs/MEASUREMENTS.md). 1/48
 * left less margin, and larger fractions only delay that team more.
 */
#define ROUTE_NEARLY_FULL_DIVISOR 16
/*
 * With fewer slots than this a service is never nearly full: one of a few slots
 * is a large fraction of the capacity of an otherwise idle service.
 */
#define ROUTE_NEARLY_FULL_MIN_SLOTS 8

/* Number of prompt bytes covered by the prefix hash. */
#define ROUTE_PREFIX_BYTES 256

typedef enum {
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_LOADED,
	ROUTE_TWO_CHOICES,
	ROUTE_AFFINITY,
	ROUTE_AFFINITY_BOUNDED,
	ROUTE_POLICY_COUNT
} route_policy_t;

/*
 * The slots already bound the load of a target. An additional bound of 1.25 x
 * the mean moved prefixes away from their cached target (docs/MEASUREMENTS.md).
 */
#define ROUTE_POLICY_DEFAULT ROUTE_AFFINITY

/*
 * With affinity, warm-up raised the cost after a recovery and changed the p99
 * by no more than the variation between runs. Policies that choose by load
 * benefit from it (docs/MEASUREMENTS.md).
 */
#define ROUTE_WARM_UP_DEFAULT false

typedef struct {
	route_policy_t policy;
	bool warm_up;
} route_settings_t;

typedef enum {
	ROUTE_PICKED,
	ROUTE_NO_TARGET, /* none in service, or this instance has no slots */
	ROUTE_ALL_FULL	 /* at least one could accept the request later */
} route_verdict_t;

typedef struct {
	route_verdict_t verdict;
	handle_t target; /* HANDLE_NONE unless picked */
} route_choice_t;

/* Outcome of a request, for the health check of its target. */
typedef enum {
	ROUTE_OK,
	ROUTE_FAILED,	/* connection refused or lost, timeout, 5xx */
	ROUTE_CANCELLED /* by the caller: no evidence about the target */
} route_result_t;

/*
 * Snapshot of one target for status output and tests. The strings are owned by
 * the table.
 */
typedef struct {
	const char *name;
	const char *service;
	const char *url;
	uint32_t in_flight;    /* requests of this instance */
	uint32_t slots;	       /* this instance's share of the slots */
	uint32_t usable_slots; /* of these, the number that warm-up allows */
	uint32_t load_milli;   /* estimated requests on the target x 1000 */
	bool listed;
	bool leaving;
	bool ejected; /* and no probe is due yet */
} route_view_t;

/* Returns this instance's share of the slots of a target. */
typedef uint32_t (*route_slots_t)(const target_t *target, void *context);

typedef struct route route_t;

route_t *route_create(route_settings_t settings);
void route_destroy(route_t *route);

/* Returns the name used in settings, for example "round_robin". */
const char *route_policy_name(route_policy_t policy);

/*
 * Seeded, non-cryptographic hash of the first ROUTE_PREFIX_BYTES of a prompt.
 * Instances of a zone use the same seed, so that they route a prefix to
 * the same target. 0 means "no prefix" and is returned only for an empty
 * prompt.
 */
uint64_t route_prefix_hash(const void *prompt, size_t len, uint64_t seed);

/*
 * Updates the table from a fleet list. Targets are matched by name and keep
 * their in-flight counts and health. A target that is no longer listed gets no
 * new requests and is freed when its last request ends. Targets of the first
 * list are assumed to be warm; targets added later, those whose URL changed,
 * and those that return from leaving or from an ejection have a cold cache.
 */
void route_sync(route_t *route, const fleet_t *fleet, const char *zone,
    route_slots_t slots, void *context, time_us_t now);

/*
 * Chooses a target of the service that has a free slot. prefix is 0 when the
 * request has none: affinity policies then choose the least loaded target.
 * exclude is the target that a retry must avoid, or HANDLE_NONE. Deterministic
 * for the same arguments and state. Reserves no slot.
 */
route_choice_t route_pick(route_t *route, const char *service, uint64_t prefix,
    handle_t exclude, uint64_t seed, time_us_t now);

/*
 * Occupies a slot of the target for a request. Returns false, and changes
 * nothing, when the target is gone, leaving, ejected or full.
 */
bool route_start(route_t *route, handle_t target, time_us_t now);

/* Ends a request started by route_start(); call exactly once for each. */
void route_finish(
    route_t *route, handle_t target, route_result_t result, time_us_t now);

/*
 * Records the number of requests that a target reports, which includes those of
 * other instances. A stale handle is ignored.
 */
void route_report(
    route_t *route, handle_t target, uint32_t load, time_us_t now);

/* Returns HANDLE_NONE when the table has no target of that name. */
handle_t route_find(const route_t *route, const char *name);

/* Returns false for a stale handle. */
bool route_view(
    const route_t *route, handle_t target, time_us_t now, route_view_t *view);

/* Sums this instance's requests and slots over a service's listed targets. */
void route_service_load(const route_t *route, const char *service,
    uint32_t *in_flight, uint32_t *slots);

/*
 * Whether few of this instance's slots are free on the service's targets that
 * accept new requests; see ROUTE_NEARLY_FULL_DIVISOR. Never true for a service
 * without running requests or with fewer than ROUTE_NEARLY_FULL_MIN_SLOTS
 * slots.
 */
bool route_nearly_full(
    const route_t *route, const char *service, time_us_t now);

/* Number of targets in the table, including those no longer listed. */
size_t route_size(const route_t *route);

/* Memory used, in bytes. */
size_t route_bytes(const route_t *route);

#endif
