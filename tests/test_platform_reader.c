#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#include "common/clock.h"
#include "common/counter.h"
#include "publisher/reader.h"
#include "test.h"

#define WAIT_S 20 /* a wait that takes longer fails the test */

/* A fake platform, and the values that the reader reported. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct MHD_Daemon *daemon;
	char base[64];
	unsigned revision;
	unsigned status;    /* if not 200, answered at once */
	size_t len;	    /* of each value */
	bool hold_plans;    /* calls for the plans list are not answered */
	bool ignores_after; /* answers each call with 200 at once */
	bool chunked;	    /* answers have no Content-Length */
	bool closing;
	int outstanding[LIST_COUNT];
	int max_outstanding;
	unsigned n_values[LIST_COUNT];
	size_t last_len[LIST_COUNT];
} platform_t;

static list_kind_t
url_kind(const char *url)
{
	if (strstr(url, "/plans-") != NULL)
		return LIST_PLANS;
	for (int i = 0; i < LIST_COUNT; i++) {
		if (g_str_has_suffix(url, list_kind_name((list_kind_t)i)))
			return (list_kind_t)i;
	}
	return LIST_COUNT;
}

static bool
cond_wait(platform_t *platform, time_us_t limit_us)
{
	struct timespec until;
	gint64 at = g_get_real_time() + limit_us;

	until.tv_sec = at / US_PER_S;
	until.tv_nsec = at % US_PER_S * 1000;
	return pthread_cond_timedwait(
		   &platform->changed, &platform->lock, &until) == 0;
}

/* Returns the status of the answer; lock is held. */
static unsigned
watch_wait(
    platform_t *platform, struct MHD_Connection *connection, list_kind_t kind)
{
	const char *after = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "after");
	const char *wait = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "wait");
	time_us_t end;

	while (platform->hold_plans && kind == LIST_PLANS && !platform->closing)
		pthread_cond_wait(&platform->changed, &platform->lock);
	if (after == NULL || wait == NULL || platform->ignores_after)
		return platform->status;
	end = clock_now() + atoi(wait) * US_PER_S;
	while (platform->revision == (unsigned)atoi(after) &&
	       platform->status == 200 && !platform->closing) {
		if (clock_now() >= end)
			return 304;
		cond_wait(platform, end - clock_now());
	}
	return platform->status;
}

static ssize_t
chunk_read(void *user, uint64_t at, char *data, size_t max)
{
	size_t n = MIN(max, GPOINTER_TO_SIZE(user) - at);

	if (n == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	memset(data, 'c', n);
	return (ssize_t)n;
}

static struct MHD_Response *
response_create(platform_t *platform, unsigned status)
{
	struct MHD_Response *response;
	char etag[32];
	char *text = g_malloc(platform->len + 1);

	memset(text, 'v', platform->len);
	if (platform->chunked)
		response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
		    4096, chunk_read, GSIZE_TO_POINTER(platform->len), NULL);
	else
		response = MHD_create_response_from_buffer(
		    status == 200 ? platform->len : 0, text,
		    MHD_RESPMEM_MUST_COPY);
	g_free(text);
	g_snprintf(etag, sizeof(etag), "\"%u\"", platform->revision);
	MHD_add_response_header(response, "ETag", etag);
	return response;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *body, size_t *body_len,
    void **state)
{
	platform_t *platform = user;
	list_kind_t kind = url_kind(url);
	struct MHD_Response *response;
	enum MHD_Result result;
	unsigned status;

	if (kind == LIST_COUNT)
		return MHD_NO;
	pthread_mutex_lock(&platform->lock);
	platform->outstanding[kind]++;
	platform->max_outstanding =
	    MAX(platform->max_outstanding, platform->outstanding[kind]);
	status = watch_wait(platform, connection, kind);
	platform->outstanding[kind]--;
	response = response_create(platform, status);
	pthread_mutex_unlock(&platform->lock);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void
platform_init(platform_t *platform)
{
	const union MHD_DaemonInfo *info;

	memset(platform, 0, sizeof(*platform));
	pthread_mutex_init(&platform->lock, NULL);
	pthread_cond_init(&platform->changed, NULL);
	platform->revision = 1;
	platform->status = 200;
	platform->len = 100;
	platform->daemon =
	    MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD |
				 MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC,
		0, NULL, NULL, on_request, platform, MHD_OPTION_END);
	ck_assert_ptr_nonnull(platform->daemon);
	info = MHD_get_daemon_info(platform->daemon, MHD_DAEMON_INFO_BIND_PORT);
	g_snprintf(platform->base, sizeof(platform->base),
	    "http://127.0.0.1:%u/", info->port);
}

