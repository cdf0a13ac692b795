#include <string.h>

#include "common/error.h"
#include "generated/peer.h"
#include "peer/messages.h"
#include "peer_samples.h"
#include "test.h"

/* Guards against a field that is lost or exchanged on the wire, and against a
 * heartbeat that doesn't fit the call limit. */
TEST(heartbeat_survives_the_wire)
{
	const heartbeat_t in = heartbeat_sample();
	heartbeat_t out;
	g_autoptr(GBytes) bytes = heartbeat_encode(&in, NULL);
	size_t len;
	const void *data = g_bytes_get_data(bytes, &len);

	ck_assert_uint_le(len, PEER_CALL_BYTES);
	ck_assert(heartbeat_decode(data, len, &out, NULL));
	ck_assert(heartbeat_equal(&in, &out));
}

/* Guards against a decoder that reads past a cut message or accepts one that
 * carries more than itself. */
TEST(cut_and_padded_messages_are_refused)
{
	const heartbeat_t in = heartbeat_sample();
	heartbeat_t out = {.incarnation = 99};
	g_autoptr(GBytes) bytes = heartbeat_encode(&in, NULL);
	size_t len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	uint8_t *copy = g_malloc0(len + 4);

	memcpy(copy, data, len);
	for (size_t cut = 0; cut < len; cut += 4) {
		g_autoptr(GError) error = NULL;
		/* An own block lets the sanitizer see a read past the end. */
		uint8_t *part = g_memdup2(data, cut);

		ck_assert(!heartbeat_decode(part, cut, &out, &error));
		ck_assert(g_error_matches(error, CS_ERROR, CS_ERROR_SYNTAX));
		g_free(part);
	}
	ck_assert(!heartbeat_decode(copy, len + 4, &out, NULL));
	ck_assert_uint_eq(out.incarnation, 99);
	g_free(copy);
}

/* Guards against values that the core relies on being impossible. */
TEST(invalid_heartbeats_are_refused)
{
	heartbeat_t bad[7];

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		bad[i] = heartbeat_sample();
	bad[0].incarnation = 0;
	bad[1].n_former = HEARTBEAT_FORMER_LIMIT + 1;
	bad[2].acked[LIST_FLEET] = bad[2].adopted[LIST_FLEET].version + 1;
	bad[3].sender[0] = '\0';
	memcpy(bad[4].zone, "a b", 4);
	memcpy(bad[5].former[31].name, "\xc3\xa1", 3);
	memcpy(bad[6].load[0].service, "-w", 3);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autoptr(GError) error = NULL;

		ck_assert_msg(heartbeat_encode(&bad[i], &error) == NULL,
		    "heartbeat %zu was accepted", i);
		ck_assert(g_error_matches(error, CS_ERROR, CS_ERROR_INVALID));
	}
}

/* Guards against a hostile peer that encodes what our encoder refuses. */
TEST(invalid_loans_are_refused_on_decode)
{
	borrow_request_t request = {"parish-nitra", SHARE_ONE / 8, 500, 42};
	borrow_request_t out;
	borrow_reply_t reply;
	GBytes *bytes = borrow_request_encode(&request, NULL);
	uint8_t data[128];
	size_t len = g_bytes_get_size(bytes);

	memcpy(data, g_bytes_get_data(bytes, NULL), len);
	g_bytes_unref(bytes);
	ck_assert(borrow_request_decode(data, len, &out, NULL));
	ck_assert_str_eq(out.team, request.team);
	ck_assert_uint_eq(out.share, request.share);
	ck_assert_int_eq(out.tokens, 500);
	ck_assert_uint_eq(out.request_id, 42);
	data[4] = '/'; /* first byte of the name */
	ck_assert(!borrow_request_decode(data, len, &out, NULL));
	data[4] = 'p';
	data[16] = 0x41; /* share: 2^30 + 2^24 */
	ck_assert(!borrow_request_decode(data, len, &out, NULL));
	data[16] = 0;
	data[20] = 0x80; /* tokens: negative */
	ck_assert(!borrow_request_decode(data, len, &out, NULL));
	memset(data, 0xff, 20);
	ck_assert(!borrow_reply_decode(data, 20, &reply, NULL));
}

