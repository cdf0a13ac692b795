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

		if (!allowances_zone_has_desired(allowances, other))
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
 * Puts the division of the newest list in force once the allowances list is
 * agreed. Until then no command may start, as other instances may use
 * either the older or the newer division.
 */
static void
division_update(engines_t *engines)
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
} group_query_t;

/* Counts the live targets of the service in this zone; 0 if the queried target
 * isn't among them. */
static uint32_t
service_size(const group_query_t *query, const fleet_t *fleet)
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
group_key_write(void *context, const fleet_t *fleet, char key[OWNER_KEY_LIMIT])
{
	const group_query_t *query = context;
	const engines_t *engines = query->engines;
	uint32_t permits =
	    engines->faults.no_permits ? UINT32_MAX : engines->division.permits;
	uint32_t n = service_size(query, fleet);
	uint32_t groups;
	uint64_t index;

	key[0] = '\0';
	if (n == 0 || permits == 0)
		return;
	groups =
	    MIN(permits, engines->faults.no_service_limit ? n : MAX(n / 2, 1));
	index = text_hash(query->target->name) % groups;
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
ownership_start(
    engines_t *engines, engine_target_t *t, const char *group, time_us_t now)
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
	t->state_polled_at = 0;
	t->polled_at = 0;
	t->last_fence = 0;
	g_strlcpy(t->group, group, sizeof(t->group));
	return t->owned_version < FENCE_VERSION_LIMIT;
}

static void
ownership_update(
    engines_t *engines, engine_target_t *t, bool lease_was_lost, time_us_t now)
{
	group_query_t query = {engines, t};
	char group[OWNER_KEY_LIMIT] = "";
	bool owned = false;

	if (t->listed && engines->division.digest != 0)
		owned = membership_owns(
		    engines->membership, group_key_write, &query, now, group);
	if (engines->faults.any_owner && t->listed &&
	    engines->division.digest != 0 &&
	    membership_has_lease(engines->membership, now)) {
		group_key_write(&query, engines->fleet, group);
		owned = true;
	}
	if (owned &&
	    (!t->owned || lease_was_lost || strcmp(group, t->group) != 0))
		owned = ownership_start(engines, t, group, now);
	t->owned = owned;
}

void
engines_update_ownership(engines_t *engines, time_us_t now)
{
	uint64_t epoch = membership_epoch(engines->membership, now);
	bool lease_was_lost = epoch != engines->epoch;
	GHashTableIter iter;
	gpointer value;

	if (engines->fleet == NULL || engines->allowances == NULL)
		return;
	engines->epoch = epoch;
	division_update(engines);
	g_hash_table_iter_init(&iter, engines->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		ownership_update(engines, value, lease_was_lost, now);
}
