#include <check.h>
#include <string.h>

#include "common/packing.h"
#include "test.h"

#define ROUTES 2800

/* A large configuration; the route at this place has another service. */
static GBytes *
document(int version, int moved)
{
	GString *text = g_string_new(NULL);
	guint32 random = 1;

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	for (int i = 0; i < ROUTES; i++) {
		random = random * 1664525 + 1013904223;
		g_string_append_printf(text,
		    "{\"name\":\"r-%08x\",\"host\":\"h\",\"prefix\":\"/%08x/\","
		    "\"route_type\":\"safe\",\"timeout_ms\":4000,"
		    "\"service\":\"%s\",\"max_attempts\":2},",
		    random, random * 7, i == moved ? "desk" : "pen");
	}
	return g_string_free_to_bytes(text);
}

static GBytes *
unpack(GBytes *frame, GBytes *base, size_t limit)
{
	gsize len;
	const void *data = g_bytes_get_data(frame, &len);
	g_autoptr(GError) error = NULL;
	GBytes *result = packing_unpack(data, len, base, limit, &error);

	ck_assert((result == NULL) == (error != NULL));
	return result;
}

/* Guards against sending all routes again when one of them moves. */
TEST(frame_of_a_small_change_is_small)
{
	g_autoptr(GBytes) before = document(8, -1);
	g_autoptr(GBytes) after = document(9, ROUTES / 2);
	g_autoptr(GBytes) frame = packing_pack(after, before);
	g_autoptr(GBytes) result = unpack(frame, before, 1 << 20);

	ck_assert_uint_lt(
	    g_bytes_get_size(frame), g_bytes_get_size(after) / 500);
	ck_assert(g_bytes_equal(result, after));
}

TEST(frame_without_a_base_is_smaller_than_the_document)
{
	g_autoptr(GBytes) before = document(8, -1);
	g_autoptr(GBytes) frame = packing_pack(before, NULL);
	g_autoptr(GBytes) result = unpack(frame, NULL, 1 << 20);

	ck_assert_uint_lt(
	    g_bytes_get_size(frame), g_bytes_get_size(before) / 5);
	ck_assert(g_bytes_equal(result, before));
}

/* A configuration that was put together wrongly must not come into force. */
TEST(damage_and_another_base_are_found)
{
	g_autoptr(GBytes) before = document(8, -1);
	g_autoptr(GBytes) other = document(7, 3);
	g_autoptr(GBytes) after = document(9, ROUTES / 2);
	g_autoptr(GBytes) frame = packing_pack(after, before);
	gsize len;
	const guint8 *data = g_bytes_get_data(frame, &len);
	g_autofree guint8 *damaged = g_memdup2(data, len);

	ck_assert_ptr_null(unpack(frame, other, 1 << 20));
	ck_assert_ptr_null(unpack(frame, NULL, 1 << 20));
	ck_assert_ptr_null(unpack(frame, before, 1 << 16));
	for (gsize i = 0; i < len; i++) {
		GBytes *result;

		damaged[i] ^= 0x10;
		result = packing_unpack(damaged, len, before, 1 << 20, NULL);
		ck_assert(result == NULL || g_bytes_equal(result, after));
		if (result != NULL)
			g_bytes_unref(result);
		damaged[i] ^= 0x10;
		ck_assert_ptr_null(
		    packing_unpack(damaged, i, before, 1 << 20, NULL));
	}
}

TEST(frames_refer_to_documents_that_are_held)
{
	GBytes *documents[4];
	g_autoptr(GBytes) relative_frame = NULL;
	g_autoptr(GBytes) whole_frame = NULL;
	packing_t *packing;
	char digest[PACKING_DIGEST_BYTES];
	bool relative;

	for (int i = 0; i < 4; i++)
		documents[i] = document(i + 1, i);
	/* Room for two bases. */
	packing = packing_create(g_bytes_get_size(documents[0]) * 5 / 2);
	for (int i = 0; i < 4; i++)
		packing_put(packing, documents[i]);
	ck_assert_ptr_eq(packing_newest(packing), documents[3]);
	packing_digest(documents[1], digest);
	relative_frame =
	    packing_frame(packing, documents[3], digest, &relative);
	ck_assert(relative);
	packing_digest(documents[0], digest);
	whole_frame = packing_frame(packing, documents[3], digest, &relative);
	ck_assert(!relative);
	ck_assert_uint_lt(g_bytes_get_size(relative_frame),
	    g_bytes_get_size(whole_frame) / 10);
	ck_assert_uint_lt(
	    packing_bytes(packing), 4 * g_bytes_get_size(documents[0]));
	packing_destroy(packing);
	for (int i = 0; i < 4; i++)
		g_bytes_unref(documents[i]);
}

TEST_MAIN("packing")
