#include <string.h>
#include <xxhash.h>

#include "core/engine_private.h"

static uint64_t
text_hash(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

/* Computes the permits of a zone: the quotient rounded down, and one more for
 * the zones that rank highest by hash. */
static division_t
division_of(const allowances_t *allowances, const char *zone)
{
	uint64_t own = text_hash(zone);
	uint64_t loads = allowances->store_loads;
	division_t division = {1, UINT32_MAX};
	uint64_t n = 0, rank = 0;

	if (loads == 0)
		return division;
	division.digest = loads << 1;
	for (size_t i = 0; i < allowances->n_zones; i++) {
		const zone_t *other = &allowances->zones[i];
		uint64_t hash = text_hash(other->name);

		if (!allowances_zone_loads(allowances, other))
			continue;
		n++;
		rank += hash > own ||
			(hash == own && strcmp(other->name, zone) > 0);
		division.digest +=
		    XXH3_64bits_withSeed(other->name, strlen(other->name), 1);
	}
	division.digest |= 1;
	division.permits =
	    n == 0 ? 0 : (uint32_t)(loads / n + (rank < loads % n));
	return division;
}

/*
 * Puts the division of the newest list in force once all instances have
 * acknowledged it. Until then no command may start, as other instances may use
 * either the older or the newer division.
 */
static void
division_follow(engines_t *engines)
{
	const allowances_t *allowances = engines->allowances;
	division_t next = division_of(allowances, engines->zone);

	if (next.digest == engines->division.digest)
		return;
	if (membership_is_settled(
		engines->membership, LIST_ALLOWANCES, allowances->head.version))
		engines->division = next;
	else
		engines->division.digest = 0;
}

typedef struct {
	const engines_t *engines;
	const engine_target_t *target;
} lane_query_t;

/* Counts the live targets of the service in this zone; 0 if the queried target
 * isn't among them. */
static uint32_t
service_size(const lane_query_t *query, const fleet_t *fleet)
{
	bool found = false;
	uint32_t n = 0;

	for (size_t i = 0; i < fleet->n_targets; i++) {
		const target_t *target = &fleet->targets[i];

		if (target->state != MEMBER_LIVE ||
		    strcmp(target->zone, query->engines->zone) != 0 ||
		    strcmp(target->service, query->target->service) != 0)
			continue;
		n++;
		found |= strcmp(target->name, query->target->name) == 0;
	}
	return found ? n : 0;
}

static void
lane_write(void *context, const fleet_t *fleet, char key[OWNER_KEY_LIMIT])
{
	const lane_query_t *query = context;
	const engines_t *engines = query->engines;
	uint32_t permits =
	    engines->faults.no_permits ? UINT32_MAX : engines->division.permits;
	uint32_t n = service_size(query, fleet);
	uint32_t lanes;
	uint64_t index;

	key[0] = '\0';
	if (n == 0 || permits == 0)
		return;
	lanes = MIN(permits, engines->faults.no_half ? n : MAX(n / 2, 1));
	index = text_hash(query->target->name) % lanes;
	if (permits == UINT32_MAX) {
		g_snprintf(key, OWNER_KEY_LIMIT, "%s/%s/%u", engines->zone,
		    query->target->service, (unsigned int)index);
		return;
	}
	index = (text_hash(query->target->service) % permits + index) % permits;
	g_snprintf(
	    key, OWNER_KEY_LIMIT, "%s/%u", engines->zone, (unsigned int)index);
}

/* Starts an ownership, also one that was lost and regained between two ticks.
 */
static bool
target_gain(
    engines_t *engines, engine_target_t *t, const char *lane, time_us_t now)
{
	uint64_t version = engines->allowances->head.version;

	/* Otherwise the last owner could have used a newer list, and its
	 * fencing numbers would be higher. */
	if (!membership_is_settled(
		engines->membership, LIST_ALLOWANCES, version) &&
	    !engines->faults.any_owner)
		return false;
	t->owned_since = now;
	t->owned_version =
	    membership_agreed_fleet(engines->membership) + version;
	t->state_at = 0;
	t->asked_at = 0;
	t->fence_last = 0;
	g_strlcpy(t->lane, lane, sizeof(t->lane));
	return t->owned_version < FENCE_VERSION_LIMIT;
}

static void
target_update(
    engines_t *engines, engine_target_t *t, bool broken, time_us_t now)
{
	lane_query_t query = {engines, t};
	char lane[OWNER_KEY_LIMIT] = "";
	bool owned = false;

	if (t->listed && engines->division.digest != 0)
		owned = membership_owns(
		    engines->membership, lane_write, &query, now, lane);
	if (engines->faults.any_owner && t->listed &&
	    engines->division.digest != 0 &&
	    membership_has_lease(engines->membership, now)) {
		lane_write(&query, engines->fleet, lane);
		owned = true;
	}
	if (owned && (!t->owned || broken || strcmp(lane, t->lane) != 0))
		owned = target_gain(engines, t, lane, now);
	t->owned = owned;
}

void
engines_update_rights(engines_t *engines, time_us_t now)
{
	uint64_t epoch = membership_epoch(engines->membership, now);
	bool broken = epoch != engines->epoch;
	GHashTableIter iter;
	gpointer value;

	if (engines->fleet == NULL || engines->allowances == NULL)
		return;
	engines->epoch = epoch;
	division_follow(engines);
	g_hash_table_iter_init(&iter, engines->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		target_update(engines, value, broken, now);
}
