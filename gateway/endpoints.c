#include "internal.h"

#include <errno.h>
#include <string.h>

#include "common/error.h"

/* Size limit for a request head; request bodies are discarded. */
#define ENDPOINT_HEAD_LIMIT 8192

/* Idle timeout of a connection. */
#define ENDPOINT_IDLE_S 20.0

/*
 * Upper limit for how long callers may cache a directory response. Short,
 * because a caller that holds the address of a dead instance loses a request to
 * it.
 */
#define DIRECTORY_MAX_AGE_S 2

/* Maximum number of addresses in one directory response. */
#define DIRECTORY_LIMIT 32

typedef enum {
	ENDPOINT_DIRECTORY,
	ENDPOINT_HEALTH,
	ENDPOINT_METRICS,
	ENDPOINT_COUNT
} endpoint_kind_t;

typedef struct {
	endpoints_t *endpoints;
	endpoint_kind_t kind;
} endpoint_listener_t;

struct endpoints {
	gateway_t *gateway;
	listener_t *listeners[ENDPOINT_COUNT];
	endpoint_listener_t contexts[ENDPOINT_COUNT];
	GHashTable *clients;
};

typedef struct {
	endpoints_t *endpoints;
	endpoint_kind_t kind;
	tcp_t *connection;
	http_reader_t *reader;
	bool keep_alive;
	bool head_only; /* the answer has no body */
	ev_timer idle;
} endpoint_client_t;

static void
endpoint_client_destroy(endpoint_client_t *client)
{
	ev_timer_stop(client->endpoints->gateway->loop, &client->idle);
	g_hash_table_remove(client->endpoints->clients, client);
	tcp_unref(client->connection);
	http_reader_destroy(client->reader);
	g_free(client);
}

static void
response_send(endpoint_client_t *client, unsigned status, const char *type,
    const char *body, size_t len)
{
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%s"
	    "\r\n",
	    status, status == 200 ? "OK" : "Error", type, len,
	    client->keep_alive ? "" : "Connection: close\r\n");

	tcp_send(client->connection, head, strlen(head));
	if (!client->head_only)
		tcp_send(client->connection, body, len);
}

static void
directory_send(endpoint_client_t *client, const http_head_t *head)
{
	gateway_t *gateway = client->endpoints->gateway;
	directory_query_t query;
	uint32_t ips[DIRECTORY_LIMIT];
	net_address_t addresses[DIRECTORY_LIMIT];
	size_t n;
	GString *body;

	if (!platform_directory_read(head, gateway->topology, &query)) {
		response_send(client, 404, "text/plain", "no such page\n", 13);
		return;
	}
	n = members_directory(gateway->members, query.region,
	    gateway->catalog ? catalog_common_regions(gateway->catalog)
			     : REGION_SET_ALL,
	    gateway_now(gateway), ips, DIRECTORY_LIMIT);
	if (n == 0) {
		response_send(client, 503, "text/plain", "no instance\n", 12);
		return;
	}
	for (size_t i = 0; i < n; i++)
		addresses[i] = (net_address_t){ips[i], gateway->caller_port};
	body = platform_directory_write(addresses, n,
	    MIN(DIRECTORY_MAX_AGE_S, gateway->settings->directory_life_s));
	response_send(client, 200, "application/json", body->str, body->len);
	g_string_free(body, TRUE);
}

static void
health_send(endpoint_client_t *client, const http_head_t *head)
{
	if (!platform_is_readiness_check(head))
		response_send(client, 404, "text/plain", "no such page\n", 13);
	else if (client->endpoints->gateway->ready)
		response_send(client, 200, "text/plain", "ready\n", 6);
	else
		response_send(client, 503, "text/plain", "not ready\n", 10);
}

static void
metrics_send(endpoint_client_t *client)
{
	g_autoptr(GString) text = g_string_sized_new(16384);

	counter_write_all(text);
	latencies_write(client->endpoints->gateway->latencies, text);
	gauges_write(client->endpoints->gateway, text,
	    gateway_now(client->endpoints->gateway));
	usage_write(client->endpoints->gateway, text);
	response_send(
	    client, 200, "text/plain; version=0.0.4", text->str, text->len);
}

static bool
on_head(void *owner, const http_head_t *head)
{
	endpoint_client_t *client = owner;

	client->keep_alive = head->keep_alive;
	client->head_only = http_slice_is(head->method, "head");
	switch (client->kind) {
	case ENDPOINT_DIRECTORY:
		directory_send(client, head);
		break;
	case ENDPOINT_HEALTH:
		health_send(client, head);
		break;
	case ENDPOINT_METRICS:
	case ENDPOINT_COUNT:
		metrics_send(client);
		break;
	}
	return true;
}