static void
platform_clear(platform_t *platform)
{
	pthread_mutex_lock(&platform->lock);
	platform->closing = true;
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->lock);
	MHD_stop_daemon(platform->daemon);
	pthread_cond_destroy(&platform->changed);
	pthread_mutex_destroy(&platform->lock);
}

static void
on_value(list_kind_t kind, const char *text, size_t len, void *user)
{
	platform_t *platform = user;

	pthread_mutex_lock(&platform->lock);
	platform->n_values[kind]++;
	platform->last_len[kind] = strlen(text) == len ? len : 0;
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->lock);
}

static platform_reader_t *
reader_start(platform_t *platform, const char *first_base)
{
	const char *const bases[] = {first_base, platform->base, NULL};
	const platform_options_t options = {
	    .bases = first_base ? bases : bases + 1,
	    .wait_s = 1,
	    .timeout_s = 1,
	    .retry_max_ms = 50,
	    .on_value = on_value,
	    .user = platform,
	};
	platform_reader_t *reader = platform_reader_create(&options, NULL);

	ck_assert_ptr_nonnull(reader);
	return reader;
}

static int64_t
read_count(const char *result)
{
	return counter_read(counter_get("platform_reads", "result", result));
}

static void
reads_wait(platform_t *platform, const char *result, int64_t min)
{
	time_us_t limit = clock_now() + WAIT_S * US_PER_S;

	pthread_mutex_lock(&platform->lock);
	while (read_count(result) < min) {
		ck_assert_int_lt(clock_now(), limit);
		cond_wait(platform, 10 * US_PER_MS);
	}
	pthread_mutex_unlock(&platform->lock);
}

/* Waits until the reader has reported count values of a list. */
static void
values_wait(platform_t *platform, list_kind_t kind, unsigned count)
{
	time_us_t limit = clock_now() + WAIT_S * US_PER_S;

	pthread_mutex_lock(&platform->lock);
	while (platform->n_values[kind] < count) {
		ck_assert_int_lt(clock_now(), limit);
		cond_wait(platform, US_PER_S);
	}
	pthread_mutex_unlock(&platform->lock);
}

static void
platform_publish(platform_t *platform, unsigned status, size_t len)
{
	pthread_mutex_lock(&platform->lock);
	platform->revision++;
	platform->status = status;
	platform->len = len;
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->lock);
}

/*
 * Guards against a watch that misses a change, reports an unchanged value again
 * or has more than one call outstanding for a list.
 */
TEST(change_is_seen_and_304_is_not_a_value)
{
	platform_t platform;
	platform_reader_t *reader;
	int64_t unchanged = read_count("unchanged");

	platform_init(&platform);
	reader = reader_start(&platform, NULL);
	for (int i = 0; i < LIST_COUNT; i++)
		values_wait(&platform, (list_kind_t)i, 1);
	reads_wait(&platform, "unchanged", unchanged + LIST_COUNT);
	platform_publish(&platform, 200, 200);
	for (int i = 0; i < LIST_COUNT; i++)
		values_wait(&platform, (list_kind_t)i, 2);
	platform_reader_destroy(reader);
	for (int i = 0; i < LIST_COUNT; i++) {
		ck_assert_uint_eq(platform.n_values[i], 2);
		ck_assert_uint_eq(platform.last_len[i], 200);
	}
	ck_assert_int_eq(platform.max_outstanding, 1);
	platform_clear(&platform);
}

/*
 * Guards against a part that is read late or never after its watcher is gone,
 * and against reading the undivided list after it was split into parts.
 */
