#include "platform/replica.h"

#include <glib.h>
#include <string.h>

#include "core/changelog.h"
#include "test.h"

static const memory_pool_t no_answers = {.limit = 1 << 24};

typedef struct {
	unsigned replies;
	unsigned status;
	int64_t era;
	char *body;
} reader_t;

static void
on_reply(void *owner, unsigned status, int64_t era, const char *body)
{
	reader_t *reader = owner;

	reader->replies++;
	reader->status = status;
	reader->era = era;
	g_free(reader->body);
	reader->body = g_strdup(body);
}

static replica_watch_t *
request(
    replica_t *replica, const char *target, int64_t now_ms, reader_t *reader)
{
	http_head_t head = {.target = {target, strlen(target)}};
	bool known;
	replica_watch_t *watch =
	    replica_request(replica, &head, now_ms, on_reply, reader, &known);

	ck_assert(known);
	return watch;
}

/* Another writer's key; instances that read from here stopped following. */
TEST(odd_key_is_passed_on_in_valid_json)
{
	replica_t *replica = replica_create("servers/", &no_answers, NULL);
	reader_t reader = {0};

	replica_put(replica, "servers/a\"\\\n}", "QQ==", 5);
	replica_put(replica, "servers/b", "Qg==", 6);
	replica_advance(replica, 9);
	request(replica, "/kv-range?prefix=servers/", 0, &reader);
	ck_assert_ptr_nonnull(
	    strstr(reader.body, "\"key\":\"servers/a\\\"\\\\\\n}\""));
	g_free(reader.body);
	replica_destroy(replica);
}

TEST(replica_answers_like_the_store)
{
	replica_t *replica = replica_create("servers/", &no_answers, NULL);
	reader_t reader = {0};
	replica_watch_t *watch;

	replica_put(replica, "servers/a", "QQ==", 5);
	replica_put(replica, "servers/b", "Qg==", 7);
	replica_advance(replica, 9);
	request(replica, "/kv-range?prefix=servers/", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"value\":\"QQ==\""));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"store_revision\":9"));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"truncated\":false"));
	watch = request(replica,
	    "/kv-watch?prefix=servers/&after=9&wait_ms=500", 0, &reader);
	ck_assert_ptr_nonnull(watch);
	replica_put(replica, "servers/a", NULL, 12);
	ck_assert_uint_eq(reader.replies, 1);
	replica_advance(replica, 12);
	ck_assert_uint_eq(reader.replies, 2);
	ck_assert_str_eq(reader.body,
	    "{\"events\":[{\"key\":\"servers/a\",\"revision\":12,"
	    "\"tombstone\":true}],\"store_revision\":12}");
	g_free(reader.body);
	replica_destroy(replica);
}

/*
 * Guards against sending a whole configuration to each reader for a small
 * change. Instances of versions before don't ask for less, and get the value.
 */
TEST(large_value_is_sent_relative_to_what_the_reader_has)
{
	packing_t *packing = packing_create(1 << 20);
	replica_t *replica = replica_create("op/", &no_answers, packing);
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GBytes) base = NULL;
	g_autofree char *value = NULL;
	g_autofree char *target = NULL;
	char digest[PACKING_DIGEST_BYTES];
	reader_t reader = {0};

	for (int i = 0; i < 20000; i++)
		g_string_append_printf(text, "%d,", i * i);
	base = g_bytes_new(text->str, text->len);
	packing_put(packing, base);
	packing_digest(base, digest);
	memcpy(&text->str[text->len / 2], "moved", 5);
	value = g_base64_encode((guchar *)text->str, text->len);
	replica_advance(replica, 3);
	replica_put(replica, "op/config", value, 5);
	replica_put(replica, "op/evacuate/a-1", "e30=", 6);
	replica_advance(replica, 6);
	target = g_strdup_printf(
	    "/kv-watch?prefix=op/&after=3&wait_ms=0&packed=1&base=%s", digest);
	request(replica, target, 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"packed\":\""));
	ck_assert_ptr_nonnull(strstr(reader.body, digest));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"value\":\"e30=\""));
	ck_assert_uint_lt(strlen(reader.body), 1000);
	request(replica, "/kv-range?prefix=op/&packed=1", 0, &reader);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"packed\":\""));
	ck_assert_ptr_null(strstr(reader.body, "\"base\""));
	request(replica, "/kv-watch?prefix=op/&after=3&wait_ms=0", 0, &reader);
	ck_assert_ptr_nonnull(strstr(reader.body, value));
	ck_assert_ptr_null(strstr(reader.body, "\"packed\""));
	g_free(reader.body);
	replica_destroy(replica);
	packing_destroy(packing);
}

