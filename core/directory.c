#include "core/directory.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
	const zone_t *zone;
	uint64_t zone_hash;
	uint64_t region_hash;
} zone_entry_t;

typedef struct {
	const instance_t *instance;
	uint32_t zone; /* index into zones */
	uint64_t hash;
} instance_entry_t;

struct directory {
	fleet_t *fleet;
	allowances_t *allowances;
	zone_entry_t *zones;
	size_t n_zones;
	instance_entry_t *instances; /* not leaving and in a known zone */
	size_t n_instances;
};

/* Rank of a zone for one query; smaller comes first. */
typedef struct {
	bool allowed;
	bool not_preferred; /* not in the preferred region */
	uint64_t region_score;
	double zone_score;
} zone_rank_t;

/* Sort key of one instance; smaller comes first. */
typedef struct {
	const instance_t *instance;
	directory_state_t state;
	const zone_rank_t *rank;
	uint64_t score;
} ranked_t;

static uint64_t
text_hash(const char *text, uint64_t seed)
{
	return XXH3_64bits_withSeed(text, strlen(text), seed);
}

static bool
zone_index(const directory_t *directory, const char *name, uint32_t *index)
{
	for (size_t i = 0; i < directory->n_zones; i++) {
		if (strcmp(directory->zones[i].zone->name, name) == 0) {
			*index = (uint32_t)i;
			return true;
		}
	}
	return false;
}

static void
zones_fill(directory_t *directory)
{
	const allowances_t *allowances = directory->allowances;

	directory->n_zones = allowances->n_zones;
	directory->zones = g_new0(zone_entry_t, directory->n_zones);
	for (size_t i = 0; i < directory->n_zones; i++) {
		const zone_t *zone = &allowances->zones[i];

		directory->zones[i] = (zone_entry_t){
		    zone, text_hash(zone->name, 0), text_hash(zone->region, 0)};
	}
}

directory_t *
directory_create(fleet_t *fleet, allowances_t *allowances)
{
	directory_t *directory = g_new0(directory_t, 1);

	directory->fleet = fleet_ref(fleet);
	directory->allowances = allowances_ref(allowances);
	zones_fill(directory);
	directory->instances = g_new0(instance_entry_t, fleet->n_instances);
	for (size_t i = 0; i < fleet->n_instances; i++) {
		const instance_t *instance = &fleet->instances[i];
		instance_entry_t *entry =
		    &directory->instances[directory->n_instances];

		/*
		 * Without a known zone the region is unknown, and so is whether
		 * the home rule permits the instance.
		 */
		if (instance->state == MEMBER_LEAVING ||
		    !zone_index(directory, instance->zone, &entry->zone))
			continue;
		entry->instance = instance;
		entry->hash = text_hash(instance->name, 0);
		directory->n_instances++;
	}
	return directory;
}

void
directory_destroy(directory_t *directory)
{
	if (directory == NULL)
		return;
	g_free(directory->zones);
	g_free(directory->instances);
	fleet_unref(directory->fleet);
	allowances_unref(directory->allowances);
	g_free(directory);
}

static bool
region_allowed(const directory_query_t *query, const char *region)
{
	if (query->home != NULL && strcmp(region, query->home) != 0)
		return false;
	if (query->regions == NULL)
		return true;
	for (char *const *allowed = query->regions; *allowed != NULL;
	     allowed++) {
		if (strcmp(*allowed, region) == 0)
			return true;
	}
	return false;
}

/* Weighted rendezvous hash: zones rank first in proportion to their weight. */
static double
weighted_rank(uint64_t hash, uint32_t weight)
{
	double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;

	return weight == 0 ? INFINITY : -log(uniform) / weight;
}

static zone_rank_t
zone_rank(const zone_entry_t *entry, const directory_query_t *query,
    uint64_t team_hash)
{
	const char *region = entry->zone->region;
	zone_rank_t rank = {.allowed = region_allowed(query, region)};

	if (!rank.allowed)
		return rank;
	rank.not_preferred = query->preferred_region == NULL ||
			     strcmp(region, query->preferred_region) != 0;
	rank.region_score = XXH3_64bits_withSeed(
	    &entry->region_hash, sizeof(entry->region_hash), team_hash);
	rank.zone_score =
	    weighted_rank(XXH3_64bits_withSeed(&entry->zone_hash,
			      sizeof(entry->zone_hash), team_hash),
		entry->zone->weight);
	return rank;
}

/* Three-way comparison of numbers. */
#define COMPARE(a, b) (((a) > (b)) - ((a) < (b)))

static int
ranked_compare(const ranked_t *a, const ranked_t *b)
{
	int order = COMPARE(a->state, b->state);

	if (order == 0)
		order = COMPARE(a->rank->not_preferred, b->rank->not_preferred);
	if (order == 0)
		order = COMPARE(a->rank->region_score, b->rank->region_score);
	if (order == 0)
		order = COMPARE(a->rank->zone_score, b->rank->zone_score);
	if (order == 0)
		order = COMPARE(a->score, b->score);
	if (order == 0)
		order = strcmp(a->instance->name, b->instance->name);
	return order;
}

/* Inserts candidate into the sorted array best of at most limit elements. */
static size_t
ranked_insert(ranked_t *best, size_t n, size_t limit, const ranked_t *candidate)
{
	size_t at = n;

	if (n == limit && ranked_compare(candidate, &best[n - 1]) >= 0)
		return n;
	if (n < limit)
		n++;
	else
		at--;
	for (; at > 0 && ranked_compare(candidate, &best[at - 1]) < 0; at--)
		best[at] = best[at - 1];
	best[at] = *candidate;
	return n;
}

static size_t
instances_rank(const directory_t *directory, const directory_query_t *query,
    const zone_rank_t *zones, uint64_t team_hash, ranked_t *best, size_t limit)
{
	size_t n = 0;

	for (size_t i = 0; i < directory->n_instances; i++) {
		const instance_entry_t *entry = &directory->instances[i];
		ranked_t candidate = {
		    entry->instance, DIRECTORY_READY, &zones[entry->zone], 0};

		if (!zones[entry->zone].allowed)
			continue;
		if (query->state_of != NULL)
			candidate.state =
			    query->state_of(entry->instance, query->context);
		if (candidate.state == DIRECTORY_LEAVING)
			continue;
		candidate.score = XXH3_64bits_withSeed(
		    &entry->hash, sizeof(entry->hash), team_hash);
		n = ranked_insert(best, n, limit, &candidate);
	}
	return n;
}

size_t
directory_order(const directory_t *directory, const directory_query_t *query,
    const instance_t **out, size_t limit)
{
	uint64_t team_hash = text_hash(query->team, 0);
	zone_rank_t *zones;
	ranked_t *best;
	size_t n;

	if (limit == 0)
		return 0;
	limit = MIN(limit, directory->n_instances);
	zones = g_new0(zone_rank_t, directory->n_zones);
	best = g_new(ranked_t, limit);
	for (size_t i = 0; i < directory->n_zones; i++)
		zones[i] = zone_rank(&directory->zones[i], query, team_hash);
	n = instances_rank(directory, query, zones, team_hash, best, limit);
	for (size_t i = 0; i < n; i++)
		out[i] = best[i].instance;
	g_free(best);
	g_free(zones);
	return n;
}

size_t
directory_bytes(const directory_t *directory)
{
	return sizeof(*directory) + directory->n_zones * sizeof(zone_entry_t) +
	       directory->fleet->n_instances * sizeof(instance_entry_t);
}
