#include "core/snapshot.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

static guint
key_hash_bucket(gconstpointer hash)
{
	guint bucket;

	/* SHA-256 is uniform, so any four bytes of it make a good hash. */
	memcpy(&bucket, hash, sizeof(bucket));
	return bucket;
}

static gboolean
key_hash_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, KEY_HASH_BYTES) == 0;
}

void
list_head_set_text(list_head_t *head, const char *text, size_t len)
{
	head->text = g_malloc(len + 1);
	memcpy(head->text, text, len);
	head->text[len] = '\0';
	head->text_len = len;
	crypto_generichash(head->digest, sizeof(head->digest),
	    (const unsigned char *)text, len, NULL, 0);
}

static void
head_clear(list_head_t *head)
{
	g_free(head->text);
}

plans_t *
plans_ref(plans_t *plans)
{
	if (plans != NULL)
		g_atomic_int_inc(&plans->head.refs);
	return plans;
}

static void
plans_clear_teams(plans_t *plans)
{
	for (size_t i = 0; i < plans->n_teams; i++) {
		team_t *team = &plans->teams[i];

		for (size_t k = 0; k < team->n_keys; k++)
			g_free(team->keys[k].id);
		g_free(team->keys);
		g_free(team->name);
		g_free(team->plan);
		g_free(team->home);
	}
}

void
plans_unref(plans_t *plans)
{
	if (plans == NULL || !g_atomic_int_dec_and_test(&plans->head.refs))
		return;
	if (plans->part_lists == NULL) {
		plans_clear_teams(plans);
	} else {
		for (uint32_t i = 0; i < plans->parts; i++)
			plans_unref(plans->part_lists[i]);
		g_free(plans->part_lists);
	}
	g_free(plans->teams);
	if (plans->by_name != NULL)
		g_hash_table_destroy(plans->by_name);
	if (plans->by_hash != NULL)
		g_hash_table_destroy(plans->by_hash);
	head_clear(&plans->head);
	g_free(plans);
}

static void
plan_clear(plan_t *plan)
{
	for (size_t i = 0; i < plan->n_use; i++) {
		g_free(plan->use[i].service);
		g_strfreev(plan->use[i].regions);
	}
	g_free(plan->use);
	g_free(plan->name);
}

static void
service_clear(service_t *service)
{
	for (size_t i = 0; i < service->n_desired; i++) {
		g_free(service->desired[i].region);
		g_free(service->desired[i].model);
		g_free(service->desired[i].version);
		g_strfreev(service->desired[i].adapters);
		g_free(service->desired[i].role);
	}
	g_free(service->desired);
	g_free(service->name);
	g_strfreev(service->orders);
}

allowances_t *
allowances_ref(allowances_t *allowances)
{
	if (allowances != NULL)
		g_atomic_int_inc(&allowances->head.refs);
	return allowances;
}

void
allowances_unref(allowances_t *allowances)
{
	if (allowances == NULL ||
	    !g_atomic_int_dec_and_test(&allowances->head.refs))
		return;
	for (size_t i = 0; i < allowances->n_zones; i++) {
		g_free(allowances->zones[i].name);
		g_free(allowances->zones[i].region);
	}
	for (size_t i = 0; i < allowances->n_services; i++)
		service_clear(&allowances->services[i]);
	for (size_t i = 0; i < allowances->n_plans; i++)
		plan_clear(&allowances->plans[i]);
	g_free(allowances->zones);
	g_free(allowances->services);
	g_free(allowances->plans);
	g_strfreev(allowances->retired);
	g_free(allowances->store_region);
	head_clear(&allowances->head);
	g_free(allowances);
}

fleet_t *
fleet_ref(fleet_t *fleet)
{
	if (fleet != NULL)
		g_atomic_int_inc(&fleet->head.refs);
	return fleet;
}

void
fleet_unref(fleet_t *fleet)
{
	if (fleet == NULL || !g_atomic_int_dec_and_test(&fleet->head.refs))
		return;
	for (size_t i = 0; i < fleet->n_instances; i++) {
		g_free(fleet->instances[i].name);
		g_free(fleet->instances[i].zone);
		g_free(fleet->instances[i].http);
		g_free(fleet->instances[i].peer);
	}
	for (size_t i = 0; i < fleet->n_targets; i++) {
		g_free(fleet->targets[i].name);
		g_free(fleet->targets[i].zone);
		g_free(fleet->targets[i].service);
		g_free(fleet->targets[i].url);
	}
	g_free(fleet->instances);
	g_free(fleet->targets);
	head_clear(&fleet->head);
	g_free(fleet);
}

const char *
list_kind_name(list_kind_t kind)
{
	switch (kind) {
	case LIST_PLANS:
		return "plans";
	case LIST_ALLOWANCES:
		return "allowances";
	case LIST_FLEET:
	case LIST_COUNT:
		break;
	}
	return "fleet";
}