TEST(watch_times_out_or_is_cancelled)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};
	reader_t cancelled = {0};
	replica_watch_t *watch;

	replica_advance(replica, 3);
	request(
	    replica, "/kv-watch?prefix=op/&after=3&wait_ms=500", 100, &reader);
	watch = request(replica, "/kv-watch?prefix=op/&after=3&wait_ms=500",
	    100, &cancelled);
	replica_cancel_watch(watch);
	replica_expire_watches(replica, 599);
	ck_assert_uint_eq(reader.replies, 0);
	replica_expire_watches(replica, 600);
	ck_assert_uint_eq(reader.replies, 1);
	ck_assert_str_eq(reader.body, "{\"events\":[],\"store_revision\":3}");
	ck_assert_uint_eq(cancelled.replies, 0);
	g_free(reader.body);
	replica_destroy(replica);
}

/* Guards against a reader that receives stale data as if from the store. */
TEST(stale_replica_answers_503)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};

	request(replica, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_uint_eq(reader.status, 503);
	replica_advance(replica, 3);
	request(
	    replica, "/kv-watch?prefix=op/&after=3&wait_ms=500", 0, &reader);
	replica_suspend(replica);
	ck_assert_uint_eq(reader.replies, 2);
	ck_assert_uint_eq(reader.status, 503);
	/* The replica doesn't have the changes since revision 2. */
	replica_advance(replica, 4);
	request(
	    replica, "/kv-watch?prefix=op/&after=2&wait_ms=500", 0, &reader);
	ck_assert_uint_eq(reader.status, 410);
	g_free(reader.body);
	replica_destroy(replica);
}

TEST(log_is_bounded_and_older_revisions_get_410)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};
	char key[32];

	replica_advance(replica, 1);
	for (int i = 2; i < CHANGELOG_HISTORY_LIMIT + 20; i++) {
		g_snprintf(key, sizeof(key), "op/evacuate/%d", i);
		replica_put(replica, key, NULL, i);
	}
	replica_advance(replica, CHANGELOG_HISTORY_LIMIT + 20);
	request(replica, "/kv-watch?prefix=op/&after=3&wait_ms=0", 0, &reader);
	ck_assert_uint_eq(reader.status, 410);
	request(replica, "/kv-watch?prefix=op/&after=40&wait_ms=0", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	g_free(reader.body);
	replica_destroy(replica);
}

/*
 * Guards against an answer with each of many large versions: it exceeded what a
 * reader takes, and the memory of a relay with many readers.
 */
TEST(reader_that_is_behind_gets_the_newest_of_large_values)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};
	g_autofree char *value = g_strnfill(1 << 20, 'x');

	replica_advance(replica, 1);
	for (int i = 2; i <= 40; i++)
		replica_put(replica, "op/config", value, i);
	replica_advance(replica, 40);
	ck_assert_uint_lt(replica_bytes(replica), 2 << 20);
	request(replica, "/kv-watch?prefix=op/&after=3&wait_ms=0", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	ck_assert_uint_lt(strlen(reader.body), 2 << 20);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"revision\":40,"));
	ck_assert_ptr_null(strstr(reader.body, "\"revision\":39,"));
	g_free(reader.body);
	replica_destroy(replica);
}

/* Guards against an answer that is larger than its reader takes. */
TEST(large_answers_come_in_parts)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};
	g_autofree char *value = g_strnfill(700 << 10, 'x');

	replica_put(replica, "op/c d", value, 5);
	replica_put(replica, "op/a", value, 6);
	replica_put(replica, "op/b", value, 7);
	replica_advance(replica, 8);
	request(replica, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"truncated\":true"));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"op/b\""));
	ck_assert_ptr_null(strstr(reader.body, "\"op/c d\""));
	request(replica, "/kv-range?prefix=op/&after=op/b", 0, &reader);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"truncated\":false"));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"op/c d\""));
	request(replica, "/kv-range?prefix=op/&after=op/c%20d", 0, &reader);
	ck_assert_str_eq(reader.body,
	    "{\"items\":[],\"truncated\":false,\"store_revision\":8}");
	replica_put(replica, "op/c d", value, 9);
	replica_put(replica, "op/a", value, 10);
	replica_put(replica, "op/b", value, 11);
	replica_advance(replica, 12);
	request(replica, "/kv-watch?prefix=op/&after=8&wait_ms=0", 0, &reader);
	ck_assert(g_str_has_suffix(reader.body, ",\"store_revision\":10}"));
	request(replica, "/kv-watch?prefix=op/&after=10&wait_ms=0", 0, &reader);
	ck_assert(g_str_has_suffix(reader.body, ",\"store_revision\":12}"));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"revision\":11,"));
	g_free(reader.body);
	replica_destroy(replica);
}

