#include <xxhash.h>

#include "route_table.h"

const char *
route_policy_name(route_policy_t policy)
{
	switch (policy) {
	case ROUTE_ROUND_ROBIN:
		return "round_robin";
	case ROUTE_LEAST_LOADED:
		return "least_loaded";
	case ROUTE_TWO_CHOICES:
		return "two_choices";
	case ROUTE_AFFINITY:
		return "affinity";
	case ROUTE_AFFINITY_BOUNDED:
	case ROUTE_POLICY_COUNT:
		break;
	}
	return "affinity_bounded";
}

uint64_t
route_prefix_hash(const void *prompt, size_t len, uint64_t seed)
{
	uint64_t hash;

	if (len == 0)
		return 0;
	hash = XXH3_64bits_withSeed(prompt, MIN(len, ROUTE_PREFIX_BYTES), seed);
	return hash == 0 ? 1 : hash;
}

static uint64_t
rendezvous(const entry_t *entry, uint64_t prefix)
{
	return XXH3_64bits_withSeed(
	    &entry->name_hash, sizeof(entry->name_hash), prefix);
}

/* Adds a target in service to the sums and, if a slot is free, as candidate. */
static void
candidate_add(route_t *route, const entry_t *entry, uint32_t index,
    uint64_t prefix, bool excluded, bool warm_limit, time_us_t now)
{
	candidate_t candidate = {.index = index};

	candidate.load = route_entry_load(entry, now);
	candidate.weight = MAX(
	    1, route_entry_warm_slots(route, entry, entry->total_slots, now));
	route->load_sum += candidate.load;
	route->weight_sum += candidate.weight;
	route->any_warming_up |= candidate.weight < entry->total_slots;
	if (excluded || !route_entry_free_slot(route, entry, warm_limit, now))
		return;
	candidate.score = rendezvous(entry, prefix);
	g_array_append_val(route->candidates, candidate);
}

/* Collects the targets with a free slot; returns how many are in service. */
static uint32_t
candidates_collect(route_t *route, const service_entry_t *service,
    uint64_t prefix, handle_t exclude, bool warm_limit, time_us_t now)
{
	uint32_t in_service = 0;

	g_array_set_size(route->candidates, 0);
	route->load_sum = 0;
	route->weight_sum = 0;
	route->any_warming_up = false;
	for (uint32_t i = 0; i < service->target_indexes->len; i++) {
		uint32_t index =
		    g_array_index(service->target_indexes, uint32_t, i);
		const entry_t *entry = entry_at(route, index);
		bool excluded =
		    handle_make(index, entry->generation) == exclude;

		if (!route_entry_in_service(entry, now))
			continue;
		in_service += !excluded;
		candidate_add(
		    route, entry, index, prefix, excluded, warm_limit, now);
	}
	return in_service;
}

/* Whether a has less load per weight than b; ties are broken by the score. */
static bool
candidate_less_loaded(const candidate_t *a, const candidate_t *b)
{
	int64_t left = a->load * b->weight;
	int64_t right = b->load * a->weight;

	return left != right ? left < right : a->score > b->score;
}

static const candidate_t *
candidate_at(const route_t *route, uint32_t i)
{
	return &g_array_index(route->candidates, candidate_t, i);
}

static const candidate_t *
pick_least_loaded(const route_t *route)
{
	const candidate_t *best = candidate_at(route, 0);

	for (uint32_t i = 1; i < route->candidates->len; i++) {
		if (candidate_less_loaded(candidate_at(route, i), best))
			best = candidate_at(route, i);
	}
	return best;
}

static const candidate_t *
pick_round_robin(const route_t *route, service_entry_t *service)
{
	const candidate_t *next = candidate_at(route, 0);

	for (uint32_t i = 0; i < route->candidates->len; i++) {
		if (candidate_at(route, i)->index >= service->next_index) {
			next = candidate_at(route, i);
			break;
		}
	}
	service->next_index = next->index + 1;
	return next;
}

