/*
 * Measures how long a changed pair of lists takes until every instance knows
 * that it is agreed, and the bytes that the instances send for it. All gates of
 * a fleet run in virtual time and exchange encoded heartbeats; there are no
 * callers, targets and loans. A list reaches each instance within a second, as
 * from a watch. Usage: agreement_bench [instances loss-percent]
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate_internal.h"
#include "lists.h"
#include "peer/messages.h"
#include "random.h"

#define SLOT_US (10 * US_PER_MS)
#define N_SLOTS 32
#define TICK_SLOTS 5
#define REGION_SLOTS 8
#define READ_SLOTS 100
#define START_LIMIT_US (900 * US_PER_S)
#define STEADY_US (60 * US_PER_S)
/* 2,300 list changes a day. */
#define CHANGE_US (37 * US_PER_S + 500 * US_PER_MS)
#define N_CHANGES 4

typedef struct {
	int from, to;
	bool reply;
	list_kind_t fetch; /* LIST_COUNT: a heartbeat */
	GBytes *body;
} packet_t;

typedef struct {
	int n;
	double loss;
	uint64_t random;
	time_us_t now;
	gate_t **gates;
	int *regions;
	time_us_t *reads_at; /* when the newest list is read */
	time_us_t *agreed_at;
	GArray *slots[N_SLOTS]; /* packet_t */
	list_any_t lists[LIST_COUNT];
	uint64_t bytes, packets;
} net_t;

static bool
pair_fits(const plans_t *plans, const allowances_t *allowances, void *data)
{
	return true;
}

static bool
is_agreed(const net_t *net, int i)
{
	return membership_is_settled(net->gates[i]->membership, LIST_ALLOWANCES,
	    net->lists[LIST_ALLOWANCES].head->version);
}

static void
packet_post(net_t *net, packet_t packet)
{
	size_t delay = net->regions[packet.from] == net->regions[packet.to]
			   ? 1
			   : REGION_SLOTS;
	size_t slot = ((size_t)(net->now / SLOT_US) + delay) % N_SLOTS;

	if (packet.body != NULL) {
		net->bytes += g_bytes_get_size(packet.body);
		net->packets++;
	}
	if (random_unit(&net->random) < net->loss) {
		if (packet.body != NULL)
			g_bytes_unref(packet.body);
		return;
	}
	g_array_append_val(net->slots[slot], packet);
}

static void
actions_do(net_t *net, int i, GArray *actions)
{
	for (guint k = 0; k < actions->len; k++) {
		gate_action_t *action =
		    &g_array_index(actions, gate_action_t, k);
		packet_t packet = {.from = i, .fetch = LIST_COUNT};
		heartbeat_t beat;

		if (action->kind == ACTION_FETCH) {
			packet.to = atoi(action->u.fetch.peer + 1);
			packet.fetch = action->u.fetch.list;
			packet_post(net, packet);
		} else if (action->kind == ACTION_HEARTBEAT) {
			gate_heartbeat_fill(net->gates[i],
			    action->u.heartbeat.peer, &beat, net->now);
			packet.to = atoi(action->u.heartbeat.peer + 1);
			packet.body = heartbeat_encode(&beat, NULL);
			packet_post(net, packet);
		}
	}
	g_array_set_size(actions, 0);
}

static void
list_read(net_t *net, int i, list_kind_t kind, GArray *actions)
{
	gate_list_offer(net->gates[i], net->lists[kind], net->now, actions);
	actions_do(net, i, actions);
}

static void
packet_take(net_t *net, packet_t *packet, GArray *actions)
{
	gate_t *gate = net->gates[packet->to];
	packet_t answer = {.from = packet->to,
	    .to = packet->from,
	    .reply = true,
	    .fetch = packet->fetch};
	heartbeat_t beat, reply;

	if (packet->fetch != LIST_COUNT) {
		if (!packet->reply) {
			packet_post(net, answer);
			return;
		}
		list_read(net, packet->to, packet->fetch, actions);
		gate_fetch_end(gate, packet->fetch, true, net->now);
		return;
	}
	heartbeat_decode(g_bytes_get_data(packet->body, NULL),
	    g_bytes_get_size(packet->body), &beat, NULL);
	g_bytes_unref(packet->body);
	if (packet->reply) {
		gate_on_reply(gate, beat.sender, &beat, net->now, actions);
	} else {
		gate_on_heartbeat(gate, &beat, &reply, net->now, actions);
		answer.body = heartbeat_encode(&reply, NULL);
		packet_post(net, answer);
	}
	actions_do(net, packet->to, actions);
}

