#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "balance/overflow.h"
#include "balance/urgency.h"
#include "common/counter.h"
#include "common/log.h"
#include "common/packing.h"
#include "config/gateway_settings.h"
#include "core/catalog.h"
#include "core/contact.h"
#include "core/lag.h"
#include "core/members.h"
#include "core/memory.h"
#include "core/placement.h"
#include "core/quarantine.h"
#include "core/queue.h"
#include "core/reach.h"
#include "core/retry.h"
#include "core/rollout.h"
#include "core/streams.h"
#include "core/targets.h"
#include "core/team_rates.h"
#include "http/reader.h"
#include "net/tcp.h"
#include "platform/store.h"
#include "platform/wire.h"

typedef struct gateway gateway_t;
typedef struct client client_t;
typedef struct request request_t;
typedef struct attempt attempt_t;
typedef struct pending pending_t;
typedef struct resumption resumption_t;
typedef struct pool pool_t;
typedef struct upstream upstream_t;
typedef struct gossip gossip_t;
typedef struct endpoints endpoints_t;
typedef struct fetch fetch_t;
typedef struct latencies latencies_t;
typedef struct crash_checks crash_checks_t;
typedef struct health_checks health_checks_t;

/* Queue and retry budget of one service. */
typedef struct {
	char *name;
	queue_t *queue;
	retry_budget_t retries;
	urgency_t urgency;
	GArray *streams; /* stream_length_t */
	/*
	 * Average gap between events up to which targets get requests: the
	 * least of placement_gap_limit_ms() over the routes.
	 */
	double gap_limit_ms;
} service_state_t;

/* Expected length of the streams of one route. */
typedef struct {
	char name[NAME_LIMIT + 1]; /* name of the route */
	double events;		   /* moving average of the events per stream */
	int64_t timeout_ms;
	int64_t max_gap_ms; /* between events, for a timely response; 0: any */
} stream_length_t;

/*
 * Room of a service in one region, as instances report it to other regions.
 */
typedef struct {
	uint32_t service; /* target_short_id() of its name */
	uint32_t room; /* requests that could start; 0 while some are queued */
	uint32_t expected_ms; /* for instances of versions that choose by it */
} service_capacity_t;

#define CAPACITY_LIMIT 16

typedef struct {
	service_capacity_t services[CAPACITY_LIMIT];
	overflow_share_t shares[CAPACITY_LIMIT]; /* of the services' room */
	size_t n;
	time_us_t received_at;
} region_load_t;

/*
 * Instances of a large region that read from the store; the others read from
 * these. Each change of a target completes the watch of every reader, and each
 * sends another; the request rates that the store allows grow more slowly than
 * the number of instances. Two, so that one can fail.
 */
#define RELAY_COUNT 2

struct gateway {
	const gateway_settings_t *settings;
	const char *settings_path;
	struct timespec settings_mtime; /* mtime of the file when read */
	gateway_settings_t *reloaded;	/* NULL before the first reload */
	uint32_t n_ticks;
	struct ev_loop *loop;
	net_t *net;
	const topology_t *topology;
	net_address_t own_peer; /* address for other instances */
	uint16_t caller_port;
	int zone;
	int region;
	uint64_t random;
	catalog_t *catalog; /* NULL until one is loaded */
	packing_t *packing; /* the published text, and those before it */
	char *config_error; /* of a newer one that can't be read, or NULL */
	targets_t *targets;
	members_t *members;
	team_rates_t *rates;
	quarantine_t *quarantine;
	crash_checks_t *crash_checks;
	health_checks_t *health_checks;
	GHashTable *service_states; /* service name -> service_state_t */
	GHashTable *peer_pools;	    /* ip -> pool_t */
	region_load_t region_loads[TOPOLOGY_REGION_LIMIT];
	uint32_t region_instances; /* live; set by on_tick() */
	store_t *store;
	gossip_t *gossip;
	fetch_t *fetch;
	endpoints_t *endpoints;
	latencies_t *latencies;
	listener_t *caller_listener;
	listener_t *peer_listener;
	GHashTable *clients;
	streams_t *streams;
	memory_pool_t event_memory; /* of events that aren't complete */
	/* Of answers to instances that read the store through this one. */
	memory_pool_t relay_memory;
	size_t config_output;	/* compressed configurations, not sent */
	GPtrArray *pending;	/* pending_t, waiting for a configuration */
	GPtrArray *resumptions; /* resumption_t, waiting for other instances */
	time_us_t started_at;
	time_us_t leaving_at; /* 0: not stopping */
	bool targets_loaded;
	bool callers_released;	   /* see gateway_holds_callers() */
	contact_t contact;	   /* with other instances and the store */
	reach_t reach;		   /* of the targets */
	size_t reach_cursor;	   /* index of the target probed last */
	time_us_t target_heard_at; /* last byte of any target */
	rollout_t rollout;	   /* of newer configurations */
	lag_t store_lag; /* of the store revision behind other instances */
	time_us_t store_unreachable_since; /* 0: reachable */
	time_us_t fallback_until;     /* until when fallback_relay is used */
	net_address_t fallback_relay; /* instance read from meanwhile */
	/* Instance that reported the newest revision, and when. */
	uint32_t newest_reader_ip;
	revision_t newest_revision;
	time_us_t newest_reported_at;
	bool ready;
	time_us_t readiness_reported_at; /* in the log */
	bool isolated;			 /* see targets_set_isolated() */
	uint32_t n_requests;
	ev_timer queue_timer;
	ev_timer tick;
	ev_timer load_tick;
	ev_signal on_term;
	ev_signal on_int;
	ev_signal on_hup;
	int64_t boot_clock_offset_us; /* CLOCK_BOOTTIME minus CLOCK_MONOTONIC */
};

