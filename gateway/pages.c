#include "internal.h"

#include <errno.h>
#include <string.h>

#include "common/error.h"

/* Size limit for a request head; request bodies are discarded. */
#define PAGE_HEAD_LIMIT 8192

/* Idle timeout of a connection. */
#define PAGE_IDLE_S 20.0

/*
 * Upper limit for how long callers may cache a directory response. Short,
 * because a caller that holds the address of a dead instance loses a request to
 * it.
 */
#define DIRECTORY_LIFE_S 2

/* Maximum number of addresses in one directory response. */
#define DIRECTORY_LIMIT 32

typedef enum {
	PAGE_DIRECTORY,
	PAGE_HEALTH,
	PAGE_METRICS,
	PAGE_COUNT
} page_kind_t;

typedef struct {
	pages_t *pages;
	page_kind_t kind;
} page_source_t;

struct pages {
	gateway_t *gateway;
	listener_t *listeners[PAGE_COUNT];
	page_source_t sources[PAGE_COUNT];
	GHashTable *visitors;
};

typedef struct {
	pages_t *pages;
	page_kind_t kind;
	tcp_t *connection;
	http_reader_t *reader;
	bool keep_alive;
	ev_timer idle;
} visitor_t;

static void
visitor_destroy(visitor_t *visitor)
{
	ev_timer_stop(visitor->pages->gateway->loop, &visitor->idle);
	g_hash_table_remove(visitor->pages->visitors, visitor);
	tcp_unref(visitor->connection);
	http_reader_destroy(visitor->reader);
	g_free(visitor);
}

static void
page_send(visitor_t *visitor, unsigned status, const char *type,
    const char *body, size_t len)
{
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%s"
	    "\r\n",
	    status, status == 200 ? "OK" : "Error", type, len,
	    visitor->keep_alive ? "" : "Connection: close\r\n");

	tcp_send(visitor->connection, head, strlen(head));
	tcp_send(visitor->connection, body, len);
}

static void
directory_send(visitor_t *visitor, const http_head_t *head)
{
	gateway_t *gateway = visitor->pages->gateway;
	directory_query_t query;
	uint32_t ips[DIRECTORY_LIMIT];
	net_address_t addresses[DIRECTORY_LIMIT];
	size_t n;
	GString *body;

	if (!platform_directory_read(head, gateway->places, &query)) {
		page_send(visitor, 404, "text/plain", "no such page\n", 13);
		return;
	}
	n = members_directory(gateway->members, query.region,
	    gateway->catalog ? catalog_common_regions(gateway->catalog)
			     : REGION_SET_ALL,
	    gateway_now(gateway), ips, DIRECTORY_LIMIT);
	if (n == 0) {
		page_send(visitor, 503, "text/plain", "no instance\n", 12);
		return;
	}
	for (size_t i = 0; i < n; i++)
		addresses[i] = (net_address_t){ips[i], gateway->caller_port};
	body = platform_directory_write(addresses, n,
	    MIN(DIRECTORY_LIFE_S, gateway->settings->directory_life_s));
	page_send(visitor, 200, "application/json", body->str, body->len);
	g_string_free(body, TRUE);
}

static void
health_send(visitor_t *visitor, const http_head_t *head)
{
	if (!platform_is_ready_check(head))
		page_send(visitor, 404, "text/plain", "no such page\n", 13);
	else if (visitor->pages->gateway->ready)
		page_send(visitor, 200, "text/plain", "ready\n", 6);
	else
		page_send(visitor, 503, "text/plain", "not ready\n", 10);
}

static void
metrics_send(visitor_t *visitor)
{
	g_autoptr(GString) text = g_string_sized_new(16384);

	counter_write_all(text);
	latencies_write(visitor->pages->gateway->latencies, text);
	page_send(
	    visitor, 200, "text/plain; version=0.0.4", text->str, text->len);
}

