#include "core/gate.h"

#include <string.h>

#include "core/random.h"
#include "gate_internal.h"

flight_t *
gate_flight(const gate_t *gate, flight_id_t id)
{
	uint32_t index = (uint32_t)id;
	flight_t *flight;

	if (index >= gate->n_flights)
		return NULL;
	flight = &gate->flights[index];
	if (flight->state == FLIGHT_FREE ||
	    flight->generation != (uint32_t)(id >> 32))
		return NULL;
	return flight;
}

flight_id_t
gate_flight_id(const gate_t *gate, const flight_t *flight)
{
	return handle_make(
	    (uint32_t)(flight - gate->flights), flight->generation);
}

uint64_t
gate_random(gate_t *gate)
{
	return random_next(&gate->random);
}

gate_action_t *
gate_action(
    gate_t *gate, GArray *actions, action_kind_t kind, const flight_t *flight)
{
	gate_action_t *action;

	g_array_set_size(actions, actions->len + 1);
	action = &g_array_index(actions, gate_action_t, actions->len - 1);
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	if (flight != NULL) {
		action->flight = gate_flight_id(gate, flight);
		action->user = flight->user;
		action->retry_reason = flight->retry_reason;
	}
	return action;
}

gate_t *
gate_create(const gate_options_t *options)
{
	gate_t *gate = g_new0(gate_t, 1);
	route_settings_t routing = {
	    ROUTE_POLICY_DEFAULT, ROUTE_WARM_UP_DEFAULT};

	g_strlcpy(gate->name, options->instance, sizeof(gate->name));
	g_strlcpy(gate->zone, options->zone, sizeof(gate->zone));
	gate->incarnation = options->incarnation;
	gate->seeds = g_strdupv((char **)options->seeds);
	gate->random = options->seed;
	gate->started_at = options->now;
	gate->queue_limit = options->queue_limit;
	gate->lists =
	    lists_create(gate->name, options->pair_fits, options->pair_data);
	gate->membership = membership_create(
	    gate->name, gate->zone, gate->incarnation, options->now);
	membership_set_busy_source(gate->membership, gate_is_busy, gate);
	gate->allotment =
	    allotment_create(gate->membership, gate->name, gate->incarnation);
	gate->orders = order_table_create(gate->name, gate->incarnation,
	    options->ticket_key, ORDER_TABLE_LIMIT, ORDER_ANSWER_BUDGET);
	gate->poison = poison_table_create(gate->zone, POISON_TABLE_LIMIT);
	retry_budget_init(&gate->retries, options->now);
	gate->route = route_create(routing);
	gate->spill = spill_create((spill_settings_t){SPILL_ZONE_DELAY_US,
	    SPILL_REGION_DELAY_US, SPILL_REGION_BANDWIDTH});
	gate->queues = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)queue_destroy);
	gate->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	gate_create_engines(gate, options->wall_s);
	g_queue_init(&gate->token_waiters);
	gate->zone_sizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gate->loads_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Instances start the round robin at different members of a zone. */
	gate->far_turn = g_str_hash(gate->name) % 1024;
	gate->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return gate;
}

void
gate_destroy(gate_t *gate)
{
	if (gate == NULL)
		return;
	g_hash_table_destroy(gate->zone_sizes);
	g_hash_table_destroy(gate->loads_at);
	g_hash_table_destroy(gate->peers);
	g_queue_clear_full(&gate->token_waiters, g_free);
	g_array_free(gate->free_slots, TRUE);
	g_free(gate->flights);
	g_hash_table_destroy(gate->queues);
	directory_destroy(gate->directory);
	engines_destroy(gate->engines);
	spill_destroy(gate->spill);
	route_destroy(gate->route);
	poison_table_destroy(gate->poison);
	order_table_destroy(gate->orders);
	allotment_destroy(gate->allotment);
	membership_destroy(gate->membership);
	lists_view_clear(&gate->view);
	lists_destroy(gate->lists);
	g_strfreev(gate->seeds);
	g_free(gate);
}

static flight_t *
flight_allocate(gate_t *gate)
{
	uint32_t index;
	uint32_t generation;
	flight_t *flight;

	if (gate->free_slots->len > 0) {
		index = g_array_index(
		    gate->free_slots, uint32_t, gate->free_slots->len - 1);
		g_array_set_size(gate->free_slots, gate->free_slots->len - 1);
	} else {
		index = (uint32_t)gate->n_flights;
		gate->n_flights++;
		gate->flights =
		    g_renew(flight_t, gate->flights, gate->n_flights);
		gate->flights[index].generation = 0;
	}
	flight = &gate->flights[index];
	generation = generation_next(flight->generation);
	memset(flight, 0, sizeof(*flight));
	flight->generation = generation;
	flight->state = FLIGHT_OPEN;
	gate->n_open++;
	return flight;
}

void
gate_close(gate_t *gate, flight_t *flight)
{
	uint32_t index = (uint32_t)(flight - gate->flights);

	flight->state = FLIGHT_FREE;
	gate->n_open--;
	g_array_append_val(gate->free_slots, index);
}

const char *
gate_zone_region(const gate_t *gate, const char *zone)
{
	const zone_t *found = NULL;

	if (gate->view.allowances != NULL)
		found = allowances_find_zone(gate->view.allowances, zone);
	return found ? found->region : "";
}

