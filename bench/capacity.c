/*
 * Measures how the state, the messages and the processor time of one instance
 * grow with the number of instances and teams. It runs the real modules of core
 * and peer for one instance and feeds them the messages of the others; it is no
 * simulation of a cluster. Times are wall-clock times of one thread.
 */
#include <glib.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config/lists.h"
#include "core/gate.h"
#include "core/limiter.h"
#include "core/lists.h"
#include "core/order.h"
#include "lists.h"
#include "peer/messages.h"

#define REPEATS 200
#define TICK_US (50 * US_PER_MS)

static double
seconds_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

typedef struct {
	fleet_t *fleet;
	allowances_t *allowances;
	plans_t *plans;
	membership_t *membership;
	limiter_t *limiter;
} subject_t;

static void
subject_create(subject_t *subject, int instances, int teams)
{
	subject->fleet = fleet_make(instances, 1);
	subject->allowances = allowances_make(instances, 1, false);
	subject->plans = plans_make(teams, instances, 1);
	subject->membership = membership_create("i0", "zone-0", 1, 1);
	subject->limiter = limiter_create(subject->membership, "i0", 1);
	limiter_adopt(subject->limiter, subject->fleet, subject->plans,
	    subject->allowances, 2);
}

static void
subject_destroy(subject_t *subject)
{
	limiter_destroy(subject->limiter);
	membership_destroy(subject->membership);
	plans_unref(subject->plans);
	allowances_unref(subject->allowances);
	fleet_unref(subject->fleet);
}

/* A heartbeat of another instance that has the same lists. */
static heartbeat_t
heartbeat_of(const subject_t *subject, int index, time_us_t now)
{
	heartbeat_t beat;
	const instance_t *instance = &subject->fleet->instances[index];

	memset(&beat, 0, sizeof(beat));
	membership_fill(subject->membership, &beat, now);
	g_strlcpy(beat.sender, instance->name, sizeof(beat.sender));
	g_strlcpy(beat.zone, instance->zone, sizeof(beat.zone));
	beat.incarnation = 100 + (uint64_t)index;
	for (int i = 0; i < LIST_COUNT; i++)
		beat.acked[i] = beat.adopted[i].version;
	beat.n_load = BENCH_SERVICES;
	for (int i = 0; i < BENCH_SERVICES; i++)
		snprintf(beat.load[i].service, sizeof(beat.load[i].service),
		    "model-%d", i);
	return beat;
}

static void
heartbeat_measure(subject_t *subject, int instances)
{
	heartbeat_t beat = heartbeat_of(subject, 1, 1000);
	heartbeat_t reply;
	GBytes *wire = heartbeat_encode(&beat, NULL);
	size_t bytes = g_bytes_get_size(wire);
	double start = seconds_now();

	for (int i = 0; i < REPEATS; i++) {
		GBytes *coded;

		memset(&reply, 0, sizeof(reply));
		heartbeat_decode(
		    g_bytes_get_data(wire, NULL), bytes, &beat, NULL);
		membership_on_heartbeat(
		    subject->membership, &beat, &reply, 2000 + i);
		reply.n_load = beat.n_load;
		memcpy(reply.load, beat.load, sizeof(beat.load));
		reply.sent_at = 0;
		coded = heartbeat_encode(&reply, NULL);
		g_bytes_unref(coded);
	}
	printf("| heartbeat, %d instances | %zu B each way | %.1f us |\n",
	    instances, bytes, (seconds_now() - start) / REPEATS * 1e6);
	g_bytes_unref(wire);
}

static void
fleet_measure(int instances)
{
	size_t before = heap_bytes();
	g_autofree char *text = fleet_text(instances, 2);
	subject_t subject;
	fleet_t *next;
	double start;
	double parse;

	subject_create(&subject, instances, 5);
	printf(
	    "| fleet list and membership, %d instances | %zu kB heap, %zu kB "
	    "text |",
	    instances, (heap_bytes() - before) / 1024, strlen(text) / 1024);
	start = seconds_now();
	next = fleet_make(instances, 2);
	parse = seconds_now() - start;
	start = seconds_now();
	limiter_adopt(subject.limiter, next, NULL, NULL, 3000);
	printf(" parse %.2f ms, adopt %.2f ms |\n", parse * 1e3,
	    (seconds_now() - start) * 1e3);
	fleet_unref(next);
	heartbeat_measure(&subject, instances);
	subject_destroy(&subject);
}