void
plans_index(plans_t *plans)
{
	plans->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	plans->by_hash = g_hash_table_new_full(
	    key_hash_bucket, key_hash_equal, NULL, g_free);
	for (size_t i = 0; i < plans->n_teams; i++) {
		team_t *team = &plans->teams[i];

		g_hash_table_insert(plans->by_name, team->name, team);
		for (size_t k = 0; k < team->n_keys; k++) {
			key_owner_t *owner = g_new(key_owner_t, 1);

			owner->team = team;
			owner->key = &team->keys[k];
			g_hash_table_insert(
			    plans->by_hash, team->keys[k].hash, owner);
		}
	}
}

uint32_t
plans_parts(const plans_t *plans)
{
	return MAX(plans->parts, 1);
}

uint32_t
plans_part_of(const char *team, uint32_t parts)
{
	return (uint32_t)(XXH64(team, strlen(team), 0) % parts);
}

static void
whole_digest(plans_t *whole)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(whole->head.digest));
	for (uint32_t i = 0; i < whole->parts; i++)
		crypto_generichash_update(&state,
		    whole->part_lists[i]->head.digest,
		    sizeof(whole->head.digest));
	crypto_generichash_final(
	    &state, whole->head.digest, sizeof(whole->head.digest));
}

plans_t *
plans_combine(plans_t *const *parts, uint32_t n)
{
	plans_t *whole;
	size_t at = 0;

	if (n == 1)
		return plans_ref(parts[0]);
	whole = g_new0(plans_t, 1);
	whole->head.refs = 1;
	whole->parts = n;
	whole->part_lists = g_new(plans_t *, n);
	for (uint32_t i = 0; i < n; i++) {
		whole->part_lists[i] = plans_ref(parts[i]);
		whole->head.version += parts[i]->head.version;
		whole->n_teams += parts[i]->n_teams;
	}
	whole->teams = g_new(team_t, whole->n_teams);
	for (uint32_t i = 0; i < n; i++) {
		if (parts[i]->n_teams > 0)
			memcpy(whole->teams + at, parts[i]->teams,
			    parts[i]->n_teams * sizeof(team_t));
		at += parts[i]->n_teams;
	}
	whole_digest(whole);
	plans_index(whole);
	return whole;
}

bool
plans_share_key(const plans_t *a, const plans_t *b)
{
	GHashTableIter iter;
	gpointer hash;

	if (a->by_hash == NULL || b->by_hash == NULL)
		return false;
	g_hash_table_iter_init(&iter, a->by_hash);
	while (g_hash_table_iter_next(&iter, &hash, NULL)) {
		if (g_hash_table_contains(b->by_hash, hash))
			return true;
	}
	return false;
}

const team_t *
plans_find_team(const plans_t *plans, const char *name)
{
	return g_hash_table_lookup(plans->by_name, name);
}

const key_owner_t *
plans_find_key(const plans_t *plans, const uint8_t hash[KEY_HASH_BYTES])
{
	return g_hash_table_lookup(plans->by_hash, hash);
}

const plan_t *
allowances_find_plan(const allowances_t *allowances, const char *name)
{
	for (size_t i = 0; i < allowances->n_plans; i++) {
		if (strcmp(allowances->plans[i].name, name) == 0)
			return &allowances->plans[i];
	}
	return NULL;
}

const service_t *
allowances_find_service(const allowances_t *allowances, const char *name)
{
	for (size_t i = 0; i < allowances->n_services; i++) {
		if (strcmp(allowances->services[i].name, name) == 0)
			return &allowances->services[i];
	}
	return NULL;
}

const zone_t *
allowances_find_zone(const allowances_t *allowances, const char *name)
{
	for (size_t i = 0; i < allowances->n_zones; i++) {
		if (strcmp(allowances->zones[i].name, name) == 0)
			return &allowances->zones[i];
	}
	return NULL;
}

const desired_t *
service_find_desired(const service_t *service, const char *region)
{
	for (size_t i = 0; i < service->n_desired; i++) {
		if (strcmp(service->desired[i].region, region) == 0)
			return &service->desired[i];
	}
	return NULL;
}

bool
allowances_zone_has_desired(const allowances_t *allowances, const zone_t *zone)
{
	for (size_t i = 0; i < allowances->n_services; i++) {
		if (service_find_desired(
			&allowances->services[i], zone->region) != NULL)
			return true;
	}
	return false;
}

const plan_use_t *
plan_find_use(const plan_t *plan, const char *service)
{
	for (size_t i = 0; i < plan->n_use; i++) {
		if (strcmp(plan->use[i].service, service) == 0)
			return &plan->use[i];
	}
	return NULL;
}

const instance_t *
fleet_find_instance(const fleet_t *fleet, const char *name)
{
	for (size_t i = 0; i < fleet->n_instances; i++) {
		if (strcmp(fleet->instances[i].name, name) == 0)
			return &fleet->instances[i];
	}
	return NULL;
}
