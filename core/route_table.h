#ifndef CORE_ROUTE_TABLE_H
#define CORE_ROUTE_TABLE_H

#include "core/route.h"

/* Internal table of route_t, shared by route.c and route_pick.c. */

typedef struct {
	char *name; /* NULL: free entry */
	char *service;
	char *url;
	uint64_t name_hash;
	uint32_t generation;
	uint32_t in_flight;
	uint32_t slots;
	uint32_t total_slots;	   /* of the target, for all instances */
	uint32_t others_in_flight; /* other instances, by the last report */
	time_us_t reported_at;
	time_us_t warm_up_started_at;
	time_us_t ejected_until; /* 0: healthy */
	time_us_t eject_duration_us;
	uint32_t failures; /* consecutive */
	bool probing;	   /* a half-open probe is running */
	bool listed;
	bool leaving;
} entry_t;

/* Targets of one service that accept new requests. */
typedef struct {
	GArray *target_indexes; /* uint32_t, ascending */
	uint32_t next_index;	/* round robin: lowest index to use next */
} service_entry_t;

/* A target that has a free slot. */
typedef struct {
	uint32_t index;
	uint32_t weight; /* relative capacity */
	int64_t load;	 /* requests x 1000 */
	uint64_t score;	 /* rendezvous hash */
} candidate_t;

struct route {
	route_settings_t settings;
	GArray *entries;      /* entry_t */
	GHashTable *by_name;  /* name -> index */
	GHashTable *services; /* name -> service_entry_t */
	GArray *candidates;   /* candidate_t, scratch space of route_pick() */
	int64_t load_sum; /* over the targets in service, set by route_pick() */
	int64_t weight_sum;
	bool any_warming_up; /* one of these is warming up */
	bool has_synced;     /* route_sync() was called before */
};

static inline entry_t *
entry_at(const route_t *route, uint32_t index)
{
	return &g_array_index(route->entries, entry_t, index);
}

/* Returns how many of the slots warm-up allows now. */
uint32_t route_entry_warm_slots(
    const route_t *route, const entry_t *entry, uint32_t slots, time_us_t now);

/* Returns the estimated number of requests on the target x 1000. */
int64_t route_entry_load(const entry_t *entry, time_us_t now);

bool route_entry_ejected(const entry_t *entry, time_us_t now);

/* Whether the target accepts new requests when it has a free slot. */
bool route_entry_in_service(const entry_t *entry, time_us_t now);

/* Whether the target has a free slot; warm_limit applies the warm-up limit. */
bool route_entry_free_slot(
    const route_t *route, const entry_t *entry, bool warm_limit, time_us_t now);

#endif
