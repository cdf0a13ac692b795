#include "core/gate.h"

#include <string.h>

#include "core/random.h"
#include "gate_internal.h"

gate_request_t *
gate_request(const gate_t *gate, gate_request_handle_t id)
{
	uint32_t index = (uint32_t)id;
	gate_request_t *request;

	if (index >= gate->n_entries)
		return NULL;
	request = &gate->requests[index];
	if (request->state == GATE_REQUEST_FREE ||
	    request->generation != (uint32_t)(id >> 32))
		return NULL;
	return request;
}

gate_request_handle_t
gate_request_handle(const gate_t *gate, const gate_request_t *request)
{
	return handle_make(
	    (uint32_t)(request - gate->requests), request->generation);
}

uint64_t
gate_random(gate_t *gate)
{
	return random_next(&gate->random);
}

gate_action_t *
gate_action(gate_t *gate, GArray *actions, action_kind_t kind,
    const gate_request_t *request)
{
	gate_action_t *action;

	g_array_set_size(actions, actions->len + 1);
	action = &g_array_index(actions, gate_action_t, actions->len - 1);
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	if (request != NULL) {
		action->request = gate_request_handle(gate, request);
		action->user = request->user;
		action->retry_reason = request->retry_reason;
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
	membership_set_overcommitted_source(
	    gate->membership, gate_is_overcommitted, gate);
	gate->limiter =
	    limiter_create(gate->membership, gate->name, gate->incarnation);
	gate->orders = order_table_create(gate->name, gate->incarnation,
	    options->ticket_key, ORDER_TABLE_LIMIT, ORDER_ANSWER_BUDGET);
	gate->poison = poison_table_create(gate->zone, POISON_TABLE_LIMIT);
	retry_budget_init(&gate->retries, options->now);
	gate->route = route_create(routing);
	gate->spill = spill_create((spill_settings_t){SPILL_ZONE_DELAY_US,
	    SPILL_REGION_DELAY_US, SPILL_REGION_BANDWIDTH});
	gate->queues = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)queue_destroy);
	gate->free_entries = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	gate_create_engines(gate, options->wall_s);
	g_queue_init(&gate->token_waiters);
	gate->zone_sizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gate->load_reported_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Instances start the round robin at different members of a zone. */
	gate->remote_turn = g_str_hash(gate->name) % 1024;
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
	g_hash_table_destroy(gate->load_reported_at);
	g_hash_table_destroy(gate->peers);
	g_queue_clear_full(&gate->token_waiters, g_free);
	g_array_free(gate->free_entries, TRUE);
	g_free(gate->requests);
	g_hash_table_destroy(gate->queues);
	directory_destroy(gate->directory);
	engines_destroy(gate->engines);
	spill_destroy(gate->spill);
	route_destroy(gate->route);
	poison_table_destroy(gate->poison);
	order_table_destroy(gate->orders);
	limiter_destroy(gate->limiter);
	membership_destroy(gate->membership);
	lists_view_clear(&gate->view);
	lists_destroy(gate->lists);
	g_strfreev(gate->seeds);
	g_free(gate);
}

static gate_request_t *
allocate_request(gate_t *gate)
{
	uint32_t index;
	uint32_t generation;
	gate_request_t *request;

	if (gate->free_entries->len > 0) {
		index = g_array_index(
		    gate->free_entries, uint32_t, gate->free_entries->len - 1);
		g_array_set_size(
		    gate->free_entries, gate->free_entries->len - 1);
	} else {
		index = (uint32_t)gate->n_entries;
		gate->n_entries++;
		gate->requests =
		    g_renew(gate_request_t, gate->requests, gate->n_entries);
		gate->requests[index].generation = 0;
	}
	request = &gate->requests[index];
	generation = generation_next(request->generation);
	memset(request, 0, sizeof(*request));
	request->generation = generation;
	request->state = GATE_REQUEST_READING;
	gate->n_requests++;
	return request;
}

