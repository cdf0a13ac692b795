#include "platform/mirror.h"

#include <glib.h>
#include <string.h>

#include "test.h"

typedef struct {
	unsigned replies;
	unsigned status;
	char *body;
} reader_t;

static void
on_reply(void *owner, unsigned status, const char *body)
{
	reader_t *reader = owner;

	reader->replies++;
	reader->status = status;
	g_free(reader->body);
	reader->body = g_strdup(body);
}

static mirror_watch_t *
call(mirror_t *mirror, const char *target, int64_t now_ms, reader_t *reader)
{
	http_head_t head = {.target = {target, strlen(target)}};
	bool known;
	mirror_watch_t *watch =
	    mirror_call(mirror, &head, now_ms, on_reply, reader, &known);

	ck_assert(known);
	return watch;
}

TEST(copy_answers_like_the_store)
{
	mirror_t *mirror = mirror_create("servers/");
	reader_t reader = {0};
	mirror_watch_t *watch;

	mirror_put(mirror, "servers/a", "QQ==", 5);
	mirror_put(mirror, "servers/b", "Qg==", 7);
	mirror_advance(mirror, 9);
	call(mirror, "/kv-range?prefix=servers/", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	ck_assert_ptr_nonnull(strstr(reader.body, "\"value\":\"QQ==\""));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"store_revision\":9"));
	ck_assert_ptr_nonnull(strstr(reader.body, "\"truncated\":false"));
	watch = call(mirror, "/kv-watch?prefix=servers/&after=9&wait_ms=500", 0,
	    &reader);
	ck_assert_ptr_nonnull(watch);
	mirror_put(mirror, "servers/a", NULL, 12);
	ck_assert_uint_eq(reader.replies, 1);
	mirror_advance(mirror, 12);
	ck_assert_uint_eq(reader.replies, 2);
	ck_assert_str_eq(reader.body,
	    "{\"events\":[{\"key\":\"servers/a\",\"revision\":12,"
	    "\"tombstone\":true}],\"store_revision\":12}");
	g_free(reader.body);
	mirror_destroy(mirror);
}

TEST(watch_ends_without_news_and_when_nobody_waits)
{
	mirror_t *mirror = mirror_create("op/");
	reader_t reader = {0};
	reader_t gone = {0};
	mirror_watch_t *watch;

	mirror_advance(mirror, 3);
	call(mirror, "/kv-watch?prefix=op/&after=3&wait_ms=500", 100, &reader);
	watch = call(
	    mirror, "/kv-watch?prefix=op/&after=3&wait_ms=500", 100, &gone);
	mirror_cancel(watch);
	mirror_expire(mirror, 599);
	ck_assert_uint_eq(reader.replies, 0);
	mirror_expire(mirror, 600);
	ck_assert_uint_eq(reader.replies, 1);
	ck_assert_str_eq(reader.body, "{\"events\":[],\"store_revision\":3}");
	ck_assert_uint_eq(gone.replies, 0);
	g_free(reader.body);
	mirror_destroy(mirror);
}

/* Guards against a reader that receives stale data as if from the store. */
TEST(copy_that_may_be_old_is_refused)
{
	mirror_t *mirror = mirror_create("op/");
	reader_t reader = {0};

	call(mirror, "/kv-range?prefix=op/", 0, &reader);
	ck_assert_uint_eq(reader.status, 503);
	mirror_advance(mirror, 3);
	call(mirror, "/kv-watch?prefix=op/&after=3&wait_ms=500", 0, &reader);
	mirror_suspend(mirror);
	ck_assert_uint_eq(reader.replies, 2);
	ck_assert_uint_eq(reader.status, 503);
	/* The replica doesn't have the changes since revision 2. */
	mirror_advance(mirror, 4);
	call(mirror, "/kv-watch?prefix=op/&after=2&wait_ms=500", 0, &reader);
	ck_assert_uint_eq(reader.status, 410);
	g_free(reader.body);
	mirror_destroy(mirror);
}

TEST(history_is_bounded_and_its_end_is_told)
{
	mirror_t *mirror = mirror_create("op/");
	reader_t reader = {0};

	mirror_advance(mirror, 1);
	for (int64_t i = 2; i < MIRROR_LOG_LIMIT + 20; i++)
		mirror_put(mirror, "op/config", "QQ==", i);
	mirror_advance(mirror, MIRROR_LOG_LIMIT + 20);
	call(mirror, "/kv-watch?prefix=op/&after=3&wait_ms=0", 0, &reader);
	ck_assert_uint_eq(reader.status, 410);
	call(mirror, "/kv-watch?prefix=op/&after=40&wait_ms=0", 0, &reader);
	ck_assert_uint_eq(reader.status, 200);
	g_free(reader.body);
	mirror_destroy(mirror);
}

TEST(other_calls_are_not_the_mirrors)
{
	static const char *const targets[] = {"/read/ok", "/kv-range",
	    "/kv-range?prefix=other/", "/kv-range?x=1"};
	mirror_t *mirror = mirror_create("op/");
	reader_t reader = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		http_head_t head = {.target = {targets[i], strlen(targets[i])}};
		bool known = true;

		ck_assert_ptr_null(
		    mirror_call(mirror, &head, 0, on_reply, &reader, &known));
		ck_assert(!known);
	}
	ck_assert_uint_eq(reader.replies, 0);
	mirror_destroy(mirror);
}

TEST_MAIN("mirror")
