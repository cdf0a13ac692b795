#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "exchange.h"
#include "generated/peer.h"
#include "peer/envelope.h"
#include "peer/messages.h"
#include "peer_samples.h"

/*
 * libFuzzer target for the message decoders and the envelope. The first byte of
 * an input chooses the decoder. Guards against reads out of bounds, leaks, and
 * values that pass the decoder but not the encoder.
 */

enum {
	KIND_HEARTBEAT,
	KIND_BORROW,
	KIND_BORROW_REPLY,
	KIND_RETURN,
	KIND_FETCH,
	KIND_FETCH_REPLY,
	KIND_RECORD,	    /* a call record as it comes from a stranger */
	KIND_SEALED_RECORD, /* the body of an authentic call */
	KIND_REPLY,	    /* a reply record as it comes from a stranger */
	KIND_COUNT
};

static dispatch_t dispatch;
static GPtrArray *seed_files;
static char *seed_folder;

static void
on_heartbeat(const heartbeat_t *in, heartbeat_t *reply, void *user)
{
	*reply = *in;
}

static void
on_fetch(const peer_sender_t *from, const fetch_t *in, fetch_reply_t *reply,
    void *user)
{
	reply->version = 1;
	reply->len = 1;
	reply->text = g_strdup("x");
}

static void
on_borrow(const peer_sender_t *from, const borrow_request_t *in,
    borrow_reply_t *reply, void *user)
{
	*reply = (borrow_reply_t){in->share, in->tokens, in->request_id};
}

static void
on_return(const peer_sender_t *from, const return_t *in, void *user)
{
	if (in->share > SHARE_ONE)
		abort();
}

/* Encodes a call for the dispatcher, with a right MAC. Returns its length. */
static size_t
record_make(char *record, uint32_t procedure, uint64_t sequence,
    uint64_t session, const uint8_t *body, size_t len)
{
	return record_encode(record, &dispatch.keys, procedure,
	    (peer_call){.sender = (char *)"s9",
		.incarnation = 5,
		.sequence = sequence,
		.session = session,
		.body = {(u_int)len, (char *)body}});
}

static void
record_run(const uint8_t *data, size_t len)
{
	dispatch_result_t result = dispatch_record(&dispatch, data, len);

	if (result.reply != NULL)
		g_byte_array_unref(result.reply);
}

/* Opens a session with the guard directly, then runs the body. */
static void
sealed_run(const uint8_t *data, size_t len)
{
	static uint64_t sequence;
	peer_call call = {.sender = (char *)"s9", .incarnation = 5};
	uint64_t session;
	char record[DISPATCH_RECORD_BYTES];

	if (len == 0 || len > PEER_CALL_BYTES)
		return;
	replay_guard_check(dispatch.guard, &call, &session);
	len = record_make(
	    record, 1 + data[0] % 4, ++sequence, session, data + 1, len - 1);
	record_run((const uint8_t *)record, len);
}

static void
reply_run(const uint8_t *data, size_t len)
{
	const exchange_t exchange = {
	    .kind = PEER_CALL_RETURN, .xid = 1, .call = {.sequence = 1}};
	exchange_reply_t reply;

	if (!exchange_is_other(&exchange, data, len) &&
	    exchange_open(&exchange, &dispatch.keys, "", data, len, &reply,
		NULL) == EXCHANGE_DONE)
		g_bytes_unref(reply.body);
}

/* What was decoded must encode, and decode again to what encodes the same.
 * Bytes are compared, because the structs have padding. */
#define ROUND_TRIP(type, decode, encode)                          \
	do {                                                      \
		type value_;                                      \
		GBytes *first_, *second_;                         \
		if (!decode(data, len, &value_, NULL))            \
			return;                                   \
		first_ = encode(&value_, NULL);                   \
		if (first_ == NULL ||                             \
		    !decode(g_bytes_get_data(first_, NULL),       \
			g_bytes_get_size(first_), &value_, NULL)) \
			abort();                                  \
		second_ = encode(&value_, NULL);                  \
		if (!g_bytes_equal(first_, second_))              \
			abort();                                  \
		g_bytes_unref(first_);                            \
		g_bytes_unref(second_);                           \
	} while (0)

static void
fetch_reply_run(const uint8_t *data, size_t len)
{
	fetch_reply_t reply;

	if (fetch_reply_decode(data, len, &reply, NULL) &&
	    strlen(reply.text) != reply.len)
		abort();
	fetch_reply_clear(&reply);
}

static void
input_run(uint8_t kind, const uint8_t *data, size_t len)
{
	switch (kind % KIND_COUNT) {
	case KIND_HEARTBEAT:
		ROUND_TRIP(heartbeat_t, heartbeat_decode, heartbeat_encode);
		break;
	case KIND_BORROW:
		ROUND_TRIP(borrow_request_t, borrow_request_decode,
		    borrow_request_encode);
		break;
	case KIND_BORROW_REPLY:
		ROUND_TRIP(
		    borrow_reply_t, borrow_reply_decode, borrow_reply_encode);
		break;
	case KIND_RETURN:
		ROUND_TRIP(return_t, return_decode, return_encode);
		break;
	case KIND_FETCH:
		ROUND_TRIP(fetch_t, fetch_decode, fetch_encode);
		break;
	case KIND_FETCH_REPLY:
		fetch_reply_run(data, len);
		break;
	case KIND_RECORD:
		record_run(data, len);
		break;
	case KIND_REPLY:
		reply_run(data, len);
		break;
	default:
		sealed_run(data, len);
	}
}

