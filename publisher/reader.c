#include "publisher/reader.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <pthread.h>
#include <sodium.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "common/log.h"
#include "common/thread.h"

#define DEFAULT_WAIT_S 30
#define DEFAULT_TIMEOUT_S 10
#define DEFAULT_RETRY_MAX_MS 30000
#define RETRY_MIN_MS 1000
#define CONNECT_TIMEOUT_MS 2000
/* Minimum interval between calls for a list after an unchanged answer. */
#define UNCHANGED_GAP_US US_PER_S
/* The same after a new value; limits the load of constant changes. */
#define VALUE_GAP_US (250 * US_PER_MS)
/*
 * A value that isn't watched is first read at a random time within this
 * interval: 400 instances read 32 parts at 427 calls a second.
 */
#define FIRST_READ_SPREAD_US (30 * US_PER_S)
/*
 * Mean interval between later reads, in case no peer reports a change. A
 * shorter one would cost as much as the changes themselves: 32 parts of 68 KB
 * in 2 h are 0.3 KB/s.
 */
#define UNWATCHED_INTERVAL_US (7200 * US_PER_S)
/* Factor by which the retry delay of a value that isn't watched is longer. */
#define UNWATCHED_RETRY_FACTOR 10

typedef struct {
	platform_reader_t *reader;
	list_kind_t kind;
	plans_source_t source; /* of LIST_PLANS values */
	char *path;	       /* escaped name */
	CURL *easy;
	bool running;
	size_t base;
	unsigned failures;
	time_us_t started_at;
	time_us_t start_at; /* of the next call */
	GString *body;
	bool too_large;
	char revision[PLATFORM_REVISION_LIMIT + 1]; /* "": read, don't watch */
	char etag[PLATFORM_REVISION_LIMIT + 1];	    /* of the answer */
} value_t;

struct platform_reader {
	char **bases;
	size_t n_bases;
	unsigned wait_s;
	unsigned timeout_s;
	unsigned retry_max_ms;
	platform_value_t on_value;
	void *user;
	char *plans_name;
	CURLM *multi;
	GPtrArray *values; /* value_t, used by the thread only */
	pthread_mutex_t lock;
	GArray *sources; /* not yet applied, or NULL; under lock */
	pthread_t thread;
	unsigned stopping; /* atomic */
};

static size_t
on_body(char *data, size_t size, size_t n, void *user)
{
	value_t *value = user;

	if (value->body->len + n > PLATFORM_VALUE_LIMIT) {
		value->too_large = true;
		return 0; /* ends the transfer */
	}
	g_string_append_len(value->body, data, (gssize)n);
	return n;
}

/* Copies an ETag without W/ and quotes. An invalid one counts as missing. */
static void
etag_copy(value_t *value, const char *text, size_t len)
{
	if (len >= 2 && strncmp(text, "W/", 2) == 0) {
		text += 2;
		len -= 2;
	}
	if (len >= 2 && text[0] == '"' && text[len - 1] == '"') {
		text++;
		len -= 2;
	}
	value->etag[0] = '\0';
	if (len == 0 || len > PLATFORM_REVISION_LIMIT)
		return;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isgraph(text[i]))
			return;
	}
	memcpy(value->etag, text, len);
	value->etag[len] = '\0';
}

static size_t
on_header(char *data, size_t size, size_t n, void *user)
{
	static const char name[] = "etag:";
	const size_t skip = sizeof(name) - 1;

	if (n > skip && g_ascii_strncasecmp(data, name, skip) == 0) {
		g_autofree char *text = g_strndup(data + skip, n - skip);

		g_strstrip(text);
		etag_copy(user, text, strlen(text));
	}
	return n;
}

static char *
value_url(const value_t *value)
{
	const platform_reader_t *reader = value->reader;
	const char *base = reader->bases[value->base];
	char *revision;
	char *url;

	if (value->revision[0] == '\0')
		return g_strdup_printf("%s/v1/values/%s", base, value->path);
	revision = curl_easy_escape(value->easy, value->revision, 0);
	url = g_strdup_printf("%s/v1/values/%s?after=%s&wait=%u", base,
	    value->path, revision, value->source.watch ? reader->wait_s : 0);
	curl_free(revision);
	return url;
}