/* CLOCK_BOOTTIME in microseconds, read once per iteration of the event loop. */
time_us_t gateway_now(gateway_t *gateway);

/* Reads the clock again, after a call that may have taken long. */
void gateway_refresh_now(gateway_t *gateway);

/*
 * Starts or restarts a one-shot timer. The time counts from the call, not from
 * the start of the iteration, however long this one has taken.
 */
void gateway_start_timer(gateway_t *gateway, ev_timer *timer, time_us_t after);
void gateway_start_timer_at(gateway_t *gateway, ev_timer *timer, time_us_t at);

/* gateway.c */
service_state_t *gateway_service_state(gateway_t *gateway, const char *service);
/* Returns the version in force, or VERSION_NONE. */
const char *gateway_config_version(const gateway_t *gateway);
void gateway_set_catalog(
    gateway_t *gateway, catalog_t *catalog, GBytes *text, const char *source);
/* Whether this document is the loaded configuration. */
bool gateway_config_is_loaded(
    const gateway_t *gateway, const uint8_t *text, size_t len);
/*
 * Updates the average stream length of a route with the expected events of a
 * request, and recomputes gap_limit_ms.
 */
void service_state_note_stream(service_state_t *service_state,
    const catalog_route_t *route, double events);
void gateway_process_queues(gateway_t *gateway);
void gateway_schedule_queues(gateway_t *gateway);
/* Called when another instance reports the store revision it has read. */
void gateway_note_revision(
    gateway_t *gateway, uint32_t ip, revision_t revision);
/*
 * Called when a target's own statement changed what is known of it. source is
 * for logs.
 */
void gateway_note_target(
    gateway_t *gateway, target_t *target, const char *source);
/*
 * Called when this instance learns of a target's departure other than by the
 * publisher's store.
 */
void gateway_note_departure(
    gateway_t *gateway, const target_t *target, const char *source);
/* Writes the relays of the region; none if this instance is one. */
size_t gateway_relays(gateway_t *gateway, uint32_t ips[RELAY_COUNT]);
/* Whether no target has joined that this instance hasn't heard of. */
bool gateway_list_is_current(gateway_t *gateway);
bool gateway_is_leaving(const gateway_t *gateway);
/*
 * Whether the instance is stopping, the time in which it still accepts new
 * requests (LEAVE_ACCEPT_US) is over, and another instance of its region
 * accepts them.
 */
bool gateway_refuses_requests(gateway_t *gateway);
/* Whether the instance is stopping and LEAVE_ACCEPT_US is over. */
bool gateway_leave_accept_is_over(gateway_t *gateway);
/*
 * The time at which all requests must have been answered, as the instance is
 * stopping; 0 while it is not.
 */
time_us_t gateway_leave_limit(gateway_t *gateway);
/* Called when the newest configuration can't be read. source is for logs. */
void gateway_note_unreadable_config(
    gateway_t *gateway, const char *source, const char *error);

/* readiness.c: whether the instance takes requests, and why it doesn't. */
/*
 * Whether connections of callers are accepted but not read yet, as the instance
 * has just started and has no configuration or no targets.
 */