static const candidate_t *
pick_two_choices(const route_t *route, uint64_t seed)
{
	uint32_t n = route->candidates->len;
	uint64_t random = XXH3_64bits_withSeed(&seed, sizeof(seed), n);
	uint32_t first = (uint32_t)(random >> 32) % n;
	uint32_t second;
	const candidate_t *a = candidate_at(route, first);
	const candidate_t *b;

	if (n == 1)
		return a;
	second = (first + 1 + (uint32_t)random % (n - 1)) % n;
	b = candidate_at(route, second);
	return candidate_less_loaded(b, a) ? b : a;
}

/* Whether one more request keeps the target within 1.25 x the mean load. */
static bool
candidate_within_bound(const route_t *route, const candidate_t *candidate)
{
	int64_t mean_share = (route->load_sum + 1000) * candidate->weight;
	int64_t bound =
	    mean_share * ROUTE_BOUND_PERCENT / 100 / route->weight_sum;

	/* Round up to whole requests, so that each target may get one. */
	return candidate->load + 1000 <= (bound + 999) / 1000 * 1000;
}

/* Picks the highest rendezvous score, within the load bound if bounded. */
static const candidate_t *
pick_affinity(const route_t *route, bool bounded)
{
	const candidate_t *best = NULL;

	for (uint32_t i = 0; i < route->candidates->len; i++) {
		const candidate_t *candidate = candidate_at(route, i);

		if (bounded && !candidate_within_bound(route, candidate))
			continue;
		if (best == NULL || candidate->score > best->score)
			best = candidate;
	}
	return best != NULL ? best : pick_least_loaded(route);
}

static const candidate_t *
pick_by_policy(const route_t *route, service_entry_t *service, uint64_t prefix,
    uint64_t seed)
{
	route_policy_t policy = route->settings.policy;

	if (prefix == 0 &&
	    (policy == ROUTE_AFFINITY || policy == ROUTE_AFFINITY_BOUNDED))
		policy = ROUTE_LEAST_LOADED;
	switch (policy) {
	case ROUTE_ROUND_ROBIN:
		return pick_round_robin(route, service);
	case ROUTE_LEAST_LOADED:
		return pick_least_loaded(route);
	case ROUTE_TWO_CHOICES:
		return pick_two_choices(route, seed);
	case ROUTE_AFFINITY:
		return pick_affinity(route, false);
	case ROUTE_AFFINITY_BOUNDED:
	case ROUTE_POLICY_COUNT:
		break;
	}
	return pick_affinity(route, true);
}

route_choice_t
route_pick(route_t *route, const char *service, uint64_t prefix,
    handle_t exclude, uint64_t seed, time_us_t now)
{
	service_entry_t *found = g_hash_table_lookup(route->services, service);
	route_choice_t choice = {ROUTE_NO_TARGET, HANDLE_NONE};
	const candidate_t *candidate;
	bool affinity = route->settings.policy >= ROUTE_AFFINITY && prefix != 0;
	uint64_t hash_seed = prefix;

	if (!affinity)
		hash_seed = seed;
	if (found == NULL || candidates_collect(route, found, hash_seed,
				 exclude, true, now) == 0)
		return choice;
	/*
	 * A cold cache costs less than waiting in the queue: with no other free
	 * slot, the warm-up limit is ignored.
	 */
	if (route->candidates->len == 0 && route->any_warming_up)
		candidates_collect(
		    route, found, hash_seed, exclude, false, now);
	if (route->candidates->len == 0) {
		choice.verdict = ROUTE_ALL_FULL;
		return choice;
	}
	candidate = pick_by_policy(route, found, prefix, seed);
	choice.verdict = ROUTE_PICKED;
	choice.target = handle_make(
	    candidate->index, entry_at(route, candidate->index)->generation);
	return choice;
}
