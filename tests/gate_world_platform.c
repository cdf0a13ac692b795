#include "gate_world_internal.h"

#include <string.h>

#include "share_lists.h"

void
key_hash(int key, uint8_t hash[KEY_HASH_BYTES])
{
	memset(hash, key + 1, KEY_HASH_BYTES);
}

void
plans_publish(world_t *world)
{
	uint64_t version = ++world->n_plans;
	g_autoptr(GString) spec = g_string_new(NULL);
	plans_t *plans;

	for (int i = 0; i < N_TEAMS; i++)
		g_string_append_printf(spec, "%st%d:%s", i ? " " : "", i,
		    world->home[i] < 0	  ? "-"
		    : world->home[i] == 0 ? "r0"
					  : "r1");
	plans = plans_build(version, spec->str);
	for (int i = 0; i < N_TEAMS; i++)
		plans->teams[i].keys = g_new0(team_key_t, N_KEYS / N_TEAMS);
	for (int key = 0; key < N_KEYS; key++) {
		team_t *team = &plans->teams[key % N_TEAMS];

		if (world->withdrawn[key])
			continue;
		team->keys[team->n_keys].id = g_strdup("k");
		key_hash(key, team->keys[team->n_keys++].hash);
	}
	g_hash_table_destroy(plans->by_name);
	g_hash_table_destroy(plans->by_hash);
	plans_index(plans);
	world->plans[version] = plans;
}

void
fleet_publish(world_t *world)
{
	uint64_t version = ++world->n_fleets;
	fleet_t *fleet = fleet_build(version, N_NAMES);

	for (int i = 0; i < N_NAMES; i++) {
		fleet_put(fleet, instance_names[i],
		    zone_names[instance_zones[i]],
		    world->instance_leaving[i] ? MEMBER_LEAVING : MEMBER_LIVE);
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
			.state = world->target_leaving[i] ? MEMBER_LEAVING
							  : MEMBER_LIVE};
	world->fleets[version] = fleet;
}

void
allowances_make(world_t *world)
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
	world->allowances = a;
}

static list_any_t
list_of(const world_t *world, list_kind_t kind, uint64_t version)
{
	list_any_t list = {.kind = kind};

	if (kind == LIST_PLANS)
		list.plans = world->plans[version];
	else if (kind == LIST_FLEET)
		list.fleet = world->fleets[version];
	else
		list.allowances = world->allowances;
	return list;
}

void
list_offer(world_t *world, int process, list_kind_t kind, uint64_t version,
    GArray *actions)
{
	process_t *proc = &world->processes[process];
	bool hidden = world->fault == FAULT_STALE_LISTS && kind == LIST_PLANS &&
		      version > 1;

	if (!hidden)
		gate_list_offer(proc->gate, list_of(world, kind, version),
		    local_time(world, process), actions);
	if (kind == LIST_PLANS && version > proc->plans) {
		proc->plans = version;
		proc->plans_at = world->now;
	}
}

static void
list_distribute(world_t *world, list_kind_t kind, uint64_t version)
{
	for (int i = 0; i < N_NAMES; i++) {
		if (rng_chance(&world->rng, 4))
			continue; /* a stale reader, updated by its peers */
		event_put(world, rng_below(&world->rng, US_PER_S),
		    (event_t){.kind = EVENT_LIST,
			.process = -1,
			.name = i,
			.list = kind,
			.version = version});
	}
}

/* Sets one flag or clears all, so that few are set at a time. */
static void
flag_flip(world_t *world, bool *flags, int n)
{
	if (rng_chance(&world->rng, 2))
		memset(flags, 0, (size_t)n * sizeof(*flags));
	else
		flags[rng_below(&world->rng, n)] = true;
}

void
chaos_list(world_t *world)
{
	if (rng_chance(&world->rng, 2) && world->n_plans + 1 < N_VERSIONS) {
		flag_flip(world, world->withdrawn, N_KEYS);
		if (rng_chance(&world->rng, 3))
			world->home[rng_below(&world->rng, N_TEAMS)] =
			    (int)rng_below(&world->rng, 3) - 1;
		plans_publish(world);
		list_distribute(world, LIST_PLANS, world->n_plans);
		return;
	}
	if (world->n_fleets + 1 >= N_VERSIONS)
		return;
	if (rng_chance(&world->rng, 2))
		flag_flip(world, world->target_leaving, N_TARGETS);
	else
		flag_flip(world, world->instance_leaving, N_NAMES);
	fleet_publish(world);
	list_distribute(world, LIST_FLEET, world->n_fleets);
}
