#include "fake_store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "raw_http.h"

/* Longest time that a silent store holds a call. */
#define SILENCE_MS 60000

/* Size of the field that names the era. */
#define ERA_FIELD_SIZE 48

typedef struct {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
	bool unseen;
} event_t;

struct fake_store {
	raw_server_t *server;
	GMutex lock;
	GCond changed;
	GPtrArray *events; /* event_t, by revision */
	int64_t era;
	int64_t revision;
	int64_t forgotten; /* watches from before this get 410 */
	unsigned n_forgets;
	char *forget_prefix; /* whose watches the last one ended */
	store_mode_t mode;
	unsigned page;
	unsigned rate; /* of answers in bytes per second; 0: at once */
	unsigned calls;
};

static void
event_free(gpointer data)
{
	event_t *event = data;

	g_free(event->key);
	g_free(event->value);
	g_free(event);
}

static int64_t
query_number(GHashTable *query, const char *name)
{
	const char *text = g_hash_table_lookup(query, name);

	return text ? strtoll(text, NULL, 10) : 0;
}

static void
event_append(GString *out, const event_t *event)
{
	if (out->str[out->len - 1] != '[')
		g_string_append_c(out, ',');
	if (event->value == NULL) {
		g_string_append_printf(out,
		    "{\"key\":\"%s\",\"revision\":%" PRId64
		    ",\"tombstone\":true}",
		    event->key, event->revision);
	} else {
		g_autofree char *text = g_base64_encode(
		    (const guchar *)event->value, strlen(event->value));

		g_string_append_printf(out,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" PRId64
		    ",\"create_revision\":%" PRId64 ",\"lease\":0}",
		    event->key, text, event->revision, event->revision);
	}
}

/* The newest event of each key, or NULL. */
static const event_t *
key_state(const fake_store_t *store, const char *key)
{
	for (guint i = store->events->len; i > 0; i--) {
		const event_t *event = g_ptr_array_index(store->events, i - 1);

		if (strcmp(event->key, key) == 0)
			return event;
	}
	return NULL;
}

static int
key_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static char *
range_answer(fake_store_t *store, const char *prefix, const char *after)
{
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	GString *out = g_string_new("{\"items\":[");
	unsigned n = 0;
	bool truncated = false;

	for (guint i = 0; i < store->events->len; i++) {
		event_t *event = g_ptr_array_index(store->events, i);

		if (g_str_has_prefix(event->key, prefix) &&
		    key_state(store, event->key) == event &&
		    event->value != NULL)
			g_ptr_array_add(keys, event->key);
	}
	g_ptr_array_sort(keys, key_compare);
	for (guint i = 0; i < keys->len && !truncated; i++) {
		const char *key = g_ptr_array_index(keys, i);

		if (after != NULL && strcmp(key, after) <= 0)
			continue;
		truncated = n == store->page;
		if (!truncated) {
			event_append(out, key_state(store, key));
			n++;
		}
	}
	g_string_append_printf(out,
	    "],\"truncated\":%s,\"store_revision\":%" PRId64 "}",
	    truncated ? "true" : "false", store->revision);
	return g_string_free(out, FALSE);
}

/* Returns NULL when there is nothing. */
static char *
watch_answer(const fake_store_t *store, const char *prefix, int64_t after)
{
	GString *out = g_string_new("{\"events\":[");
	bool any = false;

	for (guint i = 0; i < store->events->len; i++) {
		const event_t *event = g_ptr_array_index(store->events, i);

		if (event->revision <= after || event->unseen ||
		    !g_str_has_prefix(event->key, prefix))
			continue;
		event_append(out, event);
		any = true;
	}
	g_string_append_printf(
	    out, "],\"store_revision\":%" PRId64 "}", store->revision);
	if (!any) {
		g_string_free(out, TRUE);
		return NULL;
	}
	return g_string_free(out, FALSE);
}

/* Sends an answer of this era. */
/* Sends the body in ten parts a second. */
static bool
body_send_slowly(int fd, const char *body, unsigned rate)
{
	size_t len = strlen(body);
	size_t part = MAX(rate / 10, 1);

	for (size_t sent = 0; sent < len; sent += part) {
		g_autofree char *text = g_strndup(body + sent, part);

		if (!raw_send(fd, text))
			return false;
		g_usleep(G_USEC_PER_SEC / 10);
	}
	return true;
}

static bool
answer_send(
    fake_store_t *store, int fd, unsigned status, int64_t era, const char *body)
{
	char field[ERA_FIELD_SIZE];
	g_autofree char *head = NULL;
	unsigned rate;

	g_mutex_lock(&store->lock);
	rate = store->rate;
	g_mutex_unlock(&store->lock);
	g_snprintf(field, sizeof(field), "Store-Era: %" PRId64 "\r\n", era);
	if (rate == 0)
		return raw_send_answer(fd, status, field, body);
	head = g_strdup_printf(
	    "HTTP/1.1 %u Answer\r\n%sContent-Length: %zu\r\n\r\n", status,
	    field, strlen(body));
	return raw_send(fd, head) && body_send_slowly(fd, body, rate);
}