bool gateway_holds_callers(gateway_t *gateway);
/* Logs a change, and every few seconds what an instance still lacks. */
void readiness_update(gateway_t *gateway);

/* client.c: connections from callers and from other instances. */
void client_accept(gateway_t *gateway, int fd, bool from_peer);

/*
 * Sends a complete response generated by this instance. fields holds whole
 * header lines.
 */
void client_respond(client_t *client, unsigned status, const char *fields,
    const char *type, const char *body);

/*
 * Begins a response. head holds the status line and header fields without those
 * for framing. length is HTTP_LENGTH_UNKNOWN for chunked encoding.
 */
void client_begin_response(client_t *client, GString *head, uint64_t length);
void client_send_body(client_t *client, const void *data, size_t len);
void client_end_response(client_t *client);

/* Aborts a response that can't be completed, so that it can't seem complete. */
void client_abort(client_t *client);
size_t client_pending(const client_t *client);

/*
 * Looks for an end of the caller's connection that isn't read yet, and cancels
 * its request then. Returns whether the caller has left.
 */
bool client_check_end(client_t *client);
/* Returns the request that is received or processed, or NULL. */
request_t *client_request(const client_t *client);

/* Bytes that are held for a connection. */
typedef struct {
	size_t input;	 /* received and not parsed */
	size_t output;	 /* not sent */
	size_t requests; /* bodies and buffered answers of its request */
} client_memory_t;

client_memory_t client_memory(const client_t *client);
/*
 * Returns whether output isn't sent, or input isn't read, so that closing the
 * connection would lose it.
 */
bool client_has_data_in_transit(const client_t *client);
/*
 * Minimum idle time before client_close_idle() closes a connection. A caller in
 * another region needs three one-way trips of 80 ms, 240 ms in total, from its
 * first packet to its request; the rest is a margin.
 */
#define CLIENT_IDLE_MIN_US (400 * US_PER_MS)
/*
 * Closes a connection if it has been idle long enough that no request is likely
 * to be in flight.
 */
void client_close_idle(client_t *client);
void client_destroy(client_t *client);
/* Closes a connection as the process exits. */
void client_exit(client_t *client);
/* Begins to read a connection accepted while gateway_holds_callers(). */
void client_release_held(client_t *client);
/*
 * Arrival time of the request that is being read. The first one of a held
 * connection counts from the connection, as its caller has waited since.
 */
time_us_t client_request_arrival(client_t *client);

/* request.c: the life of a request from its head to its response. */
request_t *request_create(client_t *client, gateway_t *gateway,
    const http_head_t *head, bool from_peer);
request_t *request_ref(request_t *request);
void request_unref(request_t *request);
void request_append_body(request_t *request, const uint8_t *data, size_t len);
void request_start(request_t *request);	 /* the request is complete */
void request_cancel(request_t *request); /* the caller closed its connection */
void request_on_drained(
    request_t *request); /* output to the caller has drained */
/* Returns the bytes of its body and of an answer that isn't passed on. */
size_t request_buffered(const request_t *request);

/* Why an attempt failed. */
typedef enum {
	FAILURE_UNREACHABLE,  /* no connection: not executed */
	FAILURE_NOT_EXECUTED, /* the target reports that it was not executed */
	/* the response is incomplete or can't be passed on */
	FAILURE_MAYBE_EXECUTED,
} failure_t;

/*
 * Ends the attempt at a target if it began before this time, and the request
 * may run again.
 */
void request_leave_target(request_t *request, time_us_t began_before);

/* Called by attempt.c. */
void request_on_response(request_t *request, const http_head_t *head,
    const target_response_t *response);
void request_on_body(request_t *request, const uint8_t *data, size_t len);
/*
 * Returns whether a response that is complete by its framing is so by its
 * content: an event stream must not end inside an event, and what is left of it
 * must be of the version that began it.
 */
bool request_response_is_whole(request_t *request);
void request_on_complete(request_t *request);
/* The last attempt failed; request_on_failure() is called a little later. */
void request_await_check(request_t *request);
void request_on_failure(
    request_t *request, failure_t failure, const target_response_t *response);
/*
 * Chooses where a queued request goes and stores this in request->choice.
 * QUEUE_SKIP if the request has to wait; QUEUE_START also if it is to be
 * refused because nothing can take it.
 */
queue_decision_t request_choose_queued(request_t *request);
void request_dispatch_queued(request_t *request);