static void
plans_measure(int teams)
{
	size_t before;
	g_autofree char *text = plans_text(teams, 400, 2);
	subject_t subject;
	plans_t *next;
	double start;
	double parse = 0;

	/* One published value is at most 1 MB. */
	if (strlen(text) > 1 << 20) {
		printf("| plans list, %d teams | text %zu kB: above the value "
		       "limit of 1024 kB | refused |\n",
		    teams, strlen(text) / 1024);
		return;
	}
	subject_create(&subject, 400, 5);
	before = heap_bytes();
	start = seconds_now();
	next = plans_make(teams, 400, 2);
	parse = seconds_now() - start;
	start = seconds_now();
	limiter_adopt(subject.limiter, NULL, next, NULL, 3000);
	printf("| plans list, %d teams | %zu kB heap, %zu kB text | parse %.2f "
	       "ms, adopt %.2f ms |\n",
	    teams, (heap_bytes() - before) / 1024, strlen(text) / 1024,
	    parse * 1e3, (seconds_now() - start) * 1e3);
	plans_unref(next);
	subject_destroy(&subject);
}

static void
active_measure(int teams)
{
	subject_t subject;
	size_t before;
	double start;
	int admitted = 0;

	subject_create(&subject, 8, teams);
	before = heap_bytes();
	start = seconds_now();
	for (int i = 0; i < teams; i++) {
		g_autofree char *name = g_strdup_printf("team-%d", i);
		limiter_result_t result =
		    limiter_reserve(subject.limiter, name, 100, true, 5000);

		admitted += result.verdict == LIMITER_ADMITTED;
	}
	printf("| active team, %d active | %zu B each | %.2f us to admit |\n",
	    teams, (heap_bytes() - before) / (size_t)teams,
	    (seconds_now() - start) / teams * 1e6);
	start = seconds_now();
	limiter_sweep(subject.limiter, 6000);
	printf("| sweep a second, %d active | - | %.2f ms |\n", teams,
	    (seconds_now() - start) * 1e3);
	subject_destroy(&subject);
}

/* Counts what one gate sends, and answers it as peers in agreement would. */
typedef struct {
	size_t requests;
	size_t bytes;
} traffic_t;

static size_t
heartbeat_bytes(const heartbeat_t *beat)
{
	GBytes *wire = heartbeat_encode(beat, NULL);
	size_t bytes = g_bytes_get_size(wire);

	g_bytes_unref(wire);
	return bytes;
}

static void
traffic_answer(gate_t *gate, const fleet_t *fleet, const char *peer,
    time_us_t now, traffic_t *traffic)
{
	const instance_t *instance = fleet_find_instance(fleet, peer);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	heartbeat_t request;
	heartbeat_t reply;

	gate_heartbeat_fill(gate, peer, &request, now);
	reply = request;
	g_strlcpy(reply.sender, instance->name, sizeof(reply.sender));
	g_strlcpy(reply.zone, instance->zone, sizeof(reply.zone));
	reply.incarnation = 7;
	reply.ready = true;
	reply.lease_granted = true;
	for (int i = 0; i < LIST_COUNT; i++) {
		reply.acked[i] = reply.adopted[i].version;
		reply.agreed[i] = reply.adopted[i].version;
	}
	gate_on_reply(gate, peer, &reply, now, actions);
	traffic->requests++;
	traffic->bytes += heartbeat_bytes(&request);
	g_array_free(actions, TRUE);
}