static void
net_step(net_t *net)
{
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));
	GArray *slot;
	int64_t step;

	net->now += SLOT_US;
	step = net->now / SLOT_US;
	slot = net->slots[step % N_SLOTS];
	for (guint k = 0; k < slot->len; k++)
		packet_take(net, &g_array_index(slot, packet_t, k), actions);
	g_array_set_size(slot, 0);
	for (int i = 0; i < net->n; i++) {
		if (net->reads_at[i] != 0 && net->now >= net->reads_at[i]) {
			net->reads_at[i] = 0;
			list_read(net, i, LIST_ALLOWANCES, actions);
		}
		if (i % TICK_SLOTS == step % TICK_SLOTS) {
			gate_tick(net->gates[i], net->now, 1000, actions);
			actions_do(net, i, actions);
		}
		if (net->agreed_at[i] == 0 && is_agreed(net, i))
			net->agreed_at[i] = net->now;
	}
	g_array_free(actions, TRUE);
}

static net_t *
net_create(int n, double loss)
{
	static const uint8_t key[ORDER_MAC_KEY_BYTES] = {1};
	net_t *net = g_new0(net_t, 1);
	fleet_t *fleet = fleet_make(n, 1);
	plans_t *plans = plans_make(5, n, 1);
	allowances_t *allowances = allowances_make(n, 1, false);
	GArray *actions = g_array_new(FALSE, FALSE, sizeof(gate_action_t));

	net->n = n;
	net->loss = loss;
	net->random = 1;
	net->now = US_PER_S;
	net->gates = g_new0(gate_t *, n);
	net->regions = g_new0(int, n);
	net->reads_at = g_new0(time_us_t, n);
	net->agreed_at = g_new0(time_us_t, n);
	net->lists[LIST_FLEET] =
	    (list_any_t){.kind = LIST_FLEET, .fleet = fleet};
	net->lists[LIST_PLANS] =
	    (list_any_t){.kind = LIST_PLANS, .plans = plans};
	net->lists[LIST_ALLOWANCES] =
	    (list_any_t){.kind = LIST_ALLOWANCES, .allowances = allowances};
	for (int k = 0; k < N_SLOTS; k++)
		net->slots[k] = g_array_new(FALSE, FALSE, sizeof(packet_t));
	for (int i = 0; i < n; i++) {
		gate_options_t options = {.instance = fleet->instances[i].name,
		    .zone = fleet->instances[i].zone,
		    .incarnation = (incarnation_t)i + 1,
		    .seed = (uint64_t)i + 1,
		    .ticket_key = key,
		    .queue_limit = 16,
		    .now = net->now,
		    .pair_fits = pair_fits};

		net->regions[i] =
		    atoi(fleet->instances[i].zone + strlen("zone-")) %
		    BENCH_REGIONS;
		net->gates[i] = gate_create(&options);
		for (int kind = 0; kind < LIST_COUNT; kind++)
			list_read(net, i, (list_kind_t)kind, actions);
	}
	g_array_free(actions, TRUE);
	return net;
}

static void
net_destroy(net_t *net)
{
	for (int k = 0; k < N_SLOTS; k++) {
		for (guint i = 0; i < net->slots[k]->len; i++) {
			GBytes *body =
			    g_array_index(net->slots[k], packet_t, i).body;

			if (body != NULL)
				g_bytes_unref(body);
		}
		g_array_free(net->slots[k], TRUE);
	}
	for (int i = 0; i < net->n; i++)
		gate_destroy(net->gates[i]);
	for (int kind = 0; kind < LIST_COUNT; kind++)
		list_any_clear(&net->lists[kind]);
	g_free(net->gates);
	g_free(net->regions);
	g_free(net->reads_at);
	g_free(net->agreed_at);
	g_free(net);
}

