#include "model.h"

#include <stdio.h>
#include <string.h>

#include "core/bucket.h"
#include "core/gate.h"
#include "core/spill.h"
#include "random.h"

#define SERVICE "writer"

/* As the gate assumes it for a request and its answer. */
#define BYTES_PER_TOKEN 4

static zone_t zones[MODEL_REGIONS_MAX] = {
    {"zone0", "region0", 1}, {"zone1", "region1", 1}};
static const allowances_t allowances = {
    .zones = zones, .n_zones = MODEL_REGIONS_MAX};
static char *regions[] = {"region0", "region1", NULL};

/* Speed of a target. */
#define PROMPT_TOKENS_PER_S 12000
#define STEP_US 15000	     /* one output token, alone on the target */
#define STEP_SLOWDOWN 0.03   /* for each other request */
#define PROMPT_SLOWDOWN 0.02 /* the same for the prompt */

typedef struct {
	time_us_t arrived_at;
	time_us_t deadline;
	time_us_t yield_until;
	reservation_t reservation;
	int team;
	int instance;
	bool forwarded;
	uint32_t prefix;
	int32_t output;
	handle_t target;
	uint32_t target_index;
} request_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_HOP, /* a request arrives at the other region */
	EVENT_FINISH,
	EVENT_REPORT,
	EVENT_HEARTBEAT,
	EVENT_LIST
} kind_t;

typedef struct {
	time_us_t at;
	uint64_t sequence; /* order of events at the same time */
	kind_t kind;
	int team;	    /* arrival */
	request_t *request; /* hop, finish */
} event_t;

typedef struct {
	char name[16];
	char url[16];
	uint32_t running;
	time_us_t prompt_free_at;
	GQueue cache; /* most recently used first */
	GList links[MODEL_PREFIXES];
	bool cached[MODEL_PREFIXES];
	uint32_t history[MODEL_REPORT_LAG_TICKS];
} model_target_t;

typedef struct {
	int index;
	route_t *route;
	queue_t *queue;
	spill_t *spill;
	GQueue fifo; /* request_t */
} instance_model_t;

typedef struct {
	const model_settings_t *settings;
	model_result_t *result;
	uint64_t random;
	time_us_t now;
	GArray *events; /* binary heap */
	uint64_t sequence;
	uint64_t ticks;
	double popularity[MODEL_PREFIXES]; /* cumulative */
	model_target_t targets[MODEL_TARGETS_MAX];
	target_t listed[MODEL_TARGETS_MAX];
	instance_model_t instances[MODEL_INSTANCES_MAX];
	bucket_t *buckets[MODEL_TEAMS_MAX]; /* a token for each request */
} world_t;

/* Event heap. */

static event_t *
event_at(const world_t *world, guint i)
{
	return &g_array_index(world->events, event_t, i);
}