/*
 * Guards against a relay whose memory is taken by the answers to readers with
 * slow links, each of the size of a configuration.
 */
TEST(answers_wait_for_room)
{
	memory_pool_t answers = {.limit = 2 * REPLICA_ANSWER_BYTES};
	replica_t *replica = replica_create("op/", &answers, NULL);
	reader_t reader = {0};

	replica_advance(replica, 3);
	request(
	    replica, "/kv-watch?prefix=op/&after=3&wait_ms=500", 0, &reader);
	answers.claimed = REPLICA_ANSWER_BYTES + 1;
	replica_put(replica, "op/config", "QQ==", 4);
	replica_advance(replica, 4);
	replica_expire_watches(replica, 499);
	ck_assert_uint_eq(reader.replies, 0);
	answers.claimed = REPLICA_ANSWER_BYTES;
	replica_expire_watches(replica, 499);
	ck_assert_uint_eq(reader.replies, 1);
	ck_assert_uint_eq(reader.status, 200);
	/* A reader that can't be served in its time goes elsewhere. */
	answers.claimed = 2 * REPLICA_ANSWER_BYTES;
	request(
	    replica, "/kv-watch?prefix=op/&after=3&wait_ms=500", 0, &reader);
	ck_assert_uint_eq(reader.replies, 1);
	replica_expire_watches(replica, 500);
	ck_assert_uint_eq(reader.replies, 2);
	ck_assert_uint_eq(reader.status, 503);
	request(replica, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_uint_eq(reader.replies, 3);
	ck_assert_uint_eq(reader.status, 503);
	/* One answer is made with any limit. */
	answers = (memory_pool_t){0};
	request(replica, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	g_free(reader.body);
	replica_destroy(replica);
}

TEST(requests_for_other_paths_are_not_served)
{
	static const char *const targets[] = {"/read/ok", "/kv-range",
	    "/kv-range?prefix=other/", "/kv-range?x=1"};
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		http_head_t head = {.target = {targets[i], strlen(targets[i])}};
		bool known = true;

		ck_assert_ptr_null(replica_request(
		    replica, &head, 0, on_reply, &reader, &known));
		ck_assert(!known);
	}
	ck_assert_uint_eq(reader.replies, 0);
	replica_destroy(replica);
}

/*
 * Guards against a log of two eras: the removal of a key from before a restore,
 * with a higher revision, ended the key that was written after it.
 */
TEST(no_change_of_an_older_era_is_answered)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t waiting = {0};
	reader_t reader = {0};

	replica_begin_era(replica, 1);
	replica_put(replica, "op/evacuate/a", "QQ==", 15);
	replica_put(replica, "op/evacuate/a", NULL, 20);
	replica_advance(replica, 20);
	request(replica, "/kv-watch?prefix=op/&after=20&era=1&wait_ms=500", 0,
	    &waiting);
	replica_begin_era(replica, 2);
	request(replica, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_uint_eq(reader.status, 503);
	ck_assert_int_eq(reader.era, 2);
	ck_assert_uint_eq(waiting.replies, 0);
	replica_put(replica, "op/evacuate/a", "Qg==", 11);
	replica_advance(replica, 12);
	ck_assert_uint_eq(waiting.status, 410);
	ck_assert_int_eq(waiting.era, 2);
	request(replica, "/kv-watch?prefix=op/&after=10&era=2&wait_ms=0", 0,
	    &reader);
	ck_assert_uint_eq(reader.status, 410);
	request(replica, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"revision\":11"));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"store_revision\":12"));
	/* A reader that is an era behind is told so at once. */
	request(replica, "/kv-watch?prefix=op/&after=20&era=1&wait_ms=500", 0,
	    &reader);
	ck_assert_uint_eq(reader.status, 410);
	g_free(reader.body);
	g_free(waiting.body);
	replica_destroy(replica);
}

/* A relay that loses the store while it reads the new era tells its readers. */
TEST(watch_of_an_older_era_is_refused_when_the_replica_is_suspended)
{
	replica_t *replica = replica_create("op/", &no_answers, NULL);
	reader_t reader = {0};

	replica_begin_era(replica, 1);
	replica_advance(replica, 20);
	request(replica, "/kv-watch?prefix=op/&after=20&era=1&wait_ms=500", 0,
	    &reader);
	replica_begin_era(replica, 2);
	replica_suspend(replica);
	ck_assert_uint_eq(reader.replies, 1);
	ck_assert_uint_eq(reader.status, 503);
	g_free(reader.body);
	replica_destroy(replica);
}

TEST_MAIN("replica")