/* Finds the team of a request. Sets *reason, and returns NULL if there is none.
 */
static const team_t *
flight_team(const gate_t *gate, const flight_t *flight, refusal_t *reason)
{
	const key_owner_t *owner;

	if (flight->forwarded) {
		const team_t *team =
		    plans_find_team(gate->view.plans, flight->team);

		*reason = team ? REFUSAL_NONE : REFUSAL_KEY_UNKNOWN;
		return team;
	}
	if (!flight->has_key) {
		*reason = REFUSAL_KEY_MISSING;
		return NULL;
	}
	owner = plans_find_key(gate->view.plans, flight->key_hash);
	/* A key can be moved to another team, a running request can't. */
	if (owner == NULL ||
	    (flight->team[0] && strcmp(flight->team, owner->team->name) != 0)) {
		*reason = REFUSAL_KEY_UNKNOWN;
		return NULL;
	}
	*reason = REFUSAL_NONE;
	return owner->team;
}

static refusal_t
check_team(const gate_t *gate, flight_t *flight, const team_t *team)
{
	const plan_t *plan =
	    allowances_find_plan(gate->view.allowances, team->plan);
	const plan_use_t *use =
	    plan ? plan_find_use(plan, flight->service) : NULL;

	g_strlcpy(flight->team, team->name, sizeof(flight->team));
	if (use == NULL)
		return REFUSAL_SERVICE_NOT_ALLOWED;
	flight->priority = plan->priority;
	if (team->home != NULL && strcmp(team->home, gate->region) != 0)
		return REFUSAL_WRONG_REGION;
	return REFUSAL_NONE;
}

refusal_t
gate_check_rules(const gate_t *gate, flight_t *flight)
{
	const service_t *service =
	    allowances_find_service(gate->view.allowances, flight->service);
	const team_t *team;
	refusal_t reason;

	if (service == NULL)
		return REFUSAL_SERVICE_UNKNOWN;
	if (service->open && !flight->has_key && flight->team[0] == '\0')
		return REFUSAL_NONE;
	team = flight_team(gate, flight, &reason);
	if (team == NULL)
		return reason;
	return check_team(gate, flight, team);
}

static bool
path_is_order(const service_t *service, const char *path)
{
	if (service->orders == NULL)
		return false;
	for (char **order = service->orders; *order != NULL; order++) {
		if (strcmp(*order, path) == 0)
			return true;
	}
	return false;
}

static void
flight_classify(const gate_t *gate, flight_t *flight, const gate_head_t *head)
{
	const service_t *service =
	    allowances_find_service(gate->view.allowances, head->service);
	bool post = strcmp(head->method, "POST") == 0;

	flight->engine = service->kind == SERVICE_ENGINE;
	flight->order = post && path_is_order(service, head->path);
	/* Generating text has no side effects at the engine, so it can be
	 * repeated. The side effects of a POST to a plain service are unknown.
	 */
	flight->idempotent = !post || flight->engine;
}

refusal_t
gate_open(gate_t *gate, const gate_head_t *head, time_us_t now, flight_id_t *id)
{
	flight_t *flight;
	refusal_t reason;

	if (gate_is_draining(gate))
		return REFUSAL_DRAINING;
	if (!gate_is_ready(gate, now))
		return REFUSAL_STARTING;
	flight = flight_allocate(gate);
	flight->user = head->user;
	flight->deadline = head->deadline;
	flight->checked_at = now;
	flight->forwarded = head->forwarded;
	g_strlcpy(flight->service, head->service, sizeof(flight->service));
	g_strlcpy(flight->method, head->method, sizeof(flight->method));
	if (head->forwarded) {
		g_strlcpy(flight->team, head->hop_team, sizeof(flight->team));
		g_strlcpy(
		    flight->sender, head->hop_sender, sizeof(flight->sender));
	} else if (head->key_hash != NULL) {
		flight->has_key = true;
		memcpy(flight->key_hash, head->key_hash, KEY_HASH_BYTES);
	}
	reason = gate_check_rules(gate, flight);
	if (reason != REFUSAL_NONE) {
		gate_close(gate, flight);
		return reason;
	}
	flight_classify(gate, flight, head);
	*id = gate_flight_id(gate, flight);
	return REFUSAL_NONE;
}

bool
gate_flight_info(const gate_t *gate, flight_id_t id, flight_info_t *info)
{
	const flight_t *flight = gate_flight(gate, id);

	if (flight == NULL)
		return false;
	memset(info, 0, sizeof(*info));
	g_strlcpy(info->team, flight->team, sizeof(info->team));
	info->engine = flight->engine;
	info->order = flight->order;
	return true;
}

void
gate_tick(gate_t *gate, time_us_t now, int64_t wall_s, GArray *actions)
{
	gate_follow_share(gate, now);
	gate_pump_tokens(gate, now, actions);
	gate_pump_all(gate, now, actions);
	gate_tick_peers(gate, now, actions);
	gate_tick_engines(gate, now, actions);
	if (now < gate->sweep_at)
		return;
	gate->sweep_at = now + US_PER_S;
	allotment_sweep(gate->allotment, now);
	order_expire(gate->orders, wall_s);
	poison_expire(gate->poison, now);
}
