#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "tcp_relay.h"
#include "test.h"

/*
 * Separate processes on loopback for the process tests: a stand-in platform,
 * stand-in targets and entry instances in two zones of two regions. Every
 * helper waits on a condition with a generous limit and fails the test when it
 * does not come true.
 *
 *     zone stred-1 (region stred): instances s1 s2, engines w1 w2, service r1
 *     zone zapad-1 (region zapad): instances z1 z2, engine w3, service r2
 */

#define WAIT_LIMIT_MS 20000
#define CASE_TIMEOUT_S 120

typedef enum {
	NODE_S1,
	NODE_S2,
	NODE_Z1,
	NODE_Z2,
	NODE_W1,
	NODE_W2,
	NODE_W3,
	NODE_R1,
	NODE_R2,
	NODE_PLATFORM,
	NODE_COUNT
} node_t;

/* Index in versions. */
typedef enum { PLANS, ALLOWANCES, FLEET } list_index_t;

#define NODE_INSTANCES 4 /* the first nodes are entry instances */

typedef struct {
	char *folder;
	pid_t pids[NODE_COUNT];
	int ports[NODE_COUNT];
	int peer_ports[NODE_INSTANCES];
	int admin_ports[NODE_INSTANCES];
	int engine_slots;
	int token_ms;
	uint64_t versions[3];	  /* of the lists as last written */
	unsigned int plans_parts; /* told in the allowances list; 0: none */
	bool leaving[NODE_COUNT];
	bool absent[NODE_COUNT];
	GString *extra_team; /* YAML of further teams */
	bool desk_key_withdrawn;
	const char *engine_version; /* desired of the engines; NULL: none */
	int desk_rate;
	int desk_burst;
	int small_rate;
	int small_burst;
	bool tls; /* instances serve https with tls.pem and tls.key */
	bool no_authority[NODE_INSTANCES]; /* tls: authority is not set */
	/* Relays in front of the instances, or NULL; see cluster_relay(). */
	tcp_relay_t *http_relays[NODE_INSTANCES];
	tcp_relay_t *peer_relays[NODE_INSTANCES];
	tcp_relay_t *platform_relays[NODE_INSTANCES];
} cluster_t;

/* Authority that the client of the tests trusts; NULL: the system's. */
extern const char *http_authority;

/* An answer; text has a NUL byte after its len bytes. */
typedef struct {
	long status; /* 0: no whole answer */
	GString *body;
	GString *headers;
	double seconds;
	bool whole;
	gint64 last_byte_at; /* monotonic microseconds */
} answer_t;

extern const char *const node_names[NODE_COUNT];

/* Starts everything and waits until all instances are ready. */
cluster_t *cluster_create(void);

/* The same without starting any process: nodes are started one by one. */
cluster_t *cluster_prepare(void);

/* Starts all nodes of a prepared cluster and waits until they are ready. */
void cluster_start(cluster_t *cluster);

/*
 * Puts relays between the instances and between each instance and the platform.
 * To be called before any list is read. Callers of the tests reach instances
 * directly.
 */
void cluster_relay(cluster_t *cluster);

/* Sets the mode of the connections of both directions between two instances. */
void cluster_link(
    cluster_t *cluster, node_t a, node_t b, tcp_relay_mode_t mode);

/* Sets the mode of the connections between the two zones. */
void cluster_link_zones(cluster_t *cluster, tcp_relay_mode_t mode);

/* Sets the mode of the connections of an instance to the platform. */
void cluster_link_platform(
    cluster_t *cluster, node_t node, tcp_relay_mode_t mode);

/* Whether text occurs in the log of any instance. */
bool cluster_logs_contain(cluster_t *cluster, const char *text);

/*
 * Ends all processes and removes the folder. Fails when the log of an instance
 * contains a key.
 */
void cluster_destroy(cluster_t *cluster);

void node_start(cluster_t *cluster, node_t node);
void node_signal(cluster_t *cluster, node_t node, int signal_number);

/* Waits for the process to end and returns its wait status. */
int node_wait(cluster_t *cluster, node_t node);
void node_wait_ready(cluster_t *cluster, node_t node);

/* Publishes the lists again with versions one higher than before. */
void cluster_publish_plans(cluster_t *cluster);
void cluster_publish_allowances(cluster_t *cluster);
void cluster_publish_fleet(cluster_t *cluster);

/* Replaces a file that the platform serves in one step. */
void cluster_publish_file(
    cluster_t *cluster, const char *name, const char *text);

/* Appends a key of a team to the text of a plans list. */
void cluster_append_key(GString *text, const char *id, const char *key);

/* URL of a path at a node, in a buffer that the next calls reuse. */
const char *node_url(const cluster_t *cluster, node_t node, const char *format,
    ...) G_GNUC_PRINTF(3, 4);

/* Sends a request. key and ticket may be NULL; body NULL means GET. */
answer_t *http_call(
    const char *url, const char *key, const char *ticket, const char *body);
void answer_free(answer_t *answer);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(answer_t, answer_free)

/* The same in a thread of its own; http_join() returns the answer. */
typedef struct http_task http_task_t;
http_task_t *http_start(
    const char *url, const char *key, const char *ticket, const char *body);
answer_t *http_join(http_task_t *task);

/* Bytes of the body that have arrived so far. */
size_t http_task_bytes(http_task_t *task);

