#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "common/counter.h"
#include "common/log.h"
#include "config/gateway_settings.h"
#include "core/catalog.h"
#include "core/members.h"
#include "core/placement.h"
#include "core/queue.h"
#include "core/retry.h"
#include "core/targets.h"
#include "core/team_rates.h"
#include "http/reader.h"
#include "net/tcp.h"
#include "platform/store.h"
#include "platform/wire.h"

typedef struct gateway gateway_t;
typedef struct client client_t;
typedef struct call call_t;
typedef struct attempt attempt_t;
typedef struct pool pool_t;
typedef struct upstream upstream_t;
typedef struct gossip gossip_t;
typedef struct pages pages_t;
typedef struct fetch fetch_t;
typedef struct latencies latencies_t;

/* Requests that wait for a target, and retries, of one service. */
typedef struct {
	char *name;
	queue_t *queue;
	retry_budget_t retries;
	GArray *streams;     /* stream_kind_t */
	double gap_limit_ms; /* between events, so that streams end in time */
} line_t;

/* Streams of one route: what their requests guess of their length. */
typedef struct {
	char name[NAME_LIMIT + 1]; /* of the route */
	double events;		   /* moving average */
	int64_t timeout_ms;
} stream_kind_t;

/* Load of a service in another region, as an instance there told it. */
typedef struct {
	uint32_t service; /* target_short_id() of its name */
	uint32_t free;
	uint32_t expected_ms;
} capacity_t;

#define CAPACITY_LIMIT 16

typedef struct {
	capacity_t services[CAPACITY_LIMIT];
	size_t n;
	time_us_t heard_at;
} region_news_t;

struct gateway {
	const gateway_settings_t *settings;
	const char *settings_path;
	struct timespec settings_at;  /* change of the file that was read */
	gateway_settings_t *reloaded; /* settings, when they were read again */
	uint32_t n_ticks;
	struct ev_loop *loop;
	net_t *net;
	const places_t *places;
	net_address_t own_peer; /* where other instances reach this one */
	uint16_t caller_port;
	int zone;
	int region;
	uint64_t random;
	catalog_t *catalog; /* NULL until one is known */
	GBytes *catalog_text;
	targets_t *targets;
	members_t *members;
	team_rates_t *rates;
	GHashTable *lines;	/* service name -> line_t */
	GHashTable *peer_pools; /* ip -> pool_t */
	region_news_t news[PLACES_REGION_LIMIT];
	uint32_t region_instances; /* live ones, kept by the round */
	store_t *store;
	gossip_t *gossip;
	fetch_t *fetch;
	pages_t *pages;
	latencies_t *latencies;
	listener_t *caller_listener;
	listener_t *peer_listener;
	GHashTable *clients;
	time_us_t started_at;
	time_us_t leaving_at; /* 0: not asked to stop */
	bool targets_loaded;
	time_us_t behind_since;	    /* others have read more; 0: no */
	time_us_t store_away_since; /* 0: it can be read */
	time_us_t relay_until;	    /* of away_relay */
	net_address_t away_relay;   /* read from this instance meanwhile */
	bool ready;
	uint32_t n_calls;
	ev_timer pump;
	ev_timer tick;
	ev_timer load_tick;
	ev_signal on_term;
	ev_signal on_int;
	ev_signal on_hup;
	int64_t clock_gap_us; /* boot time less monotonic time */
};

/* Microseconds of CLOCK_BOOTTIME, read once in a turn of the loop. */
time_us_t gateway_now(gateway_t *gateway);

/* gateway.c */
line_t *gateway_line(gateway_t *gateway, const char *service);
void gateway_set_catalog(
    gateway_t *gateway, catalog_t *catalog, GBytes *text, const char *source);
/* Takes note of the expected events of a request for a stream. */
void line_note_stream(
    line_t *line, const catalog_route_t *route, double events);
void gateway_pump(gateway_t *gateway);
void gateway_schedule_pump(gateway_t *gateway);
/* Another instance has read the store up to this revision. */
void gateway_note_revision(gateway_t *gateway, int64_t revision);
bool gateway_is_leaving(const gateway_t *gateway);
/* Tells whether too little of the time to stop is left for new requests. */
bool gateway_is_closed(gateway_t *gateway);

/* client.c: connections of callers and of other instances. */
void client_accept(gateway_t *gateway, int fd, bool from_peer);

/* Sends a complete answer of this instance. fields are whole lines. */
void client_answer(client_t *client, unsigned status, const char *fields,
    const char *type, const char *body);

/*
 * Begins an answer: status line and fields without framing. length is
 * HTTP_LENGTH_UNKNOWN for chunks.
 */
void client_begin(client_t *client, GString *head, uint64_t length);
void client_body(client_t *client, const void *data, size_t len);
void client_end(client_t *client);

