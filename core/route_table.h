#ifndef CORE_ROUTE_TABLE_H
#define CORE_ROUTE_TABLE_H

#include "core/route.h"

/* The table behind route_t, shared by route.c and route_pick.c. */

typedef struct {
	char *name; /* NULL: free entry */
	char *service;
	char *url;
	uint64_t name_hash;
	uint32_t generation;
	uint32_t in_flight;
	uint32_t slots;
	uint32_t all_slots; /* of the target, over all instances */
	uint32_t others;    /* requests of other instances when it reported */
	time_us_t reported_at;
	time_us_t warm_since;
	time_us_t ejected_until; /* 0: healthy */
	time_us_t eject_us;
	uint32_t failures; /* in succession */
	bool probing;	   /* a half-open probe is running */
	bool listed;
	bool leaving;
} entry_t;

/* Targets of one service that may be offered work, as indexes. */
typedef struct {
	GArray *members; /* uint32_t, ascending */
	uint32_t turn;	 /* round robin: the lowest index to take next */
} service_entry_t;

/* A target that can take the request now. */
typedef struct {
	uint32_t index;
	uint32_t weight; /* share of the load that it should carry */
	int64_t load;	 /* requests x 1000 */
	uint64_t score;	 /* rendezvous hash */
} candidate_t;

struct route {
	route_settings_t settings;
	GArray *entries;      /* entry_t */
	GHashTable *by_name;  /* name -> index */
	GHashTable *services; /* name -> service_entry_t */
	GArray *candidates;   /* candidate_t, scratch of route_pick */
	int64_t load_sum;     /* over the targets seen by route_pick */
	int64_t weight_sum;
	bool warming; /* one of these has a warm-up limit */
	bool synced;  /* a list was adopted before */
};

static inline entry_t *
entry_at(const route_t *route, uint32_t index)
{
	return &g_array_index(route->entries, entry_t, index);
}

/* The part of slots that warm-up lets in now. */
uint32_t route_entry_warm_part(
    const route_t *route, const entry_t *entry, uint32_t slots, time_us_t now);

/* Estimated requests on the target, x 1000. */
int64_t route_entry_load(const entry_t *entry, time_us_t now);

bool route_entry_ejected(const entry_t *entry, time_us_t now);

/* Whether the target takes new work, now or when it has a free slot. */
bool route_entry_offered(const entry_t *entry, time_us_t now);

/* Whether the target can take a request now, within its warm-up or not. */
bool route_entry_free_slot(
    const route_t *route, const entry_t *entry, bool warm_limit, time_us_t now);

#endif