static void
seed_write(uint8_t kind, const void *data, size_t len)
{
	GString *text = g_string_new(NULL);
	char *path =
	    g_strdup_printf("%s/seed-%u", seed_folder, seed_files->len);

	g_string_append_c(text, (char)kind);
	g_string_append_len(text, data, (gssize)len);
	if (!g_file_set_contents(path, text->str, (gssize)text->len, NULL))
		abort();
	g_string_free(text, TRUE);
	g_ptr_array_add(seed_files, path);
}

static void
seed_take(uint8_t kind, GBytes *bytes)
{
	seed_write(
	    kind, g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
	g_bytes_unref(bytes);
}

/* Encodes a reply record with fixed values, so that runs are alike. */
static size_t
reply_make(char *record, size_t size)
{
	peer_reply reply = {
	    .sender = (char *)"s1", .incarnation = 4, .sequence = 1};
	struct rpc_msg msg = {.rm_xid = 1, .rm_direction = REPLY};
	XDR xdr;

	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_results.where = (char *)&reply;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_peer_reply;
	xdrmem_create(&xdr, record, (u_int)size, XDR_ENCODE);
	if (!xdr_replymsg(&xdr, &msg))
		abort();
	return xdr_getpos(&xdr);
}

static void
seeds_write(void)
{
	const heartbeat_t beat = heartbeat_sample();
	const heartbeat_t empty = {
	    .sender = "s9", .zone = "z", .incarnation = 5};
	const borrow_request_t borrow = {"t", 1, 2, 3};
	const borrow_reply_t lent = {1, 2, 3};
	const return_t given_back = {"t", 3, 1};
	const fetch_t fetch = {.kind = LIST_PLANS,
	    .held = {.in_force = 7,
		.current = 1,
		.sets = {{2, {3, 4}}, {3, {5, 0, 6}}},
		.skip = {{1, 3, 9}},
		.n_skip = 1}};
	const fetch_reply_t text = {
	    LIST_PLANS, 1, (char *)"version: 1", 10, 0, 1};
	const uint8_t borrow_body[] = "\x02\0\0\0\1t\0\0";
	char record[DISPATCH_RECORD_BYTES];
	size_t len = record_make(record, PEER_RETURN, 1, 0, borrow_body, 8);

	seed_take(KIND_HEARTBEAT, heartbeat_encode(&beat, NULL));
	seed_take(KIND_HEARTBEAT, heartbeat_encode(&empty, NULL));
	seed_take(KIND_BORROW, borrow_request_encode(&borrow, NULL));
	seed_take(KIND_BORROW_REPLY, borrow_reply_encode(&lent, NULL));
	seed_take(KIND_RETURN, return_encode(&given_back, NULL));
	seed_take(KIND_FETCH, fetch_encode(&fetch, NULL));
	seed_take(KIND_FETCH_REPLY, fetch_reply_encode(&text, NULL));
	seed_write(KIND_RECORD, record, len);
	seed_write(KIND_SEALED_RECORD, borrow_body, 8);
	seed_write(KIND_REPLY, record, reply_make(record, sizeof(record)));
}

static void
seeds_remove(void)
{
	for (guint i = 0; i < seed_files->len; i++)
		g_remove(g_ptr_array_index(seed_files, i));
	g_rmdir(seed_folder);
	g_ptr_array_unref(seed_files);
	g_free(seed_folder);
	replay_guard_destroy(dispatch.guard);
}

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Adds the seeds as -seed_inputs, so that no run changes the next one. */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	static char *list;
	char **args = calloc((size_t)*argc + 2, sizeof(*args));

	if (args == NULL)
		abort();
	dispatch.keys = keys_make("the fleet secret of the fuzzer", NULL);
	g_strlcpy(dispatch.self.name, "s1", sizeof(dispatch.self.name));
	dispatch.self.incarnation = 4;
	dispatch.handlers = (peer_handlers_t){
	    on_heartbeat, on_fetch, on_borrow, on_return, NULL};
	dispatch.guard = replay_guard_create(4);
	seed_folder = g_dir_make_tmp("fuzz-peer-XXXXXX", NULL);
	seed_files = g_ptr_array_new_with_free_func(g_free);
	seeds_write();
	atexit(seeds_remove);
	g_ptr_array_add(seed_files, NULL);
	list = g_strjoinv(",", (char **)seed_files->pdata);
	g_ptr_array_set_size(seed_files, (gint)seed_files->len - 1);
	memcpy(args, *argv, (size_t)*argc * sizeof(*args));
	args[*argc] = g_strdup_printf("-seed_inputs=%s", list);
	*argv = args;
	(*argc)++;
	return 0;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	if (len > 0)
		input_run(data[0], data + 1, len - 1);
	return 0;
}