static bool
on_head(void *owner, const http_head_t *head)
{
	visitor_t *visitor = owner;

	visitor->keep_alive = head->keep_alive;
	switch (visitor->kind) {
	case PAGE_DIRECTORY:
		directory_send(visitor, head);
		break;
	case PAGE_HEALTH:
		health_send(visitor, head);
		break;
	case PAGE_METRICS:
	case PAGE_COUNT:
		metrics_send(visitor);
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
visitor_close(visitor_t *visitor)
{
	tcp_finish(visitor->connection);
	visitor_destroy(visitor);
}

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	visitor_t *visitor = owner;
	size_t consumed;

	ev_timer_again(visitor->pages->gateway->loop, &visitor->idle);
	while (len > 0) {
		switch (
		    http_reader_feed(visitor->reader, data, len, &consumed)) {
		case HTTP_FEED_MORE:
			return;
		case HTTP_FEED_COMPLETE:
			if (!visitor->keep_alive) {
				visitor_close(visitor);
				return;
			}
			data += consumed;
			len -= consumed;
			break;
		case HTTP_FEED_STOPPED:
		case HTTP_FEED_TOO_LARGE:
		case HTTP_FEED_MALFORMED:
			visitor->keep_alive = false;
			page_send(
			    visitor, 400, "text/plain", "unreadable\n", 11);
			visitor_close(visitor);
			return;
		}
	}
}

static void
on_ended(void *owner, tcp_end_t end)
{
	visitor_destroy(owner);
}

static const tcp_events_t connection_events = {
    .received = on_received,
    .ended = on_ended,
};

static void
on_idle(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	visitor_close(watcher->data);
}

static void
on_accepted(void *owner, int fd)
{
	page_source_t *source = owner;
	pages_t *pages = source->pages;
	visitor_t *visitor = g_new0(visitor_t, 1);

	visitor->pages = pages;
	visitor->kind = source->kind;
	visitor->connection =
	    tcp_adopt(pages->gateway->net, fd, &connection_events, visitor);
	visitor->reader =
	    http_reader_create(HTTP_REQUESTS, &sink, visitor, PAGE_HEAD_LIMIT);
	ev_timer_init(&visitor->idle, on_idle, PAGE_IDLE_S, PAGE_IDLE_S);
	visitor->idle.data = visitor;
	ev_timer_start(pages->gateway->loop, &visitor->idle);
	g_hash_table_add(pages->visitors, visitor);
}

pages_t *
pages_create(gateway_t *gateway, GError **error)
{
	const char *places[PAGE_COUNT] = {
	    [PAGE_DIRECTORY] = gateway->settings->directory,
	    [PAGE_HEALTH] = gateway->settings->health,
	    [PAGE_METRICS] = gateway->settings->metrics,
	};
	pages_t *pages = g_new0(pages_t, 1);

	pages->gateway = gateway;
	pages->visitors = g_hash_table_new(NULL, NULL);
	for (page_kind_t kind = 0; kind < PAGE_COUNT; kind++) {
		net_address_t address;

		pages->sources[kind] = (page_source_t){pages, kind};
		if (net_address_parse(places[kind], &address))
			pages->listeners[kind] = listener_create(gateway->net,
			    address, on_accepted, &pages->sources[kind]);
		if (pages->listeners[kind] == NULL) {
			g_set_error(error, CS_ERROR, CS_ERROR_IO,
			    "%s: %s; use a free address of this machine",
			    places[kind], g_strerror(errno));
			pages_destroy(pages);
			return NULL;
		}
	}
	return pages;
}

void
pages_destroy(pages_t *pages)
{
	GHashTableIter iter;
	gpointer visitor;

	for (page_kind_t kind = 0; kind < PAGE_COUNT; kind++)
		listener_destroy(pages->listeners[kind]);
	g_hash_table_iter_init(&iter, pages->visitors);
	while (g_hash_table_iter_next(&iter, &visitor, NULL)) {
		tcp_close(((visitor_t *)visitor)->connection);
		g_hash_table_iter_steal(&iter);
		visitor_destroy(visitor);
	}
	g_hash_table_destroy(pages->visitors);
	g_free(pages);
}