/* attempt.c: one send of a request to a target or another instance. */
typedef struct {
	target_t *target; /* NULL if sent to an instance */
	uint32_t peer_ip;
	double tokens;
	double expected_ms;
	double cache_miss_ms;
	GString *head; /* ownership is transferred */
	const GByteArray *body;
	const char *request_id;
	bool no_response_body; /* HEAD */
	/*
	 * May be executed twice, so any idle connection may be reused, even one
	 * that the other side may have closed.
	 */
	bool repeatable;
	const features_t *features;
	bool probe; /* see QUARANTINE_PROBE */
} attempt_plan_t;

attempt_t *attempt_create(
    gateway_t *gateway, request_t *request, attempt_plan_t *plan);
/* Aborts the attempt by closing the target's connection. */
void attempt_cancel(attempt_t *attempt);
/* Discards the rest of the response; the connection is kept if it ends soon. */
void attempt_detach(attempt_t *attempt);
/* Ends an attempt whose response can't be passed on; its target is at fault. */
void attempt_reject(attempt_t *attempt);
/* Returns whether bytes of an answer have arrived and are unread. */
bool attempt_has_unread(const attempt_t *attempt);
/*
 * The version that answers, or STREAM_VERSION_UNKNOWN if the target may be
 * another one than its entry says, or an instance didn't tell.
 */
uint32_t attempt_version(const attempt_t *attempt);
void attempt_pause(attempt_t *attempt, bool paused);

/* crash.c: finds out whether a target has crashed. */
crash_checks_t *crash_checks_create(gateway_t *gateway);
void crash_checks_destroy(crash_checks_t *checks);
/*
 * Called when the connection to a target ended before the answer began.
 * Connects to the target: if that is refused, it has crashed, and the
 * quarantine learns of the requests. Returns false if there is no check; else
 * request_on_failure() is called at its end, so that a request that crashes
 * targets isn't sent to the next one before the quarantine knows. request may
 * be NULL.
 */
bool crash_check(crash_checks_t *checks, const target_t *target,
    const crash_witness_t *witness, request_t *request);

/*
 * health.c: asks targets for their health when one may have turned cold without
 * a new entry: all while the list of targets is stale, and one that refused a
 * connection. Also when the entry of one was removed and may have lapsed only.
 */
health_checks_t *health_checks_create(gateway_t *gateway);
void health_checks_destroy(health_checks_t *checks);
/*
 * Called when a target refused a connection: it is asked before it is used
 * again, if its service has cold targets.
 */
void health_checks_note_refused(health_checks_t *checks, target_t *target);
/* Starts the checks that are due. Call several times a second. */
void health_checks_update(health_checks_t *checks);

/* pool.c: idle connections to one address. */
pool_t *pool_create(gateway_t *gateway, net_address_t address, bool remote);
void pool_destroy(pool_t *pool);
pool_t *pool_of_target(gateway_t *gateway, target_t *target);
pool_t *pool_of_peer(gateway_t *gateway, uint32_t ip);
/*
 * Takes an idle connection or opens one. NULL when no socket could be opened.
 */
upstream_t *pool_acquire(pool_t *pool, bool repeatable, bool *reused);
/*
 * Returns a connection to the pool. idle_ms: idle timeout of the other side; -1
 * if unknown.
 */
void pool_release(pool_t *pool, upstream_t *upstream, int64_t idle_ms);
/*
 * Opens a connection to a target, target_short_id(), without a request. It
 * becomes idle once it is established.
 */
void pool_probe(pool_t *pool, uint32_t target);
void pool_drop(upstream_t *upstream);
/* Frees a dropped connection. Its reader must not be on the stack. */
void pool_free_upstream(upstream_t *upstream);
void pool_sweep(pool_t *pool, time_us_t now);

struct upstream {
	pool_t *pool;
	tcp_t *connection;
	http_reader_t *reader;
	attempt_t *attempt; /* NULL while idle */
	time_us_t idle_since;
	time_us_t idle_until;
	gateway_t *gateway;
	ev_timer connect_timer;
	bool reading;	 /* its reader is on the stack */
	bool dropped;	 /* freed when reading ends */
	uint32_t probed; /* target, see pool_probe() */
};

/* gossip.c: membership and load messages over UDP. */
gossip_t *gossip_create(gateway_t *gateway, GError **error);
void gossip_destroy(gossip_t *gossip);
void gossip_round(gossip_t *gossip);
/*
 * Reports the load on targets to the instances of the region, with no
 * membership entries but its own.
 */
