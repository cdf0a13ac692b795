/* The instance's own pages: for callers, metrics scrapers and operators. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/log.h"
#include "internal.h"

#define DIRECTORY_LIMIT 32

typedef struct {
	daemon_t *daemon;
	exchange_t *exchange;
	char team[NAME_LIMIT + 1]; /* "" without a valid key */
	char key_id[NAME_LIMIT + 1];
	bool has_key; /* the request has a key, valid or not */
} page_t;

typedef void (*page_handler_t)(page_t *page);

static void
text_respond(
    page_t *page, int status, const char *content_type, const char *text)
{
	exchange_add_header(page->exchange, "Content-Type", content_type);
	exchange_respond(page->exchange, status, text, strlen(text));
}

static void
json_respond(page_t *page, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	text_respond(page, status, "application/json", text);
	free(text);
	json_decref(json);
}

static void
page_refuse(page_t *page, refusal_t reason)
{
	answer_error_t error = {.reason = reason,
	    .execution = refusal_info(reason)->execution,
	    .team = page->team[0] ? page->team : NULL,
	    .request_id = "page"};

	answer_refuse(page->daemon, page->exchange, &error);
}

static void
healthz_serve(page_t *page)
{
	text_respond(page, 200, "text/plain", "ok\n");
}

static void
readyz_serve(page_t *page)
{
	daemon_t *daemon = page->daemon;
	bool ready;
	bool draining;

	pthread_mutex_lock(&daemon->gate_lock);
	ready = gate_is_ready(daemon->gate, clock_now());
	draining = gate_is_draining(daemon->gate);
	pthread_mutex_unlock(&daemon->gate_lock);
	if (draining)
		text_respond(page, 503, "text/plain", "draining\n");
	else if (!ready)
		text_respond(page, 503, "text/plain", "starting\n");
	else
		text_respond(page, 200, "text/plain", "ready\n");
}

static void
gauges_update(daemon_t *daemon)
{
	uint64_t versions[LIST_COUNT];
	size_t n_requests;

	pthread_mutex_lock(&daemon->gate_lock);
	gate_list_versions(daemon->gate, versions);
	n_requests = gate_n_requests(daemon->gate);
	pthread_mutex_unlock(&daemon->gate_lock);
	for (int i = 0; i < LIST_COUNT; i++)
		counter_set(counter_get("list_version", "list",
				list_kind_name((list_kind_t)i)),
		    (int64_t)versions[i]);
	counter_set(counter_get("requests_in_progress", NULL, NULL),
	    (int64_t)n_requests);
	counter_set(counter_get("buffer_bytes", NULL, NULL),
	    (int64_t)edge_server_memory(daemon->edge));
}

static void
metrics_serve(page_t *page)
{
	GString *text = g_string_new(NULL);

	gauges_update(page->daemon);
	counter_write_all(text);
	text_respond(page, 200, "text/plain; version=0.0.4", text->str);
	g_string_free(text, TRUE);
}

static void
directory_serve(page_t *page)
{
	daemon_t *daemon = page->daemon;
	gate_endpoint_t endpoints[DIRECTORY_LIMIT];
	json_t *list = json_array();
	size_t n;

	if (page->has_key && page->team[0] == '\0') {
		json_decref(list);
		page_refuse(page, REFUSAL_KEY_UNKNOWN);
		return;
	}
	pthread_mutex_lock(&daemon->gate_lock);
	n = gate_directory(daemon->gate, page->team[0] ? page->team : NULL,
	    exchange_query(page->exchange, "region"), clock_now(), endpoints,
	    DIRECTORY_LIMIT);
	pthread_mutex_unlock(&daemon->gate_lock);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s}", "name", endpoints[i].name,
			"zone", endpoints[i].zone, "region",
			endpoints[i].region, "http", endpoints[i].http));
	json_respond(page, 200, json_pack("{s:o}", "instances", list));
}

static void
ticket_serve(page_t *page)
{
	daemon_t *daemon = page->daemon;
	char ticket[TICKET_LIMIT];
	bool remote;
	bool issued;

	if (page->team[0] == '\0') {
		page_refuse(page,
		    page->has_key ? REFUSAL_KEY_UNKNOWN : REFUSAL_KEY_MISSING);
		return;
	}
	pthread_mutex_lock(&daemon->gate_lock);
	remote = !gate_team_is_local(daemon->gate, page->team);
	issued = !remote && gate_is_ready(daemon->gate, clock_now()) &&
		 gate_ticket(daemon->gate, page->team, clock_wall_s(), ticket);
	pthread_mutex_unlock(&daemon->gate_lock);
	if (remote)
		page_refuse(page, REFUSAL_WRONG_REGION);
	else if (!issued)
		page_refuse(page, REFUSAL_STARTING);
	else
		json_respond(page, 200, json_pack("{s:s}", "ticket", ticket));
}

static void
explain_serve(page_t *page)
{
	daemon_t *daemon = page->daemon;
	const char *team = exchange_query(page->exchange, "team");
	const char *service = exchange_query(page->exchange, "service");
	GString *text = g_string_new(NULL);

	pthread_mutex_lock(&daemon->gate_lock);
	gate_explain(daemon->gate, team ? team : "", service ? service : "",
	    clock_now(), text);
	pthread_mutex_unlock(&daemon->gate_lock);
	text_respond(page, 200, "text/plain", text->str);
	g_string_free(text, TRUE);
}

static void
drain_serve(page_t *page)
{
	daemon_t *daemon = page->daemon;

	if (strcmp(exchange_method(page->exchange), "POST") != 0) {
		page_refuse(page, REFUSAL_METHOD);
		return;
	}
	pthread_mutex_lock(&daemon->gate_lock);
	gate_drain(daemon->gate);
	pthread_mutex_unlock(&daemon->gate_lock);
	log_event(LOG_NOTICE, "drain", LOG_S("cause", "operator"));
	text_respond(page, 202, "text/plain", "draining\n");
}

static const struct {
	const char *path;
	page_handler_t handler;
	bool operator_only; /* served at the admin address only */
} pages[] = {{"/healthz", healthz_serve, false},
    {"/readyz", readyz_serve, false}, {"/metrics", metrics_serve, true},
    {"/v1/directory", directory_serve, false},
    {"/v1/ticket", ticket_serve, false}, {"/v1/explain", explain_serve, true},
    {"/v1/drain", drain_serve, true}};

static void
page_identify(page_t *page)
{
	const char *key = exchange_bearer_key(page->exchange);
	uint8_t hash[KEY_HASH_BYTES];

	page->has_key = key != NULL;
	if (key == NULL)
		return;
	key_hash_compute(key, hash);
	pthread_mutex_lock(&page->daemon->gate_lock);
	if (!gate_find_key(page->daemon->gate, hash, page->team, page->key_id))
		page->team[0] = '\0';
	pthread_mutex_unlock(&page->daemon->gate_lock);
}

void
pages_serve(daemon_t *daemon, exchange_t *exchange, bool admin)
{
	page_t page = {.daemon = daemon, .exchange = exchange};

	page_identify(&page);
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(exchange_path(exchange), pages[i].path) != 0 ||
		    (pages[i].operator_only && !admin))
			continue;
		pages[i].handler(&page);
		return;
	}
	page_refuse(&page, REFUSAL_NOT_FOUND);
}
