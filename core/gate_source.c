#include <string.h>
#include <xxhash.h>

#include "gate_internal.h"

/*
 * Selects the parts of the plans list that this instance watches at the
 * platform. The platform allows 2,000 calls a second, and a pending watch
 * counts as one. At 400 instances the two other lists take 800 watches.
 * WATCH_BUDGET is left for parts, with 400 calls a second in reserve for reads
 * after changes. So each part is watched by a few instances of each zone, and
 * by all of them in a small fleet. The others learn of a change by the
 * heartbeats that a watcher sends as soon as it has adopted it.
 */
#define WATCH_BUDGET 800

/* A watcher from which nothing was received for this long is replaced: two
 * heartbeat intervals of a large fleet and a margin. */
#define WATCHER_TIMEOUT_US (12 * US_PER_S)

static uint64_t
watch_score(const char *instance, uint32_t part)
{
	return XXH3_64bits_withSeed(instance, strlen(instance), part);
}

/*
 * Returns how many instances of the zone precede this one as watcher of a part
 * (rendezvous hashing). Instances from which nothing was received are left out,
 * so each part has a watcher in the zone as long as an instance is alive,
 * whichever connections work.
 */
static uint32_t
watch_rank(const gate_t *gate, uint32_t part, time_us_t now)
{
	const fleet_t *fleet = gate->view.fleet;
	uint64_t own_score = watch_score(gate->name, part);
	uint32_t rank = 0;

	for (size_t i = 0; i < fleet->n_instances; i++) {
		const instance_t *other = &fleet->instances[i];

		if (strcmp(other->zone, gate->zone) == 0 &&
		    strcmp(other->name, gate->name) != 0 &&
		    watch_score(other->name, part) > own_score &&
		    lists_seen_since(
			gate->lists, other->name, now - WATCHER_TIMEOUT_US))
			rank++;
	}
	return rank;
}

static void
sources_add(const gate_t *gate, uint32_t parts, uint32_t total_parts,
    time_us_t now, GArray *sources)
{
	uint32_t zones = MAX(g_hash_table_size(gate->zone_sizes), 1);
	uint32_t watchers = MAX(WATCH_BUDGET / (zones * total_parts), 1);

	for (uint32_t i = 0; i < parts; i++) {
		plans_source_t source = {i, parts, true};

		/* Without a fleet list the watchers can't be chosen: the parts
		 * are polled, or come from peers. */
		if (parts > 1)
			source.watch = gate->view.fleet != NULL &&
				       watch_rank(gate, i, now) < watchers;
		g_array_append_val(sources, source);
	}
}

GArray *
gate_plans_sources(const gate_t *gate, time_us_t now)
{
	GArray *sources = g_array_new(FALSE, FALSE, sizeof(plans_source_t));
	uint32_t published = lists_plans_published(gate->lists);
	uint32_t in_force = lists_plans_parts(gate->lists);
	uint32_t total_parts = published;

	if (published == 0)
		return sources;
	if (in_force == published)
		in_force = 0;
	total_parts += in_force;
	sources_add(gate, published, total_parts, now, sources);
	sources_add(gate, in_force, total_parts, now, sources);
	return sources;
}