void gossip_send_load(gossip_t *gossip);

/* Asks for the version that began a stream. */
typedef struct {
	uint64_t id;
	uint32_t service;
	uint32_t life_ms; /* see streams_find() */
} stream_query_t;

/*
 * Time for which a resumption waits for others: a round trip to the farthest
 * region, and a busy instance there.
 */
#define RESUMPTION_WAIT_US (400 * US_PER_MS)

/* Answers what was asked while the list of targets may have been behind. */
void gossip_answer_deferred(gossip_t *gossip);
/* Asks instances of all zones; resumptions_note_record() gets their answers. */
void gossip_ask_stream(gossip_t *gossip, const stream_query_t *query);

/* fetch.c: fetches the configuration from another instance. */
#define PEER_CONFIG_PATH "/cyclamensail/config"

/*
 * Digest of the document that the reader has (in the request), and that the
 * compressed answer refers to (in the response). In lower case.
 */
#define PEER_FIELD_BASE "base-digest"

fetch_t *fetch_create(gateway_t *gateway);
void fetch_destroy(fetch_t *fetch);
/*
 * Starts a fetch if an instance has a newer version and none is running. Call
 * after each report of a version, and several times a second.
 */
void fetch_update(fetch_t *fetch);

/* endpoints.c: HTTP endpoints for directory, health check and metrics. */
endpoints_t *endpoints_create(gateway_t *gateway, GError **error);
/* Returns whether a request has arrived and is unread. */
bool endpoints_have_unread(const endpoints_t *endpoints);
void endpoints_destroy(endpoints_t *endpoints);

/* reach.c: whether this instance reaches the targets of its region. */
/* Called when a connection to a target was established, or failed. */
void gateway_note_target_connected(gateway_t *gateway);
void gateway_note_target_failed(gateway_t *gateway, uint32_t target);
/*
 * Opens the probes that are due, and ends attempts that hang once the targets
 * are lost. Call several times a second.
 */
void reach_update(gateway_t *gateway);

/* latency.c: latency histograms by kind of route. */
typedef enum {
	LATENCY_WAIT,	    /* from arrival to the first attempt */
	LATENCY_FIRST_BYTE, /* from arrival to the first byte of the response */
	LATENCY_RESPONSE,   /* from arrival to the end of the response */
	/* From the news that a target has left to a request sent to it. */
	LATENCY_DEPARTED,
	LATENCY_COUNT
} latency_t;

latencies_t *latencies_create(void);
void latencies_destroy(latencies_t *latencies);
void latencies_record(latencies_t *latencies, latency_t latency,
    route_kind_t kind, time_us_t time);
/* From the first report of a newer configuration until it is in force here. */
void latencies_record_config_lag(latencies_t *latencies, time_us_t lag);
/* Appends all histograms in the Prometheus text format. */
void latencies_write(const latencies_t *latencies, GString *text);

/* gauges.c */
/* Appends gauges of targets, services and regions in the Prometheus format. */
void gauges_write(const gateway_t *gateway, GString *text, time_us_t now);

/* usage.c */
/* Appends gauges of memory by what holds it, in the Prometheus format. */
void usage_write(const gateway_t *gateway, GString *text);

/* pending.c: requests that wait for a newer configuration. */
/*
 * Called for a request whose route or key isn't known. If other instances have
 * a newer configuration it waits for that one, to be admitted again, or is
 * refused with 503 after a second; returns false if none is known to exist.
 */
bool pending_begin(request_t *request);
/* Stops to wait, if the request does. */
void pending_cancel(request_t *request);
/* Called when another configuration is in force. */
void pending_retry_all(gateway_t *gateway);

/* resumption.c: streams that callers resume. */
/*
 * Finds the version that began the stream that a request goes on with. Returns
 * false if the request has to wait for other instances, or was refused as its
 * version is lost; it is dispatched or refused later.
 */
bool resumption_begin(request_t *request);
/* Stops to wait, if the request does. */
void resumption_cancel(request_t *request);
/* Called when another instance told what it knows of the stream. */
void resumptions_note_record(gateway_t *gateway, uint64_t id);
/* Called when gateway_list_is_current() has become true. */
void resumptions_retry(gateway_t *gateway);

/* decision.c: log of decisions on requests. */
void decision_log(
    const request_t *request, const char *event, const char *reason);

#endif