static void
on_body(void *owner, const uint8_t *data, size_t len)
{
}

static const http_sink_t sink = {on_head, on_body};

static void
endpoint_client_close(endpoint_client_t *client)
{
	tcp_finish(client->connection);
	endpoint_client_destroy(client);
}

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	endpoint_client_t *client = owner;
	size_t consumed;

	ev_timer_again(client->endpoints->gateway->loop, &client->idle);
	while (len > 0) {
		switch (
		    http_reader_feed(client->reader, data, len, &consumed)) {
		case HTTP_FEED_MORE:
			return;
		case HTTP_FEED_COMPLETE:
			if (!client->keep_alive) {
				endpoint_client_close(client);
				return;
			}
			data += consumed;
			len -= consumed;
			break;
		case HTTP_FEED_STOPPED:
		case HTTP_FEED_TOO_LARGE:
		case HTTP_FEED_MALFORMED:
			client->keep_alive = false;
			response_send(
			    client, 400, "text/plain", "unreadable\n", 11);
			endpoint_client_close(client);
			return;
		}
	}
}

static void
on_ended(void *owner, tcp_end_t end)
{
	endpoint_client_destroy(owner);
}

static const tcp_events_t connection_events = {
    .received = on_received,
    .ended = on_ended,
};

static void
on_idle(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	endpoint_client_t *client = watcher->data;

	/* A request that is unread after a stall is answered first. */
	if (tcp_unread(client->connection) == 0)
		endpoint_client_close(client);
}

static void
on_accepted(void *owner, int fd)
{
	endpoint_listener_t *context = owner;
	endpoints_t *endpoints = context->endpoints;
	endpoint_client_t *client = g_new0(endpoint_client_t, 1);

	client->endpoints = endpoints;
	client->kind = context->kind;
	client->connection =
	    tcp_adopt(endpoints->gateway->net, fd, &connection_events, client);
	client->reader = http_reader_create(
	    HTTP_REQUESTS, &sink, client, ENDPOINT_HEAD_LIMIT);
	ev_timer_init(&client->idle, on_idle, ENDPOINT_IDLE_S, ENDPOINT_IDLE_S);
	client->idle.data = client;
	ev_timer_start(endpoints->gateway->loop, &client->idle);
	g_hash_table_add(endpoints->clients, client);
}

bool
endpoints_have_unread(const endpoints_t *endpoints)
{
	GHashTableIter iter;
	gpointer client;

	g_hash_table_iter_init(&iter, endpoints->clients);
	while (g_hash_table_iter_next(&iter, &client, NULL)) {
		if (tcp_unread(((endpoint_client_t *)client)->connection) > 0)
			return true;
	}
	return false;
}

endpoints_t *
endpoints_create(gateway_t *gateway, GError **error)
{
	const char *listen_addresses[ENDPOINT_COUNT] = {
	    [ENDPOINT_DIRECTORY] = gateway->settings->directory,
	    [ENDPOINT_HEALTH] = gateway->settings->health,
	    [ENDPOINT_METRICS] = gateway->settings->metrics,
	};
	endpoints_t *endpoints = g_new0(endpoints_t, 1);

	endpoints->gateway = gateway;
	endpoints->clients = g_hash_table_new(NULL, NULL);
	for (endpoint_kind_t kind = 0; kind < ENDPOINT_COUNT; kind++) {
		net_address_t address;

		endpoints->contexts[kind] =
		    (endpoint_listener_t){endpoints, kind};
		if (net_address_parse(listen_addresses[kind], &address))
			endpoints->listeners[kind] =
			    listener_create(gateway->net, address, on_accepted,
				&endpoints->contexts[kind]);
		if (endpoints->listeners[kind] == NULL) {
			g_set_error(error, CS_ERROR, CS_ERROR_IO,
			    "%s: %s; use a free address of this machine",
			    listen_addresses[kind], g_strerror(errno));
			endpoints_destroy(endpoints);
			return NULL;
		}
	}
	return endpoints;
}

void
endpoints_destroy(endpoints_t *endpoints)
{
	GHashTableIter iter;
	gpointer client;

	for (endpoint_kind_t kind = 0; kind < ENDPOINT_COUNT; kind++)
		listener_destroy(endpoints->listeners[kind]);
	g_hash_table_iter_init(&iter, endpoints->clients);
	while (g_hash_table_iter_next(&iter, &client, NULL)) {
		tcp_finish(((endpoint_client_t *)client)->connection);
		g_hash_table_iter_steal(&iter);
		endpoint_client_destroy(client);
	}
	g_hash_table_destroy(endpoints->clients);
	g_free(endpoints);
}