static void
value_start(value_t *value, time_us_t now)
{
	const platform_reader_t *reader = value->reader;
	g_autofree char *url = value_url(value);
	long limit_s = (long)reader->timeout_s;

	if (value->revision[0] != '\0')
		limit_s += (long)reader->wait_s;
	g_string_truncate(value->body, 0);
	value->etag[0] = '\0';
	value->too_large = false;
	value->running = true;
	value->started_at = now;
	curl_easy_setopt(value->easy, CURLOPT_URL, url);
	curl_easy_setopt(value->easy, CURLOPT_TIMEOUT_MS, limit_s * 1000);
	curl_multi_add_handle(reader->multi, value->easy);
}

/* Returns a random delay after the given number of consecutive failures. */
static time_us_t
retry_delay(const platform_reader_t *reader, unsigned failures)
{
	uint32_t max = reader->retry_max_ms;
	uint32_t min = MIN((uint32_t)RETRY_MIN_MS, max);
	uint32_t delay_ms;

	if (failures <= 1)
		delay_ms = randombytes_uniform(min + 1);
	else
		delay_ms = min + randombytes_uniform(max - min + 1);
	return (time_us_t)delay_ms * US_PER_MS;
}

static void
value_failed(value_t *value, const char *result, long status)
{
	platform_reader_t *reader = value->reader;

	counter_increment("platform_reads", "result", result);
	log_event(LOG_WARNING, "platform_read_failed",
	    LOG_S("value", value->path),
	    LOG_S("base", reader->bases[value->base]), LOG_S("result", result),
	    LOG_I("status", status));
	value->failures++;
	value->revision[0] = '\0';
	value->base = (value->base + 1) % reader->n_bases;
	value->start_at =
	    clock_now() +
	    retry_delay(reader, value->failures) *
		(value->source.watch ? 1 : UNWATCHED_RETRY_FACTOR);
}

/* Returns the start time of the next call for a value that isn't watched. */
static time_us_t
unwatched_next(time_us_t now)
{
	return now + UNWATCHED_INTERVAL_US / 2 +
	       (time_us_t)randombytes_uniform(
		   UNWATCHED_INTERVAL_US / US_PER_MS) *
		   US_PER_MS;
}

static void
value_unchanged(value_t *value)
{
	counter_increment("platform_reads", "result", "unchanged");
	value->failures = 0;
	value->start_at = value->source.watch
			      ? value->started_at + UNCHANGED_GAP_US
			      : unwatched_next(value->started_at);
}

static void
value_received(value_t *value)
{
	const platform_reader_t *reader = value->reader;

	/* The platform ignored the revision, or its watch ended with 200. */
	if (strcmp(value->etag, value->revision) == 0) {
		value_unchanged(value);
		return;
	}
	counter_increment("platform_reads", "result", "value");
	value->failures = 0;
	g_strlcpy(value->revision, value->etag, sizeof(value->revision));
	value->start_at = value->source.watch
			      ? value->started_at + VALUE_GAP_US
			      : unwatched_next(value->started_at);
	reader->on_value(
	    value->kind, value->body->str, value->body->len, reader->user);
}

static void
value_finished(value_t *value, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(value->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(value->reader->multi, value->easy);
	value->running = false;
	if (value->too_large || code == CURLE_FILESIZE_EXCEEDED)
		value_failed(value, "too_large", status);
	else if (code == CURLE_OPERATION_TIMEDOUT)
		value_failed(value, "timeout", status);
	else if (code != CURLE_OK)
		value_failed(value, "unreachable", status);
	else if (status != 200 && status != 304)
		value_failed(value, "status", status);
	else if (status == 200 && value->etag[0] != '\0')
		value_received(value);
	else if (status == 304 && value->revision[0] != '\0')
		value_unchanged(value);
	else
		value_failed(value, "invalid", status);
}

/* Starts the calls that are due. Returns the time of the next one. */
static time_us_t
reader_start_due(platform_reader_t *reader, time_us_t now)
{
	time_us_t next = now + US_PER_S;

	for (guint i = 0; i < reader->values->len; i++) {
		value_t *value = g_ptr_array_index(reader->values, i);

		if (value->running)
			continue;
		if (value->start_at <= now)
			value_start(value, now);
		else
			next = MIN(next, value->start_at);
	}
	return next;
}

static void
reader_handle_finished(platform_reader_t *reader)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(reader->multi, &left)) != NULL) {
		char *value = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &value);
		value_finished((value_t *)value, message->data.result);
	}
}