static void
net_run(net_t *net, time_us_t until)
{
	while (net->now < until)
		net_step(net);
}

static int
n_agreed(const net_t *net)
{
	int n = 0;

	for (int i = 0; i < net->n; i++)
		n += net->agreed_at[i] != 0;
	return n;
}

static gint
time_order(gconstpointer a, gconstpointer b)
{
	const time_us_t x = *(const time_us_t *)a;
	const time_us_t y = *(const time_us_t *)b;

	return x < y ? -1 : x > y;
}

/* Publishes a list and returns the times to the agreement of each instance. */
static void
change_measure(net_t *net, uint64_t version, GArray *times)
{
	time_us_t start = net->now;
	allowances_t *next = allowances_make(net->n, version, version % 2 == 0);

	list_any_clear(&net->lists[LIST_ALLOWANCES]);
	net->lists[LIST_ALLOWANCES] =
	    (list_any_t){.kind = LIST_ALLOWANCES, .allowances = next};
	for (int i = 0; i < net->n; i++) {
		net->agreed_at[i] = 0;
		net->reads_at[i] =
		    start +
		    (time_us_t)(random_unit(&net->random) * READ_SLOTS) *
			SLOT_US;
	}
	net_run(net, start + CHANGE_US);
	for (int i = 0; i < net->n; i++) {
		time_us_t took = net->agreed_at[i] == 0
				     ? INT64_MAX
				     : net->agreed_at[i] - start;

		g_array_append_val(times, took);
	}
}

static void
time_print(GArray *times, guint rank)
{
	time_us_t at = g_array_index(times, time_us_t, rank);

	if (at == INT64_MAX)
		printf(" not within %.1f s |", (double)CHANGE_US / US_PER_S);
	else
		printf(" %.2f s |", (double)at / US_PER_S);
}

static double
rate(const net_t *net, uint64_t bytes, time_us_t span)
{
	return (double)bytes / net->n / 1000 / ((double)span / US_PER_S);
}

static void
fleet_measure(int n, double loss)
{
	net_t *net = net_create(n, loss);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(time_us_t));
	uint64_t before;
	double steady, changing;
	time_us_t start;

	while (n_agreed(net) < n && net->now < START_LIMIT_US)
		net_step(net);
	start = net->now;
	net_run(net, net->now + STEADY_US);
	before = net->bytes;
	net_run(net, net->now + STEADY_US);
	steady = rate(net, net->bytes - before, STEADY_US);
	before = net->bytes;
	for (uint64_t version = 2; version < 2 + N_CHANGES; version++)
		change_measure(net, version, times);
	changing = rate(net, net->bytes - before, N_CHANGES * CHANGE_US);
	g_array_sort(times, time_order);
	printf("| %d | %.0f%% | %.0f s |", n, 100 * loss,
	    (double)start / US_PER_S);
	time_print(times, times->len / 2);
	time_print(times, times->len * 99 / 100);
	time_print(times, times->len - 1);
	printf(" %.2f | %.2f | %.1f |\n", steady, changing,
	    (changing - steady) * CHANGE_US / US_PER_S);
	fflush(stdout);
	g_array_free(times, TRUE);
	net_destroy(net);
}

int
main(int argc, char **argv)
{
	static const int instances[] = {8, 40, 400};
	static const double losses[] = {0, 0.1};

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	printf("| instances | loss | start until agreed | half | 99%% | all | "
	       "KB/s steady | KB/s with changes | KB a change |\n"
	       "|---|---|---|---|---|---|---|---|---|\n");
	if (argc == 3) {
		fleet_measure(atoi(argv[1]), atof(argv[2]) / 100);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(losses); k++)
			fleet_measure(instances[i], losses[k]);
	}
	return EXIT_SUCCESS;
}