/*
 * Reads at most this many bytes a second (0: as fast as they come), with a
 * small receive buffer. http_task_hasten() ends the limit.
 */
void http_task_hasten(http_task_t *task);
http_task_t *http_start_slow(
    const char *url, const char *key, const char *body, long bytes_per_s);

/* What a stand-in target has recorded. The caller calls json_decref(). */
json_t *target_record(cluster_t *cluster, node_t node);
json_int_t target_count(cluster_t *cluster, node_t node, const char *name);

/* Fails when one of the engines has counted anything under this name. */
void engines_check_none(cluster_t *cluster, const char *name);

/* Status of a short request. */
long probe_status(cluster_t *cluster, node_t node, const char *key);

/* Whether an instance, or all, have adopted the list as last published. */
bool node_has_list(cluster_t *cluster, node_t node, list_index_t list);
bool cluster_has_list(cluster_t *cluster, list_index_t list);

/* Memory of a process in KiB (VmRSS). */
long node_rss_kb(cluster_t *cluster, node_t node);

/* How often targets recorded the arrival of each marker: text -> count. */
GHashTable *cluster_arrivals(cluster_t *cluster);
unsigned int arrivals_of(GHashTable *arrivals, const char *marker);

/*
 * Largest excess, in tokens, of the arrivals with this start of the marker
 * over rate x time + burst in any window.
 */
double cluster_rate_excess(
    cluster_t *cluster, const char *prefix, double rate, double burst);

/* Callers that each send one request after the other. */
typedef struct {
	const char *key;
	const char *tag;    /* start of the marker of each request */
	unsigned int nodes; /* bit set of the instances; callers take turns */
	int callers;
	int interval_ms; /* between the starts of two requests of a caller */
	int tokens;
	bool stream;
} load_spec_t;

typedef struct {
	char marker[64];
	node_t node;
	long status;
	char code[32];
	char ran[16];
	double seconds;
	bool whole; /* status 200 and the whole body as asked */
	gint64 at;  /* start, monotonic microseconds */
} load_result_t;

typedef struct load load_t;
load_t *load_start(cluster_t *cluster, const load_spec_t *spec);

/* Lets each caller end its request. Returns an array of load_result_t. */
GArray *load_stop(load_t *load);

/* Results so far. */
unsigned int load_count(load_t *load);

/* Share of the results that have this error code. */
double results_share(const GArray *results, const char *code);

/* Latency, in seconds, that this fraction of the whole answers stay under. */
double results_latency(const GArray *results, double fraction);

/* Fails when a target recorded a request whose answer said "not_run". */
void results_check_not_run(cluster_t *cluster, const GArray *results);

/* Sets a behaviour of a stand-in target or the platform, such as "mode=down".
 */
void node_control(cluster_t *cluster, node_t node, const char *setting);

/* Value of a counter of an instance, or -1. */
long long instance_counter(cluster_t *cluster, node_t node, const char *id);

/*
 * Opens a stream with DESK_KEY at each instance, calls set(true) to withdraw
 * the key, and checks that each stream ends and new requests are refused.
 * Returns the time in seconds until the last one has ended.
 */
double cluster_withdrawal(cluster_t *cluster, void (*set)(bool withdrawn));

/* "code" member of a JSON error, or "". Valid until the next call. */
const char *error_code(const answer_t *answer);
const char *error_ran(const answer_t *answer);

/* Whether a stream has the tokens 0 to n - 1 once each, in order, and an end.
 */
bool stream_is_whole(const answer_t *answer, int n);

/* The target, of first to last, that runs a request now, or NODE_COUNT. */
node_t target_busy(cluster_t *cluster, node_t first, node_t last);

/*
 * Whether a node's directory for callers of region stred names no other
 * instance after this one.
 */
bool directory_names_last(
    cluster_t *cluster, node_t node, const char *instance);

/* Takes a ticket for team tag-desk. The caller frees it. */
char *ticket_take(cluster_t *cluster, node_t node);

/* Repeats until condition holds, at most WAIT_LIMIT_MS. */
#define WAIT_UNTIL(condition)                                          \
	do {                                                           \
		gint64 limit_ =                                        \
		    g_get_monotonic_time() + WAIT_LIMIT_MS * 1000LL;   \
		while (!(condition)) {                                 \
			ck_assert_msg(g_get_monotonic_time() < limit_, \
			    "timed out waiting for %s", #condition);   \
			g_usleep(10000);                               \
		}                                                      \
	} while (0)

#define DESK_KEY "demo-desk-key"
#define PARISH_KEY "demo-parish-key"
#define GUEST_KEY "demo-guest-key"
#define SPARE_KEY "spare-desk-key"

#define GENERATE "/v1/services/epitaph-writer/generate"
#define ORDERS "/v1/services/tag-registry/orders"

/*
 * Defines main() of a program whose tests share the file's variable cluster,
 * which setup starts. They run in the order of the file.
 */
#define CLUSTER_MAIN(name, setup)                                   \
	static void cluster_teardown(void)                          \
	{                                                           \
		cluster_destroy(cluster);                           \
	}                                                           \
	int main(void)                                              \
	{                                                           \
		return test_run_case(                               \
		    name, setup, cluster_teardown, CASE_TIMEOUT_S); \
	}

#endif
