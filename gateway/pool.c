#include "internal.h"

#include "attempt.h"

/* Connect timeout for targets, which are in the same region. */
#define CONNECT_TIMEOUT_US (400 * US_PER_MS)

/* Connect timeout for an instance in another region. */
#define CONNECT_TIMEOUT_REMOTE_US US_PER_S

/*
 * Idle connections are closed this long before the idle timeout that the other
 * side announces.
 */
#define IDLE_MARGIN_US (600 * US_PER_MS)

/* Idle timeout applied even if the other side allows more. */
#define IDLE_LIMIT_US (20 * US_PER_S)

/* Idle timeout when the other side doesn't announce its own. */
#define IDLE_DEFAULT_US (4 * US_PER_S)

/*
 * A request that must not be executed twice reuses an idle connection only if
 * its idle time is below REUSE_MAX_IDLE_US, so that the other side is unlikely
 * to have closed it, and at least REUSE_MIN_IDLE_US, so that stray bytes after
 * the last response would have arrived.
 */
#define REUSE_MAX_IDLE_US (500 * US_PER_MS)
#define REUSE_MIN_IDLE_US (10 * US_PER_MS)

/* Maximum idle connections per address. */
#define IDLE_CONNECTION_LIMIT 64

/* Reference-counted: one reference by the owner, one by each connection. */
struct pool {
	gint refs;
	bool destroyed; /* destroyed by its owner: connections are not kept */
	gateway_t *gateway;
	net_address_t address;
	bool remote;
	GQueue idle; /* upstream_t, most recently used first */
};

pool_t *
pool_create(gateway_t *gateway, net_address_t address, bool remote)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->refs = 1;
	pool->gateway = gateway;
	pool->address = address;
	pool->remote = remote;
	g_queue_init(&pool->idle);
	return pool;
}

static void
pool_unref(pool_t *pool)
{
	if (--pool->refs == 0)
		g_free(pool);
}

void
pool_destroy(pool_t *pool)
{
	upstream_t *upstream;

	pool->destroyed = true;
	while ((upstream = g_queue_pop_head(&pool->idle)) != NULL)
		pool_drop(upstream);
	pool_unref(pool);
}

pool_t *
pool_of_target(gateway_t *gateway, target_t *target)
{
	if (target->user == NULL)
		target->user = pool_create(gateway,
		    (net_address_t){target->entry.ip, target->entry.port},
		    false);
	return target->user;
}

pool_t *
pool_of_peer(gateway_t *gateway, uint32_t ip)
{
	pool_t *pool =
	    g_hash_table_lookup(gateway->peer_pools, GUINT_TO_POINTER(ip));

	if (pool == NULL) {
		pool = pool_create(
		    gateway, (net_address_t){ip, gateway->own_peer.port}, true);
		g_hash_table_insert(
		    gateway->peer_pools, GUINT_TO_POINTER(ip), pool);
	}
	return pool;
}

/* Closes an idle connection that receives unexpected data or ends. */
static void
on_idle_received(void *owner, const uint8_t *data, size_t len)
{
	upstream_t *upstream = owner;

	g_queue_remove(&upstream->pool->idle, upstream);
	pool_drop(upstream);
}

static void
on_idle_ended(void *owner, tcp_end_t end)
{
	on_idle_received(owner, NULL, 0);
}

static const tcp_events_t idle_events = {
    .received = on_idle_received,
    .ended = on_idle_ended,
};

static void
on_connect_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	attempt_unreachable(((upstream_t *)watcher->data)->attempt);
}

static upstream_t *
upstream_open(pool_t *pool, const tcp_events_t *events,
    void (*on_timeout)(struct ev_loop *, ev_timer *, int))
{
	gateway_t *gateway = pool->gateway;
	upstream_t *upstream = g_new0(upstream_t, 1);

	upstream->pool = pool;
	pool->refs++;
	upstream->gateway = gateway;
	upstream->connection =
	    tcp_connect(gateway->net, pool->address, events, upstream);
	if (upstream->connection == NULL) {
		pool_unref(pool);
		g_free(upstream);
		return NULL;
	}
	upstream->reader = http_reader_create(
	    HTTP_RESPONSES, &attempt_sink, upstream, RESPONSE_HEAD_LIMIT);
	ev_timer_init(&upstream->connect_timer, on_timeout, 0, 0);
	upstream->connect_timer.data = upstream;
	gateway_start_timer(gateway, &upstream->connect_timer,
	    pool->remote ? CONNECT_TIMEOUT_REMOTE_US : CONNECT_TIMEOUT_US);
	counter_increment("upstream_connections", NULL, NULL);
	return upstream;
}