static void
value_destroy(gpointer data)
{
	value_t *value = data;

	if (value->running)
		curl_multi_remove_handle(value->reader->multi, value->easy);
	curl_easy_cleanup(value->easy);
	curl_free(value->path);
	g_string_free(value->body, TRUE);
	g_free(value);
}

static bool
value_add(platform_reader_t *reader, list_kind_t kind, const char *name,
    plans_source_t source)
{
	value_t *value = g_new0(value_t, 1);
	CURL *easy = curl_easy_init();

	value->reader = reader;
	value->kind = kind;
	value->source = source;
	value->easy = easy;
	value->body = g_string_new(NULL);
	g_ptr_array_add(reader->values, value);
	if (easy == NULL)
		return false;
	value->path = curl_easy_escape(easy, name, 0);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, value);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, value);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, value);
	curl_easy_setopt(easy, CURLOPT_MAXFILESIZE, (long)PLATFORM_VALUE_LIMIT);
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	return value->path != NULL;
}

static bool
value_add_plans(platform_reader_t *reader, plans_source_t source)
{
	g_autofree char *name = g_strdup(reader->plans_name);

	if (source.parts > 1) {
		g_free(name);
		name = g_strdup_printf("%s-%u-of-%u", reader->plans_name,
		    source.part, source.parts);
	}
	return value_add(reader, LIST_PLANS, name, source);
}

static bool
source_is_same_part(const plans_source_t *a, const plans_source_t *b)
{
	return a->part == b->part && a->parts == b->parts;
}

static const plans_source_t *
source_find(const GArray *sources, const plans_source_t *wanted)
{
	for (guint i = 0; i < sources->len; i++) {
		const plans_source_t *source =
		    &g_array_index(sources, plans_source_t, i);

		if (source_is_same_part(source, wanted))
			return source;
	}
	return NULL;
}

static bool
source_has_value(const platform_reader_t *reader, const plans_source_t *wanted)
{
	for (guint i = 0; i < reader->values->len; i++) {
		const value_t *value = g_ptr_array_index(reader->values, i);

		if (value->kind == LIST_PLANS &&
		    source_is_same_part(&value->source, wanted))
			return true;
	}
	return false;
}

/* Updates the source of a value. Returns false when sources has none for it. */
static bool
value_update_source(value_t *value, const GArray *sources, time_us_t now)
{
	const plans_source_t *source = source_find(sources, &value->source);

	if (source == NULL)
		return false;
	if (source->watch && !value->source.watch && !value->running)
		value->start_at = now;
	value->source.watch = source->watch;
	return true;
}

static void
reader_apply_sources(platform_reader_t *reader, time_us_t now)
{
	g_autoptr(GArray) sources = NULL;

	pthread_mutex_lock(&reader->lock);
	sources = g_steal_pointer(&reader->sources);
	pthread_mutex_unlock(&reader->lock);
	if (sources == NULL)
		return;
	for (guint i = reader->values->len; i-- > 0;) {
		value_t *value = g_ptr_array_index(reader->values, i);

		if (value->kind == LIST_PLANS &&
		    !value_update_source(value, sources, now))
			g_ptr_array_remove_index_fast(reader->values, i);
	}
	for (guint i = 0; i < sources->len; i++) {
		plans_source_t source =
		    g_array_index(sources, plans_source_t, i);
		value_t *value;

		if (source_has_value(reader, &source) ||
		    !value_add_plans(reader, source))
			continue;
		value =
		    g_ptr_array_index(reader->values, reader->values->len - 1);
		if (!source.watch)
			value->start_at =
			    now +
			    randombytes_uniform((uint32_t)FIRST_READ_SPREAD_US);
	}
}