static void
gate_run(gate_t *gate, const fleet_t *fleet, time_us_t from, time_us_t to,
    traffic_t *traffic)
{
	for (time_us_t now = from; now < to; now += TICK_US) {
		GArray *actions =
		    g_array_new(FALSE, FALSE, sizeof(gate_action_t));

		gate_tick(gate, now, 1000, actions);
		for (guint i = 0; i < actions->len; i++) {
			gate_action_t *action =
			    &g_array_index(actions, gate_action_t, i);

			if (action->kind == ACTION_HEARTBEAT)
				traffic_answer(gate, fleet,
				    action->u.heartbeat.peer, now, traffic);
		}
		g_array_free(actions, TRUE);
	}
}

static bool
pair_fits(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return true;
}

static void
gate_offer_list(gate_t *gate, list_kind_t kind, void *list, time_us_t now)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	list_any_t any = {.kind = kind, .head = list};

	gate_list_offer(gate, any, now, actions);
	g_array_free(actions, TRUE);
}

static gate_t *
measured_gate(lists_compatible_t fits)
{
	static const uint8_t key[ORDER_MAC_KEY_BYTES] = {1};
	gate_options_t options = {.instance = "i0",
	    .zone = "zone-0",
	    .incarnation = 1,
	    .ticket_key = key,
	    .queue_limit = 16,
	    .now = 1,
	    .pair_fits = fits};

	return gate_create(&options);
}

static void
traffic_measure(int instances)
{
	subject_t subject;
	gate_t *gate = measured_gate(pair_fits);
	traffic_t traffic = {0, 0};
	plans_t *next;
	double start;
	double seconds;

	subject_create(&subject, instances, 5);
	gate_offer_list(gate, LIST_FLEET, subject.fleet, 2);
	gate_offer_list(gate, LIST_ALLOWANCES, subject.allowances, 2);
	gate_offer_list(gate, LIST_PLANS, subject.plans, 2);
	/* Past the start, in which an instance asks all. */
	gate_run(gate, subject.fleet, 1000, 60 * US_PER_S, &traffic);
	traffic = (traffic_t){0, 0};
	start = seconds_now();
	gate_run(gate, subject.fleet, 60 * US_PER_S, 120 * US_PER_S, &traffic);
	seconds = seconds_now() - start;
	printf("| heartbeats sent, steady, %d instances | %.2f/s, %.2f kB/s | "
	       "%.3f%% of a core |\n",
	    instances, (double)traffic.requests / 60,
	    (double)traffic.bytes / 60 / 1000, seconds / 60 * 100);
	traffic = (traffic_t){0, 0};
	next = plans_make(5, instances, 2);
	gate_offer_list(gate, LIST_PLANS, next, 120 * US_PER_S);
	gate_run(gate, subject.fleet, 120 * US_PER_S, 121 * US_PER_S, &traffic);
	printf("| heartbeats in the second after a list change, %d instances | "
	       "%zu, %.1f kB | - |\n",
	    instances, traffic.requests, (double)traffic.bytes / 1000);
	plans_unref(next);
	gate_destroy(gate);
	subject_destroy(&subject);
}

/* Bytes of the bodies of a fetch of a part by an instance that lacks it. */
static void
fetch_bytes(
    const gate_t *gate, const char *text, size_t *request, size_t *reply)
{
	fetch_t *fetch = g_new0(fetch_t, 1);
	fetch_reply_t answer = {.kind = LIST_PLANS,
	    .version = 1,
	    .text = (char *)text,
	    .len = strlen(text),
	    .parts = 1};
	GBytes *bytes;

	fetch->kind = LIST_PLANS;
	gate_plans_held(gate, &fetch->held);
	bytes = fetch_encode(fetch, NULL);
	*request = g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	bytes = fetch_reply_encode(&answer, NULL);
	*reply = g_bytes_get_size(bytes);
	g_bytes_unref(bytes);
	g_free(fetch);
}

