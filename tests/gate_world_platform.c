#include "gate_world_internal.h"

#include <string.h>

#include "share_lists.h"

void
key_hash(int key, uint8_t hash[KEY_HASH_BYTES])
{
	memset(hash, key + 1, KEY_HASH_BYTES);
}

void
plans_publish(world_t *w)
{
	uint64_t version = ++w->n_plans;
	g_autoptr(GString) spec = g_string_new(NULL);
	plans_t *plans;

	for (int i = 0; i < N_TEAMS; i++)
		g_string_append_printf(spec, "%st%d:%s", i ? " " : "", i,
		    w->home[i] < 0    ? "-"
		    : w->home[i] == 0 ? "r0"
				      : "r1");
	plans = plans_build(version, spec->str);
	for (int i = 0; i < N_TEAMS; i++)
		plans->teams[i].keys = g_new0(team_key_t, N_KEYS / N_TEAMS);
	for (int key = 0; key < N_KEYS; key++) {
		team_t *team = &plans->teams[key % N_TEAMS];

		if (w->withdrawn[key])
			continue;
		team->keys[team->n_keys].id = g_strdup("k");
		key_hash(key, team->keys[team->n_keys++].hash);
	}
	g_hash_table_destroy(plans->by_name);
	g_hash_table_destroy(plans->by_hash);
	plans_index(plans);
	w->plans[version] = plans;
}

void
fleet_publish(world_t *w)
{
	uint64_t version = ++w->n_fleets;
	fleet_t *fleet = fleet_build(version, N_NAMES);

	for (int i = 0; i < N_NAMES; i++) {
		fleet_put(fleet, instance_names[i],
		    zone_names[instance_zones[i]],
		    w->instance_leaving[i] ? MEMBER_LEAVING : MEMBER_LIVE);
		fleet->instances[i].http = g_strdup(instance_names[i]);
		fleet->instances[i].peer = g_strdup(instance_names[i]);
	}
	fleet->targets = g_new0(target_t, N_TARGETS);
	fleet->n_targets = N_TARGETS;
	for (int i = 0; i < N_TARGETS; i++)
		fleet->targets[i] =
		    (target_t){.name = g_strdup(model_targets[i].name),
			.zone = g_strdup(zone_names[model_targets[i].zone]),
			.service = g_strdup(model_targets[i].service),
			.url = g_strdup(model_targets[i].name),
			.slots = model_targets[i].slots,
			.state = w->target_leaving[i] ? MEMBER_LEAVING
						      : MEMBER_LIVE};
	w->fleets[version] = fleet;
}

void
allowances_make(world_t *w)
{
	static const uint32_t weights[] = {1, 1};
	allowances_t *a = allowances_build(1, weights, 2, 3, RATE, BURST);
	plan_use_t *use = g_new0(plan_use_t, 2);

	for (int i = 0; i < 2; i++) {
		use[i].service = g_strdup(i ? "p" : "e");
		use[i].regions = g_strdupv(a->plans[0].use[0].regions);
	}
	g_free(a->plans[0].use[0].service);
	g_strfreev(a->plans[0].use[0].regions);
	g_free(a->plans[0].use);
	a->plans[0].use = use;
	a->plans[0].n_use = 2;
	a->services = g_new0(service_t, 2);
	a->n_services = 2;
	a->services[0] =
	    (service_t){.name = g_strdup("e"), .kind = SERVICE_ENGINE};
	a->services[1] =
	    (service_t){.name = g_strdup("p"), .kind = SERVICE_PLAIN};
	a->services[1].orders = g_strsplit("/orders", " ", -1);
	w->allowances = a;
}

static list_any_t
list_of(const world_t *w, list_kind_t kind, uint64_t version)
{
	list_any_t list = {.kind = kind};

	if (kind == LIST_PLANS)
		list.plans = w->plans[version];
	else if (kind == LIST_FLEET)
		list.fleet = w->fleets[version];
	else
		list.allowances = w->allowances;
	return list;
}

void
list_offer(world_t *w, int process, list_kind_t kind, uint64_t version,
    GArray *actions)
{
	process_t *p = &w->processes[process];
	bool hidden =
	    w->fault == FAULT_STALE_LISTS && kind == LIST_PLANS && version > 1;

	if (!hidden)
		gate_offer(p->gate, list_of(w, kind, version),
		    local_time(w, process), actions);
	if (kind == LIST_PLANS && version > p->plans) {
		p->plans = version;
		p->plans_at = w->now;
	}
}

static void
list_spread(world_t *w, list_kind_t kind, uint64_t version)
{
	for (int i = 0; i < N_NAMES; i++) {
		if (rng_chance(&w->rng, 4))
			continue; /* a stale reader, updated by its peers */
		event_put(w, rng_below(&w->rng, US_PER_S),
		    (event_t){.kind = EVENT_LIST,
			.process = -1,
			.name = i,
			.list = kind,
			.version = version});
	}
}

/* Sets one flag or clears all, so that few are set at a time. */
static void
flag_flip(world_t *w, bool *flags, int n)
{
	if (rng_chance(&w->rng, 2))
		memset(flags, 0, (size_t)n * sizeof(*flags));
	else
		flags[rng_below(&w->rng, n)] = true;
}

void
chaos_list(world_t *w)
{
	if (rng_chance(&w->rng, 2) && w->n_plans + 1 < N_VERSIONS) {
		flag_flip(w, w->withdrawn, N_KEYS);
		if (rng_chance(&w->rng, 3))
			w->home[rng_below(&w->rng, N_TEAMS)] =
			    (int)rng_below(&w->rng, 3) - 1;
		plans_publish(w);
		list_spread(w, LIST_PLANS, w->n_plans);
		return;
	}
	if (w->n_fleets + 1 >= N_VERSIONS)
		return;
	if (rng_chance(&w->rng, 2))
		flag_flip(w, w->target_leaving, N_TARGETS);
	else
		flag_flip(w, w->instance_leaving, N_NAMES);
	fleet_publish(w);
	list_spread(w, LIST_FLEET, w->n_fleets);
}