static bool
event_before(const event_t *a, const event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
event_swap(const world_t *world, guint a, guint b)
{
	event_t event = *event_at(world, a);

	*event_at(world, a) = *event_at(world, b);
	*event_at(world, b) = event;
}

static void
event_add(world_t *world, event_t event)
{
	guint i = world->events->len;

	event.sequence = world->sequence++;
	g_array_append_val(world->events, event);
	while (i > 0 &&
	       event_before(event_at(world, i), event_at(world, (i - 1) / 2))) {
		event_swap(world, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static bool
event_next(world_t *world, event_t *event)
{
	guint i = 0;

	if (world->events->len == 0)
		return false;
	*event = *event_at(world, 0);
	event_swap(world, 0, world->events->len - 1);
	g_array_set_size(world->events, world->events->len - 1);
	for (;;) {
		guint child = 2 * i + 1;

		if (child >= world->events->len)
			return true;
		if (child + 1 < world->events->len &&
		    event_before(
			event_at(world, child + 1), event_at(world, child)))
			child++;
		if (!event_before(event_at(world, child), event_at(world, i)))
			return true;
		event_swap(world, i, child);
		i = child;
	}
}

/* Targets. */

static void
cache_drop_oldest(model_target_t *target)
{
	GList *link = g_queue_pop_tail_link(&target->cache);

	target->cached[link - target->links] = false;
}

/* Returns whether the prefix was cached; it is from now on. */
static bool
cache_use(model_target_t *target, uint32_t prefix)
{
	bool hit = target->cached[prefix];

	if (hit)
		g_queue_unlink(&target->cache, &target->links[prefix]);
	else if (target->cache.length == MODEL_CACHE)
		cache_drop_oldest(target);
	g_queue_push_head_link(&target->cache, &target->links[prefix]);
	target->cached[prefix] = true;
	return hit;
}

static void
cache_clear(model_target_t *target)
{
	while (target->cache.length > 0)
		cache_drop_oldest(target);
}

static int
region_count(const model_settings_t *settings)
{
	return MAX(settings->n_regions, 1);
}

static bool
request_counts(const world_t *world, const request_t *request)
{
	return request->arrived_at >= world->settings->warm_up;
}

/* begin_at is when the target begins the prompt. */
static void
result_add(world_t *world, const request_t *request, time_us_t begin_at,
    time_us_t first_at, bool hit, int computed)
{
	model_result_t *result = world->result;
	time_us_t back = request->forwarded ? SPILL_REGION_DELAY_US : 0;
	double ms = (double)(first_at + back - request->arrived_at) / 1000;
	model_parts_t parts = {.all_ms = ms,
	    .slot_ms = (double)(world->now - request->arrived_at) / 1000,
	    .turn_ms = (double)(begin_at - world->now) / 1000,
	    .prompt_ms = (double)(first_at - begin_at) / 1000,
	    .team = request->team,
	    .hit = hit};

	if (!request_counts(world, request))
		return;
	g_array_append_val(result->parts, parts);
	result->started++;
	result->forwarded += request->forwarded;
	result->hits += hit;
	result->computed += computed;
	g_array_append_val(result->first_token, ms);
	g_array_append_val(result->by_team[request->team], ms);
	if (request->target_index == 0)
		g_array_append_val(result->on_target_0, ms);
	if (first_at + back - request->arrived_at <= MODEL_GOAL_US)
		result->in_time[request->team]++;
}

/* Runs a request on its target and schedules its end. */
static void
request_run(world_t *world, request_t *request)
{
	model_target_t *target = &world->targets[request->target_index];
	bool hit = cache_use(target, request->prefix);
	int computed = MODEL_SUFFIX_TOKENS + (hit ? 0 : MODEL_PREFIX_TOKENS);
	double others = target->running++;
	time_us_t begin = MAX(world->now, target->prompt_free_at);
	double step = STEP_US * (1 + STEP_SLOWDOWN * others);
	time_us_t first;

	target->prompt_free_at =
	    begin +
	    (time_us_t)((double)computed * US_PER_S / PROMPT_TOKENS_PER_S *
			(1 + PROMPT_SLOWDOWN * others));
	first = target->prompt_free_at + (time_us_t)step;
	result_add(world, request, begin, first, hit, computed);
	event_add(
	    world, (event_t){.at = first + (time_us_t)(step * request->output),
		       .kind = EVENT_FINISH,
		       .request = request});
}

/* Instances. */

static bool
request_try(world_t *world, request_t *request)
{
	instance_model_t *instance = &world->instances[request->instance];
	route_view_t view;
	route_choice_t choice =
	    route_pick(instance->route, SERVICE, request->prefix + 1,
		HANDLE_NONE, random_next(&world->random), world->now);

	if (choice.verdict != ROUTE_PICKED ||
	    !route_start(instance->route, choice.target, world->now))
		return false;
	route_view(instance->route, choice.target, world->now, &view);
	request->target = choice.target;
	request->target_index = (uint32_t)atoi(view.name + 1);
	return true;
}

static bool
request_yields(const world_t *world, const request_t *request)
{
	return world->now < request->yield_until &&
	       route_nearly_full(world->instances[request->instance].route,
		   SERVICE, world->now);
}

static queue_decision_t
request_can_start(queue_item_t item, void *context)
{
	if (request_yields(context, item.item))
		return QUEUE_SKIP;
	return request_try(context, item.item) ? QUEUE_START : QUEUE_STOP;
}

static void
request_settle(world_t *world, request_t *request, int64_t used)
{
	bucket_settle(world->buckets[request->team], &request->reservation,
	    used, world->now);
}

/* As in the gate, a request that did not run gets its tokens back. */
static void
request_refuse(world_t *world, request_t *request)
{
	if (request_counts(world, request))
		world->result->refused++;
	request_settle(world, request, 0);
	g_free(request);
}

static void
instance_dispatch(world_t *world, instance_model_t *instance)
{
	queue_item_t item;

	while (world->settings->fifo && instance->fifo.length > 0 &&
	       request_try(world, instance->fifo.head->data))
		request_run(world, g_queue_pop_head(&instance->fifo));
	while (queue_expire(instance->queue, world->now, &item))
		request_refuse(world, item.item);
	while (queue_pop(
	    instance->queue, request_can_start, world, world->now, &item))
		request_run(world, item.item);
}

static bool
instance_is_full(
    world_t *world, instance_model_t *instance, const request_t *request)
{
	return route_pick(instance->route, SERVICE, request->prefix + 1,
		   HANDLE_NONE, 0, world->now)
		   .verdict == ROUTE_ALL_FULL;
}

/* The team's name is written to team. */
static queue_request_t
queue_request(const world_t *world, request_t *request, char team[16])
{
	snprintf(team, 16, "t%d", request->team);
	return (queue_request_t){.team = team,
	    .priority = world->settings->priority[request->team] +
			(request->yield_until != 0),
	    .cost = MODEL_PREFIX_TOKENS + MODEL_SUFFIX_TOKENS + request->output,
	    .deadline = request->deadline,
	    .item = request};
}

/* Sends the request to the other region if core/spill says so. */
static bool
request_spill(world_t *world, instance_model_t *instance, request_t *request)
{
	char team[16];
	queue_request_t entry = queue_request(world, request, team);
	spill_query_t query = {.service = SERVICE,
	    .zone = zones[instance->index % region_count(world->settings)].name,
	    .regions = regions,
	    .bytes = entry.cost * BYTES_PER_TOKEN};
	spill_choice_t choice;

	if (!world->settings->spill || request->forwarded)
		return false;
	query.local_wait =
	    queue_expected_wait(instance->queue, &entry, world->now);
	choice = spill_decide(instance->spill, &allowances, &query,
	    random_next(&world->random), world->now);
	if (choice.verdict == SPILL_LOCAL)
		return false;
	request->forwarded = true;
	request->instance = atoi(choice.instance + 1);
	event_add(world,
	    (event_t){
		.at = world->now + MAX(choice.cost - SPILL_REGION_DELAY_US, 0),
		.kind = EVENT_HOP,
		.request = request});
	return true;
}

static void
instance_enqueue(world_t *world, instance_model_t *instance, request_t *request)
{
	char team[16];
	queue_request_t entry = queue_request(world, request, team);
	queue_push_result_t push;

	if (world->settings->fifo) {
		if (instance->fifo.length >= world->settings->queue_limit)
			request_refuse(world, request);
		else
			g_queue_push_tail(&instance->fifo, request);
		return;
	}
	push = queue_push(instance->queue, &entry, world->now);
	if (push.evicted.handle != HANDLE_NONE)
		request_refuse(world, push.evicted.item);
	if (push.verdict != QUEUE_QUEUED)
		request_refuse(world, request);
}

static uint32_t
prefix_draw(world_t *world)
{
	double at = random_unit(&world->random);
	uint32_t low = 0;
	uint32_t high = MODEL_PREFIXES - 1;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (world->popularity[middle] < at)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Events. */

static void
arrival_schedule(world_t *world, int team)
{
	double gap = random_exponential(
	    &world->random, 1e6 / world->settings->rate[team]);
	time_us_t at = world->now + (time_us_t)gap;

	if (at < world->settings->duration)
		event_add(world,
		    (event_t){.at = at, .kind = EVENT_ARRIVAL, .team = team});
}

/* Takes one request from the team's rate limit. */
static bool
limit_take(world_t *world, request_t *request)
{
	bucket_t *bucket = world->buckets[request->team];
	bool low = bucket_is_low(bucket, world->now);

	if (world->settings->limit <= 0)
		return true;
	if (!bucket_reserve(
		bucket, TOKEN_MICRO, world->now, &request->reservation))
		return false;
	if (low && world->settings->yields)
		request->yield_until = world->now + YIELD_LIMIT_US;
	return true;
}

static int
instance_draw(world_t *world)
{
	const model_settings_t *settings = world->settings;
	int n_regions = region_count(settings);
	int region = 0;
	int n = settings->n_instances / n_regions;

	if (n_regions > 1 && random_unit(&world->random) > settings->in_region)
		region = 1;
	return region +
	       n_regions * (int)(random_next(&world->random) % (uint64_t)n);
}

/* As flight_start() of the gate. */
static void
request_start(world_t *world, request_t *request)
{
	instance_model_t *instance = &world->instances[request->instance];
	bool waits = request_yields(world, request) ||
		     queue_length(instance->queue) > 0 ||
		     instance->fifo.length > 0;

	if (!waits && request_try(world, request)) {
		request_run(world, request);
		return;
	}
	if (instance_is_full(world, instance, request) &&
	    request_spill(world, instance, request))
		return;
	instance_enqueue(world, instance, request);
	instance_dispatch(world, instance);
}

static void
on_arrival(world_t *world, int team)
{
	const model_settings_t *settings = world->settings;
	request_t *request = g_new0(request_t, 1);

	arrival_schedule(world, team);
	request->arrived_at = world->now;
	request->deadline =
	    world->now + (settings->start_limit > 0 ? settings->start_limit
						    : MODEL_START_US);
	request->team = team;
	if (!limit_take(world, request)) {
		g_free(request);
		return;
	}
	request->prefix = prefix_draw(world);
	request->output = 1 + (int32_t)random_exponential(
				  &world->random, MODEL_OUTPUT_TOKENS - 1);
	request->instance = instance_draw(world);
	if (request_counts(world, request))
		world->result->arrived[team]++;
	request_start(world, request);
}

static void
on_finish(world_t *world, request_t *request)
{
	instance_model_t *instance = &world->instances[request->instance];

	world->targets[request->target_index].running--;
	route_finish(instance->route, request->target, ROUTE_OK, world->now);
	request_settle(world, request, TOKEN_MICRO);
	g_free(request);
	instance_dispatch(world, instance);
}

static void
on_report(world_t *world)
{
	uint64_t at = world->ticks++ % MODEL_REPORT_LAG_TICKS;

	for (int t = 0; t < world->settings->n_targets; t++) {
		model_target_t *target = &world->targets[t];

		for (int i = 0; i < world->settings->n_instances; i++) {
			route_t *route = world->instances[i].route;

			route_report(route, route_find(route, target->name),
			    target->history[at], world->now);
		}
		target->history[at] = target->running;
	}
	for (int i = 0; i < world->settings->n_instances; i++)
		instance_dispatch(world, &world->instances[i]);
	if (world->now < world->settings->duration)
		event_add(
		    world, (event_t){.at = world->now + MODEL_REPORT_EVERY_US,
			       .kind = EVENT_REPORT});
}

/* Tells each instance the load of those in the other region. */
static void
on_heartbeat(world_t *world)
{
	const model_settings_t *settings = world->settings;
	int n_regions = region_count(settings);

	for (int i = 0; i < settings->n_instances; i++) {
		instance_model_t *sender = &world->instances[i];
		heartbeat_t heartbeat = {.ready = true, .n_load = 1};
		service_load_t *load = &heartbeat.load[0];

		snprintf(heartbeat.sender, sizeof(heartbeat.sender), "i%d", i);
		g_strlcpy(heartbeat.zone, zones[i % n_regions].name,
		    sizeof(heartbeat.zone));
		g_strlcpy(load->service, SERVICE, sizeof(load->service));
		route_service_load(
		    sender->route, SERVICE, &load->in_flight, &load->slots);
		load->queued = queue_length(sender->queue);
		for (int k = 0; k < settings->n_instances; k++) {
			if (k % n_regions != i % n_regions)
				spill_record_load(world->instances[k].spill,
				    &heartbeat, world->now);
		}
	}
	if (world->now < settings->duration)
		event_add(world,
		    (event_t){.at = world->now + MODEL_HEARTBEAT_EVERY_US,
			.kind = EVENT_HEARTBEAT});
}

static uint32_t
own_slots(const target_t *target, void *context)
{
	const model_settings_t *settings = context;

	return target->slots * (uint32_t)region_count(settings) /
	       (uint32_t)settings->n_instances;
}

static void
on_list(world_t *world)
{
	const model_settings_t *settings = world->settings;
	bool lost = settings->lost_at != 0 && world->now >= settings->lost_at &&
		    world->now < settings->back_at;
	bool back = settings->back_at != 0 && world->now >= settings->back_at;
	size_t first = lost ? 1 : 0;
	fleet_t fleet = {.targets = world->listed + first,
	    .n_targets = (size_t)settings->n_targets - first};

	if (back) {
		cache_clear(&world->targets[0]);
		g_strlcpy(world->targets[0].url, "restarted",
		    sizeof(world->targets[0].url));
	}
	for (int i = 0; i < settings->n_instances; i++)
		route_sync(world->instances[i].route, &fleet,
		    zones[i % region_count(settings)].name, own_slots,
		    (void *)settings, world->now);
}

/* Start and end of a run. */

static void
world_fill_popularity(world_t *world)
{
	double sum = 0;

	for (int i = 0; i < MODEL_PREFIXES; i++) {
		sum += 1 / pow(i + 1, world->settings->zipf);
		world->popularity[i] = sum;
	}
	for (int i = 0; i < MODEL_PREFIXES; i++)
		world->popularity[i] /= sum;
}

static void
world_fill(world_t *world)
{
	const model_settings_t *settings = world->settings;

	world->random = settings->seed;
	world->events = g_array_new(FALSE, FALSE, sizeof(event_t));
	world_fill_popularity(world);
	for (int i = 0; i < settings->n_targets; i++) {
		model_target_t *target = &world->targets[i];

		snprintf(target->name, sizeof(target->name), "w%d", i);
		g_strlcpy(target->url, "first", sizeof(target->url));
		world->listed[i] = (target_t){.name = target->name,
		    .zone = zones[i % region_count(settings)].name,
		    .service = SERVICE,
		    .url = target->url,
		    .slots = MODEL_SLOTS,
		    .state = MEMBER_LIVE};
	}
	for (int i = 0; i < settings->n_instances; i++) {
		instance_model_t *instance = &world->instances[i];

		instance->index = i;
		instance->route = route_create(settings->route);
		instance->queue = queue_create(settings->queue_limit);
		instance->spill =
		    spill_create((spill_settings_t){SPILL_ZONE_DELAY_US,
			SPILL_REGION_DELAY_US, SPILL_REGION_BANDWIDTH});
	}
	on_list(world);
	for (int i = 0; i < settings->n_teams; i++) {
		int64_t rate = (int64_t)(settings->limit * TOKEN_MICRO);

		world->buckets[i] = bucket_create(0);
		bucket_set_limits(
		    world->buckets[i], rate, rate * MODEL_LIMIT_BURST_S, 0);
		arrival_schedule(world, i);
	}
	event_add(world, (event_t){.kind = EVENT_REPORT});
	if (settings->spill)
		event_add(world, (event_t){.kind = EVENT_HEARTBEAT});
	if (settings->lost_at != 0) {
		event_add(world,
		    (event_t){.at = settings->lost_at, .kind = EVENT_LIST});
		event_add(world,
		    (event_t){.at = settings->back_at, .kind = EVENT_LIST});
	}
}

static void
event_handle(world_t *world, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(world, event->team);
		break;
	case EVENT_HOP:
		request_start(world, event->request);
		break;
	case EVENT_FINISH:
		on_finish(world, event->request);
		break;
	case EVENT_REPORT:
		on_report(world);
		break;
	case EVENT_HEARTBEAT:
		on_heartbeat(world);
		break;
	case EVENT_LIST:
		on_list(world);
		break;
	}
}

/* Requests that still wait when the events end are refused. */
static void
world_clear(world_t *world)
{
	for (int i = 0; i < world->settings->n_instances; i++) {
		instance_model_t *instance = &world->instances[i];
		queue_item_t item;

		while (queue_expire(instance->queue, INT64_MAX, &item))
			request_refuse(world, item.item);
		while (instance->fifo.length > 0)
			request_refuse(
			    world, g_queue_pop_head(&instance->fifo));
		route_destroy(instance->route);
		queue_destroy(instance->queue);
		spill_destroy(instance->spill);
	}
	for (int i = 0; i < world->settings->n_teams; i++)
		bucket_destroy(world->buckets[i]);
	g_array_free(world->events, TRUE);
	g_free(world);
}

static void
world_run(const model_settings_t *settings, model_result_t *result)
{
	world_t *world = g_new0(world_t, 1);
	event_t event;

	world->settings = settings;
	world->result = result;
	world_fill(world);
	while (event_next(world, &event)) {
		world->now = event.at;
		event_handle(world, &event);
	}
	world_clear(world);
}

void
model_run(const model_settings_t *settings, int n_seeds, model_result_t *result)
{
	model_settings_t each = *settings;

	memset(result, 0, sizeof(*result));
	result->first_token = g_array_new(FALSE, FALSE, sizeof(double));
	result->parts = g_array_new(FALSE, FALSE, sizeof(model_parts_t));
	result->on_target_0 = g_array_new(FALSE, FALSE, sizeof(double));
	for (int i = 0; i < MODEL_TEAMS_MAX; i++)
		result->by_team[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (int i = 0; i < n_seeds; i++) {
		world_run(&each, result);
		result->seconds +=
		    (double)(each.duration - each.warm_up) / US_PER_S;
		each.seed = random_next(&each.seed);
	}
}

void
model_result_clear(model_result_t *result)
{
	g_array_free(result->first_token, TRUE);
	g_array_free(result->parts, TRUE);
	g_array_free(result->on_target_0, TRUE);
	for (int i = 0; i < MODEL_TEAMS_MAX; i++)
		g_array_free(result->by_team[i], TRUE);
}

static int
double_compare(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

static bool
doubles_sorted(const GArray *values)
{
	for (guint i = 1; i < values->len; i++) {
		if (g_array_index(values, double, i - 1) >
		    g_array_index(values, double, i))
			return false;
	}
	return true;
}

double
percentile(GArray *values, double percent)
{
	guint at;

	if (values->len == 0)
		return 0;
	if (!doubles_sorted(values))
		g_array_sort(values, double_compare);
	at = (guint)(percent / 100 * values->len);
	return g_array_index(values, double, MIN(at, values->len - 1));
}