TEST(return_survives_the_wire)
{
	const return_t in = {"t", 5, SHARE_ONE};
	return_t out;
	g_autoptr(GBytes) bytes = return_encode(&in, NULL);

	ck_assert(return_decode(g_bytes_get_data(bytes, NULL),
	    g_bytes_get_size(bytes), &out, NULL));
	ck_assert_str_eq(out.team, "t");
	ck_assert_uint_eq(out.loan_id, 5);
	ck_assert_uint_eq(out.share, SHARE_ONE);
}

/* Guards against a list kind that indexes past a table, a text that ends early
 * at a NUL byte, and a limit below what the platform may hold. */
TEST(list_text_is_bounded)
{
	fetch_reply_t in = {
	    .kind = LIST_FLEET, .version = 3, .len = PEER_LIST_TEXT_LIMIT};
	fetch_reply_t out;
	fetch_t fetch = {.kind = LIST_COUNT, .min_version = 1};
	const uint8_t kind_2[32] = {0, 0, 0, 2};
	const uint8_t kind_3[32] = {0, 0, 0, 3};
	GBytes *bytes;

	ck_assert_ptr_null(fetch_encode(&fetch, NULL));
	ck_assert(fetch_decode(kind_2, sizeof(kind_2), &fetch, NULL));
	ck_assert(!fetch_decode(kind_3, sizeof(kind_3), &fetch, NULL));
	in.text = g_strnfill(PEER_LIST_TEXT_LIMIT + 1, 'x');
	bytes = fetch_reply_encode(&in, NULL);
	ck_assert_uint_le(g_bytes_get_size(bytes), PEER_REPLY_BYTES);
	ck_assert(fetch_reply_decode(g_bytes_get_data(bytes, NULL),
	    g_bytes_get_size(bytes), &out, NULL));
	ck_assert_uint_eq(out.len, PEER_LIST_TEXT_LIMIT);
	ck_assert_uint_eq(strlen(out.text), out.len);
	fetch_reply_clear(&out);
	g_bytes_unref(bytes);
	in.len++;
	ck_assert_ptr_null(fetch_reply_encode(&in, NULL));
	in.len = 4;
	in.text[2] = '\0';
	ck_assert_ptr_null(fetch_reply_encode(&in, NULL));
	in.len = 0;
	ck_assert_ptr_null(fetch_reply_encode(&in, NULL));
	in.len = 1;
	in.part = in.parts = 4;
	ck_assert_ptr_null(fetch_reply_encode(&in, NULL));
	g_free(in.text);
}

/* Guards against parts that get lost on the way, and a call too long to send.
 */
TEST(held_parts_arrive_whole)
{
	fetch_t *in = g_new0(fetch_t, 1);
	fetch_t *out = g_new0(fetch_t, 1);
	GBytes *bytes;

	in->held.current = 1;
	in->held.in_force = UINT64_MAX;
	for (uint32_t i = 0; i < PLANS_SETS; i++) {
		in->held.sets[i].n = PLANS_PART_LIMIT;
		for (uint32_t k = 0; k < PLANS_PART_LIMIT; k++)
			in->held.sets[i].versions[k] = UINT64_MAX - k - i;
	}
	in->held.n_skip = PLANS_SKIP_LIMIT;
	for (uint32_t i = 0; i < PLANS_SKIP_LIMIT; i++)
		in->held.skip[i] = (plans_skip_t){i, 256, i + 7};
	bytes = fetch_encode(in, NULL);
	ck_assert_uint_le(g_bytes_get_size(bytes), PEER_CALL_BYTES);
	ck_assert(fetch_decode(
	    g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes), out, NULL));
	ck_assert_mem_eq(in, out, sizeof(*in));
	g_bytes_unref(bytes);
	g_free(in);
	g_free(out);
}

TEST_MAIN("messages")