/* A change of one part: what is moved, and the time until it is in force. */
static void
part_measure(gate_t *gate, const char *text, int teams, uint32_t parts)
{
	size_t request;
	size_t reply;
	plans_t *next;
	double start = seconds_now();
	double parse;

	next = part_parse(text);
	parse = seconds_now() - start;
	fetch_bytes(gate, text, &request, &reply);
	start = seconds_now();
	gate_offer_list(gate, LIST_PLANS, next, 3 * US_PER_S);
	printf("| change of one part of %u, %d teams | read %.1f kB, or fetch "
	       "%zu B + %.1f kB | parse %.2f ms, adopt %.2f ms |\n",
	    parts, teams, (double)strlen(text) / 1000, request,
	    (double)reply / 1000, parse * 1e3, (seconds_now() - start) * 1e3);
	plans_unref(next);
}

static bool
pair_matches(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return lists_check_pair(plans, allowances, NULL);
}

static void
parts_measure(int teams, uint32_t parts)
{
	subject_t subject;
	gate_t *gate = measured_gate(pair_matches);
	uint64_t versions[LIST_COUNT];
	size_t before;

	subject_create(&subject, 400, 5);
	gate_offer_list(gate, LIST_FLEET, subject.fleet, 2);
	gate_offer_list(gate, LIST_ALLOWANCES, subject.allowances, 2);
	before = heap_bytes();
	for (uint32_t i = 0; i < parts; i++) {
		g_autofree char *text = part_text(teams, 400, i, parts, 1);
		plans_t *part = part_parse(text);

		gate_offer_list(gate, LIST_PLANS, part, 2);
		plans_unref(part);
	}
	gate_list_versions(gate, versions);
	if (versions[LIST_PLANS] != parts)
		exit(EXIT_FAILURE);
	printf("| plans list in %u parts, %d teams | %zu kB heap | - |\n",
	    parts, teams, (heap_bytes() - before) / 1024);
	for (int change = 0; change < 2; change++) {
		g_autofree char *text = part_text(
		    teams, 400, parts / 2, parts, 2 + (uint64_t)change);

		/* The first one fills caches and allocator. */
		if (change == 1) {
			part_measure(gate, text, teams, parts);
		} else {
			plans_t *part = part_parse(text);

			gate_offer_list(gate, LIST_PLANS, part, 2);
			plans_unref(part);
		}
	}
	gate_destroy(gate);
	subject_destroy(&subject);
}

static void
order_measure(int orders)
{
	static const uint8_t key[ORDER_MAC_KEY_BYTES] = {1};
	static const uint8_t digest[DIGEST_BYTES] = {2};
	order_table_t *table = order_table_create(
	    "i0", 1, key, ORDER_TABLE_LIMIT, ORDER_ANSWER_BUDGET);
	size_t before = heap_bytes();
	double start = seconds_now();

	for (int i = 0; i < orders; i++) {
		g_autofree char *team = g_strdup_printf("team-%d", i % 100);
		char ticket[ORDER_TICKET_SIZE];
		order_begin_t begin;

		order_ticket_issue(
		    table, team, (uint64_t)i, 1000, ticket, sizeof(ticket));
		begin = order_begin(
		    table, team, ticket, digest, ORDER_FROM_CALLER, 500);
		if (begin.action == ORDER_RUN)
			order_settle_completed(
			    table, begin.handle, 201, "text/plain", "ok", 2);
	}
	printf("| remembered order, %d | %zu B each | %.2f us each |\n", orders,
	    (heap_bytes() - before) / (size_t)orders,
	    (seconds_now() - start) / orders * 1e6);
	order_table_destroy(table);
}

int
main(void)
{
	static const int instances[] = {8, 40, 400};
	static const int teams[] = {5, 500, 7000, 16000};
	static const int active[] = {5, 500, 7000};
	static const int orders[] = {100, 1000, 10000};

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	printf("| what, size | state or message | processor time |\n"
	       "|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++)
		fleet_measure(instances[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++)
		traffic_measure(instances[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(teams); i++)
		plans_measure(teams[i]);
	parts_measure(500, 1);
	parts_measure(7000, 1);
	for (size_t i = 1; i < G_N_ELEMENTS(teams); i++) {
		for (uint32_t parts = 16; parts <= 128; parts *= 2)
			parts_measure(teams[i], parts);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(active); i++)
		active_measure(active[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++)
		order_measure(orders[i]);
	return EXIT_SUCCESS;
}