TEST(parts_are_read_at_once_when_they_are_watched)
{
	plans_source_t sources[8];
	platform_t platform;
	platform_reader_t *reader;
	time_us_t limit;

	platform_init(&platform);
	reader = reader_start(&platform, NULL);
	values_wait(&platform, LIST_PLANS, 1);
	for (uint32_t i = 0; i < 8; i++)
		sources[i] = (plans_source_t){i, 8, false};
	platform_reader_set_sources(reader, sources, 8);
	/* Unchanged fleet and allowances show that a watch has ended since. */
	reads_wait(&platform, "unchanged", read_count("unchanged") + 4);
	for (uint32_t i = 0; i < 8; i++)
		sources[i].watch = true;
	platform_reader_set_sources(reader, sources, 8);
	limit = clock_now() + 5 * US_PER_S;
	values_wait(&platform, LIST_PLANS, 9);
	ck_assert_int_lt(clock_now(), limit);
	platform_publish(&platform, 200, 200);
	values_wait(&platform, LIST_PLANS, 17);
	platform_reader_destroy(reader);
	ck_assert_uint_eq(platform.n_values[LIST_PLANS], 17);
	platform_clear(&platform);
}

/* Guards against a reader that stays with a failed base URL or gives up. */
TEST(reader_survives_failures)
{
	platform_t platform;
	platform_reader_t *reader;
	int64_t unreachable = read_count("unreachable");
	int64_t status = read_count("status");

	platform_init(&platform);
	/* Nothing listens on port 1. */
	reader = reader_start(&platform, "http://127.0.0.1:1");
	values_wait(&platform, LIST_PLANS, 1);
	ck_assert_int_gt(read_count("unreachable"), unreachable);
	platform_publish(&platform, 503, 100);
	reads_wait(&platform, "status", status + 10);
	platform_publish(&platform, 200, 300);
	values_wait(&platform, LIST_PLANS, 2);
	platform_reader_destroy(reader);
	ck_assert_uint_eq(platform.last_len[LIST_PLANS], 300);
	platform_clear(&platform);
}

/*
 * Guards against accepting or buffering a value above the limit, with or
 * without a Content-Length, and against refusing one at the limit.
 */
TEST(oversized_value_is_refused)
{
	platform_t platform;
	platform_reader_t *reader;
	int64_t too_large = read_count("too_large");

	platform_init(&platform);
	platform.len = PLATFORM_VALUE_LIMIT + 1;
	reader = reader_start(&platform, NULL);
	reads_wait(&platform, "too_large", too_large + LIST_COUNT);
	pthread_mutex_lock(&platform.lock);
	platform.chunked = true;
	too_large = read_count("too_large");
	pthread_mutex_unlock(&platform.lock);
	reads_wait(&platform, "too_large", too_large + (int64_t)2 * LIST_COUNT);
	ck_assert_uint_eq(platform.n_values[LIST_PLANS], 0);
	platform_publish(&platform, 200, PLATFORM_VALUE_LIMIT);
	values_wait(&platform, LIST_PLANS, 1);
	platform_reader_destroy(reader);
	ck_assert_uint_eq(platform.last_len[LIST_PLANS], PLATFORM_VALUE_LIMIT);
	platform_clear(&platform);
}

/*
 * Guards against a slow answer that delays the other lists, has no timeout or
 * delays a stop.
 */
TEST(slow_answer_delays_nothing_else)
{
	platform_t platform;
	platform_reader_t *reader;
	int64_t timeouts = read_count("timeout");
	time_us_t start;

	platform_init(&platform);
	platform.hold_plans = true;
	reader = reader_start(&platform, NULL);
	values_wait(&platform, LIST_FLEET, 1);
	values_wait(&platform, LIST_ALLOWANCES, 1);
	reads_wait(&platform, "timeout", timeouts + 1);
	start = clock_now();
	platform_reader_destroy(reader);
	ck_assert_int_lt(clock_now() - start, US_PER_S);
	ck_assert_uint_eq(platform.n_values[LIST_PLANS], 0);
	platform_clear(&platform);
}

/*
 * Guards against querying a platform that doesn't wait without a pause, and
 * against reporting the same value each time.
 */
TEST(platform_that_does_not_wait_is_not_flooded)
{
	platform_t platform;
	platform_reader_t *reader;
	int64_t unchanged = read_count("unchanged");
	time_us_t start = clock_now();

	platform_init(&platform);
	platform.ignores_after = true;
	reader = reader_start(&platform, NULL);
	reads_wait(&platform, "unchanged", unchanged + (int64_t)2 * LIST_COUNT);
	platform_reader_destroy(reader);
	/* One second between the first and the second unchanged answer. */
	ck_assert_int_ge(clock_now() - start, US_PER_S);
	for (int i = 0; i < LIST_COUNT; i++)
		ck_assert_uint_eq(platform.n_values[i], 1);
	platform_clear(&platform);
}

TEST_MAIN("platform_reader")