/* Ends an answer that can't be completed, so that it can't seem complete. */
void client_break(client_t *client);
size_t client_pending(const client_t *client);
/*
 * Closes a connection on which no request is likely to be on its way. A caller
 * in another region needs three trips of 80 ms from the first packet to its
 * request.
 */
#define CLIENT_QUIET_US (400 * US_PER_MS)
void client_close_idle(client_t *client);
void client_destroy(client_t *client);

/* call.c: one request from its head to its answer. */
call_t *call_create(client_t *client, gateway_t *gateway,
    const http_head_t *head, bool from_peer);
call_t *call_ref(call_t *call);
void call_unref(call_t *call);
void call_body(call_t *call, const uint8_t *data, size_t len);
void call_start(call_t *call);	 /* the request is whole */
void call_cancel(call_t *call);	 /* the caller left */
void call_drained(call_t *call); /* the caller reads on */

/* How a send ended that gave no complete answer. */
typedef enum {
	LOSS_UNREACHABLE, /* no connection: not run */
	LOSS_NOT_RUN,	  /* the target says that it hasn't run */
	LOSS_BROKEN,	  /* may have run */
} loss_t;

/* Called by attempt.c. */
void call_on_answer(
    call_t *call, const http_head_t *head, const target_answer_t *answer);
void call_on_body(call_t *call, const uint8_t *data, size_t len);
void call_on_complete(call_t *call);
void call_on_loss(call_t *call, loss_t loss, const target_answer_t *answer);
/* Start of the queue's turn for this request; false: no room. */
queue_answer_t call_can_start(call_t *call);
void call_dispatch_queued(call_t *call);
void call_expire(call_t *call);

/* attempt.c: one send to a target or to another instance. */
typedef struct {
	target_t *target; /* NULL: to an instance */
	uint32_t peer_ip;
	double tokens;
	double expected_ms;
	double doubt_ms;
	GString *head; /* taken over */
	const GByteArray *body;
	const char *request_id;
	bool no_answer_body; /* HEAD */
	bool repeatable;     /* a reused connection may be stale */
} attempt_plan_t;

attempt_t *attempt_create(
    gateway_t *gateway, call_t *call, attempt_plan_t *plan);
/* Gives up; the target sees its connection close. */
void attempt_cancel(attempt_t *attempt);
/* The rest of the answer is not wanted; the connection is kept if it ends
 * soon. */
void attempt_detach(attempt_t *attempt);
void attempt_pause(attempt_t *attempt, bool paused);

/* pool.c: kept connections to one address. */
pool_t *pool_create(gateway_t *gateway, net_address_t address, bool remote);
void pool_destroy(pool_t *pool);
pool_t *pool_of_target(gateway_t *gateway, target_t *target);
pool_t *pool_of_peer(gateway_t *gateway, uint32_t ip);
/* Takes an idle connection, or opens one. NULL when there is no socket. */
upstream_t *pool_take(pool_t *pool, bool repeatable, bool *reused);
/* idle_ms: how long the other side keeps it; -1: not told. */
void pool_give(pool_t *pool, upstream_t *upstream, int64_t idle_ms);
void pool_drop(upstream_t *upstream);
/* The reader of a dropped connection is off the stack. */
void pool_reap(upstream_t *upstream);
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
	bool reading; /* its reader is on the stack */
	bool dropped; /* to be freed when reading ends */
};

/* gossip.c: gossip over UDP. */
gossip_t *gossip_create(gateway_t *gateway, GError **error);
void gossip_destroy(gossip_t *gossip);
void gossip_round(gossip_t *gossip);
/* Tells the instances of the region the load put on targets, and no more. */
void gossip_tell_load(gossip_t *gossip);

/* fetch.c: the configuration from another instance. */
#define PEER_CONFIG_PATH "/cyclamensail/config"

fetch_t *fetch_create(gateway_t *gateway);
void fetch_destroy(fetch_t *fetch);
/* Does nothing while another fetch is running. */
void fetch_start(fetch_t *fetch, uint32_t ip);

/* pages.c: directory, health check and counters. */
pages_t *pages_create(gateway_t *gateway, GError **error);
void pages_destroy(pages_t *pages);

/* latency.c: latency histograms, by kind of route. */
typedef enum {
	LATENCY_WAIT,	    /* from the request to its first send */
	LATENCY_FIRST_BYTE, /* from the request to the answer's first byte */
	LATENCY_ANSWER,	    /* from the request to the end of its answer */
	LATENCY_COUNT
} latency_t;

latencies_t *latencies_create(void);
void latencies_destroy(latencies_t *latencies);
void latencies_record(latencies_t *latencies, latency_t latency,
    route_kind_t kind, time_us_t time);
/* Appends all of them in the exposition format of common scrapers. */
void latencies_write(const latencies_t *latencies, GString *text);

/* journal of decisions: decision.c */
void decision_log(const call_t *call, const char *event, const char *reason);

#endif