static void *
reader_run(void *arg)
{
	platform_reader_t *reader = arg;

	while (ck_pr_load_uint(&reader->stopping) == 0) {
		time_us_t now;
		time_us_t next;
		int running;

		curl_multi_perform(reader->multi, &running);
		/* Before starting calls: a finished one can be due at once. */
		reader_handle_finished(reader);
		now = clock_now();
		reader_apply_sources(reader, now);
		next = reader_start_due(reader, now);
		curl_multi_poll(reader->multi, NULL, 0,
		    (int)((next - now) / US_PER_MS + 1), NULL);
	}
	return NULL;
}

static bool
bases_check(const char *const *bases, GError **error)
{
	for (size_t i = 0; bases[i] != NULL; i++) {
		if (g_str_has_prefix(bases[i], "http://") ||
		    g_str_has_prefix(bases[i], "https://"))
			continue;
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "%s is not a platform URL; write it as http://host:port",
		    bases[i]);
		return false;
	}
	if (bases[0] != NULL)
		return true;
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "no platform URL; specify at least one");
	return false;
}

static void
bases_copy(platform_reader_t *reader, const char *const *bases)
{
	reader->bases = g_strdupv((char **)bases);
	reader->n_bases = g_strv_length(reader->bases);
	for (size_t i = 0; i < reader->n_bases; i++) {
		char *end = reader->bases[i] + strlen(reader->bases[i]);

		while (end[-1] == '/')
			*--end = '\0';
	}
}

static void
reader_free(platform_reader_t *reader)
{
	g_ptr_array_free(reader->values, TRUE);
	curl_multi_cleanup(reader->multi);
	if (reader->sources != NULL)
		g_array_free(reader->sources, TRUE);
	pthread_mutex_destroy(&reader->lock);
	g_strfreev(reader->bases);
	g_free(reader->plans_name);
	g_free(reader);
}

static bool
reader_init(platform_reader_t *reader, const platform_options_t *options)
{
	const plans_source_t undivided = {0, 1, true};
	bool ok = true;

	bases_copy(reader, options->bases);
	reader->wait_s = options->wait_s ? options->wait_s : DEFAULT_WAIT_S;
	reader->timeout_s =
	    options->timeout_s ? options->timeout_s : DEFAULT_TIMEOUT_S;
	reader->retry_max_ms = options->retry_max_ms ? options->retry_max_ms
						     : DEFAULT_RETRY_MAX_MS;
	reader->on_value = options->on_value;
	reader->user = options->user;
	reader->multi = curl_multi_init();
	for (int i = 0; i < LIST_COUNT; i++) {
		const char *name = options->names[i];

		if (name == NULL)
			name = list_kind_name((list_kind_t)i);
		if (i == LIST_PLANS)
			reader->plans_name = g_strdup(name);
		if (i == LIST_PLANS && options->defer_plans)
			continue;
		if (!value_add(reader, (list_kind_t)i, name, undivided))
			ok = false;
	}
	return ok && reader->multi != NULL;
}

platform_reader_t *
platform_reader_create(const platform_options_t *options, GError **error)
{
	platform_reader_t *reader;

	if (!bases_check(options->bases, error))
		return NULL;
	reader = g_new0(platform_reader_t, 1);
	reader->values = g_ptr_array_new_with_free_func(value_destroy);
	pthread_mutex_init(&reader->lock, NULL);
	if (sodium_init() >= 0 &&
	    curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK &&
	    reader_init(reader, options) &&
	    thread_start(&reader->thread, reader_run, reader) == 0)
		return reader;
	reader_free(reader);
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "can't start the platform reader; raise the process limits");
	return NULL;
}

void
platform_reader_set_sources(
    platform_reader_t *reader, const plans_source_t *sources, size_t n)
{
	GArray *copy = g_array_new(FALSE, FALSE, sizeof(*sources));

	g_array_append_vals(copy, sources, (guint)n);
	pthread_mutex_lock(&reader->lock);
	if (reader->sources != NULL)
		g_array_free(reader->sources, TRUE);
	reader->sources = copy;
	pthread_mutex_unlock(&reader->lock);
}

void
platform_reader_destroy(platform_reader_t *reader)
{
	if (reader == NULL)
		return;
	ck_pr_store_uint(&reader->stopping, 1);
	curl_multi_wakeup(reader->multi);
	pthread_join(reader->thread, NULL);
	reader_free(reader);
}