/* Removes and returns a usable idle connection, or NULL. */
static upstream_t *
idle_take(pool_t *pool, bool repeatable)
{
	time_us_t now = gateway_now(pool->gateway);
	GList *item = pool->idle.head;

	while (item != NULL) {
		upstream_t *upstream = item->data;
		time_us_t idle = now - upstream->idle_since;
		GList *next = item->next;

		if (now >= upstream->idle_until ||
		    tcp_is_stale(upstream->connection)) {
			g_queue_delete_link(&pool->idle, item);
			pool_drop(upstream);
		} else if (repeatable || (idle >= REUSE_MIN_IDLE_US &&
					     idle < REUSE_MAX_IDLE_US)) {
			g_queue_delete_link(&pool->idle, item);
			return upstream;
		}
		item = next;
	}
	return NULL;
}

upstream_t *
pool_acquire(pool_t *pool, bool repeatable, bool *reused)
{
	upstream_t *upstream = idle_take(pool, repeatable);

	*reused = upstream != NULL;
	if (upstream == NULL)
		return upstream_open(
		    pool, &attempt_connection_events, on_connect_timeout);
	tcp_set_owner(
	    upstream->connection, &attempt_connection_events, upstream);
	return upstream;
}

void
pool_release(pool_t *pool, upstream_t *upstream, int64_t idle_ms)
{
	time_us_t now = gateway_now(pool->gateway);
	time_us_t keep = IDLE_DEFAULT_US;

	if (idle_ms >= 0)
		keep = MIN(idle_ms * US_PER_MS - IDLE_MARGIN_US, IDLE_LIMIT_US);
	if (pool->destroyed || keep <= 0 ||
	    g_queue_get_length(&pool->idle) >= IDLE_CONNECTION_LIMIT) {
		pool_drop(upstream);
		return;
	}
	upstream->attempt = NULL;
	upstream->idle_since = now;
	upstream->idle_until = now + keep;
	tcp_set_owner(upstream->connection, &idle_events, upstream);
	tcp_pause(upstream->connection, false);
	g_queue_push_head(&pool->idle, upstream);
}

static void
on_probe_connected(void *owner)
{
	upstream_t *upstream = owner;

	ev_timer_stop(upstream->gateway->loop, &upstream->connect_timer);
	gateway_note_target_connected(upstream->gateway);
	pool_release(upstream->pool, upstream, -1);
}

static void
probe_fail(upstream_t *upstream)
{
	gateway_note_target_failed(upstream->gateway, upstream->probed);
	pool_drop(upstream);
}

static void
on_probe_ended(void *owner, tcp_end_t end)
{
	probe_fail(owner);
}

static void
on_probe_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	probe_fail(watcher->data);
}

static const tcp_events_t probe_events = {
    .connected = on_probe_connected,
    .received = on_idle_received,
    .ended = on_probe_ended,
};

void
pool_probe(pool_t *pool, uint32_t target)
{
	upstream_t *upstream =
	    upstream_open(pool, &probe_events, on_probe_timeout);

	if (upstream != NULL)
		upstream->probed = target;
}

void
pool_drop(upstream_t *upstream)
{
	ev_timer_stop(upstream->gateway->loop, &upstream->connect_timer);
	tcp_close(upstream->connection);
	upstream->attempt = NULL;
	upstream->dropped = true;
	if (!upstream->reading)
		pool_free_upstream(upstream);
}

void
pool_free_upstream(upstream_t *upstream)
{
	tcp_unref(upstream->connection);
	http_reader_destroy(upstream->reader);
	pool_unref(upstream->pool);
	g_free(upstream);
}

void
pool_sweep(pool_t *pool, time_us_t now)
{
	upstream_t *upstream;

	while ((upstream = g_queue_peek_tail(&pool->idle)) != NULL &&
	       now >= upstream->idle_until) {
		g_queue_pop_tail(&pool->idle);
		pool_drop(upstream);
	}
}