void
gate_free_request(gate_t *gate, gate_request_t *request)
{
	uint32_t index = (uint32_t)(request - gate->requests);

	request->state = GATE_REQUEST_FREE;
	gate->n_requests--;
	g_array_append_val(gate->free_entries, index);
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
find_team(const gate_t *gate, const gate_request_t *request, refusal_t *reason)
{
	const key_owner_t *owner;

	if (request->forwarded) {
		const team_t *team =
		    plans_find_team(gate->view.plans, request->team);

		*reason = team ? REFUSAL_NONE : REFUSAL_KEY_UNKNOWN;
		return team;
	}
	if (!request->has_key) {
		*reason = REFUSAL_KEY_MISSING;
		return NULL;
	}
	owner = plans_find_key(gate->view.plans, request->key_hash);
	/* A key can be moved to another team, a running request can't. */
	if (owner == NULL ||
	    (request->team[0] &&
		strcmp(request->team, owner->team->name) != 0)) {
		*reason = REFUSAL_KEY_UNKNOWN;
		return NULL;
	}
	*reason = REFUSAL_NONE;
	return owner->team;
}

static refusal_t
check_team(const gate_t *gate, gate_request_t *request, const team_t *team)
{
	const plan_t *plan =
	    allowances_find_plan(gate->view.allowances, team->plan);
	const plan_use_t *use =
	    plan ? plan_find_use(plan, request->service) : NULL;

	g_strlcpy(request->team, team->name, sizeof(request->team));
	if (use == NULL)
		return REFUSAL_SERVICE_NOT_ALLOWED;
	request->priority = plan->priority;
	if (team->home != NULL && strcmp(team->home, gate->region) != 0)
		return REFUSAL_WRONG_REGION;
	return REFUSAL_NONE;
}

refusal_t
gate_check_rules(const gate_t *gate, gate_request_t *request)
{
	const service_t *service =
	    allowances_find_service(gate->view.allowances, request->service);
	const team_t *team;
	refusal_t reason;

	if (service == NULL)
		return REFUSAL_SERVICE_UNKNOWN;
	if (service->open && !request->has_key && request->team[0] == '\0')
		return REFUSAL_NONE;
	team = find_team(gate, request, &reason);
	if (team == NULL)
		return reason;
	return check_team(gate, request, team);
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
classify_request(
    const gate_t *gate, gate_request_t *request, const gate_head_t *head)
{
	const service_t *service =
	    allowances_find_service(gate->view.allowances, head->service);
	bool post = strcmp(head->method, "POST") == 0;

	request->engine = service->kind == SERVICE_ENGINE;
	request->order = post && path_is_order(service, head->path);
	/* Generating text has no side effects at the engine, so it can be
	 * repeated. The side effects of a POST to a plain service are unknown.
	 */
	request->idempotent = !post || request->engine;
}

refusal_t
gate_open(gate_t *gate, const gate_head_t *head, time_us_t now,
    gate_request_handle_t *id)
{
	gate_request_t *request;
	refusal_t reason;

	if (gate_is_draining(gate))
		return REFUSAL_DRAINING;
	if (!gate_is_ready(gate, now))
		return REFUSAL_STARTING;
	request = allocate_request(gate);
	request->user = head->user;
	request->deadline = head->deadline;
	request->checked_at = now;
	request->forwarded = head->forwarded;
	g_strlcpy(request->service, head->service, sizeof(request->service));
	g_strlcpy(request->method, head->method, sizeof(request->method));
	if (head->forwarded) {
		g_strlcpy(
		    request->team, head->forwarded_team, sizeof(request->team));
		g_strlcpy(request->sender, head->forwarded_by,
		    sizeof(request->sender));
	} else if (head->key_hash != NULL) {
		request->has_key = true;
		memcpy(request->key_hash, head->key_hash, KEY_HASH_BYTES);
	}
	reason = gate_check_rules(gate, request);
	if (reason != REFUSAL_NONE) {
		gate_free_request(gate, request);
		return reason;
	}
	classify_request(gate, request, head);
	*id = gate_request_handle(gate, request);
	return REFUSAL_NONE;
}

bool
gate_request_info(
    const gate_t *gate, gate_request_handle_t id, gate_request_info_t *info)
{
	const gate_request_t *request = gate_request(gate, id);

	if (request == NULL)
		return false;
	memset(info, 0, sizeof(*info));
	g_strlcpy(info->team, request->team, sizeof(info->team));
	info->engine = request->engine;
	info->order = request->order;
	return true;
}

void
gate_tick(gate_t *gate, time_us_t now, int64_t wall_s, GArray *actions)
{
	gate_sync_share(gate, now);
	gate_retry_token_waiters(gate, now, actions);
	gate_start_queued_all(gate, now, actions);
	gate_tick_peers(gate, now, actions);
	gate_tick_engines(gate, now, actions);
	if (now < gate->sweep_at)
		return;
	gate->sweep_at = now + US_PER_S;
	limiter_sweep(gate->limiter, now);
	order_expire(gate->orders, wall_s);
	poison_expire(gate->poison, now);
}