static bool
watch_serve(fake_store_t *store, int fd, GHashTable *query, const char *prefix)
{
	int64_t after = query_number(query, "after");
	gint64 until = g_get_monotonic_time() +
		       query_number(query, "wait_ms") * G_TIME_SPAN_MILLISECOND;
	char *answer = NULL;
	unsigned n_forgets;
	int64_t era;
	bool gone;
	bool ok;

	g_mutex_lock(&store->lock);
	gone = after < store->forgotten || after > store->revision;
	n_forgets = store->n_forgets;
	while (!gone && store->mode == STORE_WORKS &&
	       (answer = watch_answer(store, prefix, after)) == NULL &&
	       g_cond_wait_until(&store->changed, &store->lock, until))
		gone = store->n_forgets != n_forgets &&
		       strcmp(prefix, store->forget_prefix) == 0;
	if (answer == NULL)
		answer = g_strdup_printf(
		    "{\"events\":[],\"store_revision\":%" PRId64 "}",
		    store->revision);
	era = store->era;
	g_mutex_unlock(&store->lock);
	ok = gone ? answer_send(store, fd, 410, era, "{}")
		  : answer_send(store, fd, 200, era, answer);
	g_free(answer);
	return ok;
}

static bool
call_serve(fake_store_t *store, int fd, const raw_request_t *request)
{
	g_autoptr(GHashTable) query = g_uri_parse_params(
	    request->query, -1, "&", G_URI_PARAMS_NONE, NULL);
	const char *prefix = g_hash_table_lookup(query, "prefix");
	g_autofree char *answer = NULL;
	int64_t era;

	if (prefix == NULL)
		return raw_send_answer(fd, 400, "", "{}");
	if (strcmp(request->path, "/kv-watch") == 0)
		return watch_serve(store, fd, query, prefix);
	g_mutex_lock(&store->lock);
	answer =
	    range_answer(store, prefix, g_hash_table_lookup(query, "after"));
	era = store->era;
	g_mutex_unlock(&store->lock);
	return answer_send(store, fd, 200, era, answer);
}

static bool
on_request(int fd, const raw_request_t *request, void *owner)
{
	fake_store_t *store = owner;
	store_mode_t mode;
	int64_t era;

	g_mutex_lock(&store->lock);
	store->calls++;
	mode = store->mode;
	era = store->era;
	g_mutex_unlock(&store->lock);
	switch (mode) {
	case STORE_WORKS:
	case STORE_FORGETS:
		return call_serve(store, fd, request);
	case STORE_REFUSES:
		return answer_send(store, fd, 503, era, "{}");
	case STORE_RESETS:
		raw_reset_on_close(fd);
		return false;
	case STORE_SILENT:
		raw_wait_closed(fd, SILENCE_MS);
		return false;
	}
	return false;
}

fake_store_t *
fake_store_create(uint16_t *port)
{
	fake_store_t *store = g_new0(fake_store_t, 1);

	g_mutex_init(&store->lock);
	g_cond_init(&store->changed);
	store->events = g_ptr_array_new_with_free_func(event_free);
	store->era = 1;
	store->revision = 100;
	store->page = 500;
	store->server = raw_server_create(on_request, store, port);
	return store;
}

void
fake_store_destroy(fake_store_t *store)
{
	fake_store_set_mode(store, STORE_RESETS);
	raw_server_destroy(store->server);
	g_ptr_array_unref(store->events);
	g_free(store->forget_prefix);
	g_mutex_clear(&store->lock);
	g_cond_clear(&store->changed);
	g_free(store);
}

static void
event_add(fake_store_t *store, const char *key, const char *value, bool unseen)
{
	event_t *event = g_new0(event_t, 1);

	g_mutex_lock(&store->lock);
	event->key = g_strdup(key);
	event->value = g_strdup(value);
	event->revision = ++store->revision;
	event->unseen = unseen;
	g_ptr_array_add(store->events, event);
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
}

void
fake_store_put(fake_store_t *store, const char *key, const char *value)
{
	event_add(store, key, value, false);
}

void
fake_store_put_unseen(fake_store_t *store, const char *key, const char *value)
{
	event_add(store, key, value, true);
}

int64_t
fake_store_revision(fake_store_t *store)
{
	int64_t revision;

	g_mutex_lock(&store->lock);
	revision = store->revision;
	g_mutex_unlock(&store->lock);
	return revision;
}

void
fake_store_restore(fake_store_t *store, int64_t revision)
{
	g_mutex_lock(&store->lock);
	for (guint i = store->events->len; i > 0; i--) {
		const event_t *event = g_ptr_array_index(store->events, i - 1);

		if (event->revision > revision)
			g_ptr_array_remove_index(store->events, i - 1);
	}
	store->revision = revision;
	store->era++;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
}

void
fake_store_set_mode(fake_store_t *store, store_mode_t mode)
{
	bool reset = mode != STORE_WORKS;

	g_mutex_lock(&store->lock);
	if (mode == STORE_FORGETS) {
		store->forgotten = store->revision + 1;
		store->revision++;
		reset = true;
		mode = STORE_WORKS;
	}
	store->mode = mode;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	if (reset)
		raw_server_reset(store->server);
}

void
fake_store_forget(fake_store_t *store, const char *prefix)
{
	g_mutex_lock(&store->lock);
	store->forgotten = store->revision;
	store->n_forgets++;
	g_free(store->forget_prefix);
	store->forget_prefix = g_strdup(prefix);
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
}

void
fake_store_set_page(fake_store_t *store, unsigned items)
{
	g_mutex_lock(&store->lock);
	store->page = items;
	g_mutex_unlock(&store->lock);
}

void
fake_store_set_rate(fake_store_t *store, unsigned bytes_per_s)
{
	g_mutex_lock(&store->lock);
	store->rate = bytes_per_s;
	g_mutex_unlock(&store->lock);
}

unsigned
fake_store_calls(fake_store_t *store)
{
	unsigned calls;

	g_mutex_lock(&store->lock);
	calls = store->calls;
	g_mutex_unlock(&store->lock);
	return calls;
}
