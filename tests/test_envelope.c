#include <string.h>

#include "common/error.h"
#include "generated/peer.h"
#include "peer/envelope.h"
#include "peer_samples.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(replay_guard_t, replay_guard_destroy)

#define OLD_SECRET "the old fleet secret"
#define NEW_SECRET "the new fleet secret"

static char body_bytes[] = "body";

static peer_call
call_make(const envelope_keys_t *keys, uint64_t session, uint64_t sequence)
{
	peer_call call = {
	    .sender = (char *)"s1",
	    .incarnation = 7,
	    .sequence = sequence,
	    .session = session,
	    .body = {4, body_bytes},
	};

	envelope_seal_call(keys, PEER_BORROW, &call);
	return call;
}

/* Guards against a field that an attacker can change under a valid MAC. */
TEST(every_field_of_a_call_is_covered)
{
	envelope_keys_t keys = keys_make(NEW_SECRET, NULL);
	const peer_call good = call_make(&keys, 3, 5);
	peer_call bad[7];

	ck_assert(envelope_check_call(&keys, PEER_BORROW, &good, NULL));
	ck_assert(!envelope_check_call(&keys, PEER_RETURN, &good, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		bad[i] = good;
	bad[0].sender = (char *)"s2";
	bad[1].incarnation++;
	bad[2].sequence++;
	bad[3].time_us++;
	bad[4].session++;
	bad[5].body.body_len--;
	bad[6].mac[31] ^= 1;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_msg(
		    !envelope_check_call(&keys, PEER_BORROW, &bad[i], NULL),
		    "change %zu was accepted", i);
}

/* Guards against a reply that is taken for the answer to another call, or a
 * call that is taken for a reply. */
TEST(reply_fits_one_call)
{
	envelope_keys_t keys = keys_make(NEW_SECRET, NULL);
	const peer_call call = call_make(&keys, 3, 5);
	const peer_call next = call_make(&keys, 3, 6);
	peer_call restarted = call;
	peer_reply reply = {
	    .sender = (char *)"s1",
	    .incarnation = 7,
	    .sequence = 5,
	    .session = 3,
	    .body = {4, body_bytes},
	};

	envelope_seal_reply(&keys, PEER_BORROW, &call, &reply);
	restarted.incarnation++;
	ck_assert(
	    envelope_check_reply(&keys, PEER_BORROW, &call, &reply, NULL));
	ck_assert(
	    !envelope_check_reply(&keys, PEER_RETURN, &call, &reply, NULL));
	ck_assert(
	    !envelope_check_reply(&keys, PEER_BORROW, &next, &reply, NULL));
	ck_assert(!envelope_check_reply(
	    &keys, PEER_BORROW, &restarted, &reply, NULL));
	reply.status = PEER_STATUS_CHALLENGE;
	ck_assert(
	    !envelope_check_reply(&keys, PEER_BORROW, &call, &reply, NULL));
	memcpy(reply.mac, call.mac, sizeof(reply.mac));
	ck_assert(
	    !envelope_check_reply(&keys, PEER_BORROW, &call, &reply, NULL));
}

/* Guards against a rotation that refuses instances which are a step behind,
 * and against a withdrawn secret that still works. */
TEST(secrets_rotate)
{
	envelope_keys_t old = keys_make(OLD_SECRET, NULL);
	envelope_keys_t both = keys_make(NEW_SECRET, OLD_SECRET);
	envelope_keys_t new = keys_make(NEW_SECRET, NULL);
	peer_call call = call_make(&old, 3, 5);

	ck_assert(envelope_check_call(&both, PEER_BORROW, &call, NULL));
	ck_assert(!envelope_check_call(&new, PEER_BORROW, &call, NULL));
	call = call_make(&both, 3, 5);
	ck_assert(envelope_check_call(&new, PEER_BORROW, &call, NULL));
	ck_assert(!envelope_check_call(&old, PEER_BORROW, &call, NULL));
}

/* Guards against secrets that protect nothing. */
TEST(bad_secrets_are_refused)
{
	const char *const none[] = {NULL};
	const char *const weak[] = {OLD_SECRET, "short", NULL};
	const char *const three[] = {OLD_SECRET, NEW_SECRET, OLD_SECRET, NULL};
	envelope_keys_t keys;

	ck_assert(!envelope_keys_init(&keys, none, NULL));
	ck_assert(!envelope_keys_init(&keys, weak, NULL));
	ck_assert(!envelope_keys_init(&keys, three, NULL));
}

static replay_verdict_t
judge(replay_guard_t *guard, const char *sender, uint64_t incarnation,
    uint64_t sequence, uint64_t *session)
{
	const peer_call call = {
	    .sender = (char *)sender,
	    .incarnation = incarnation,
	    .session = *session,
	    .sequence = sequence,
	};

	return replay_guard_check(guard, &call, session);
}

/* Guards against a repeat that is accepted, and against a refusal of messages
 * that only came out of order. */
TEST(window_refuses_repeats_only)
{
	g_autoptr(replay_guard_t) guard = replay_guard_create(4);
	uint64_t session = 0;

	ck_assert_int_eq(
	    judge(guard, "s1", 7, 100, &session), REPLAY_CHALLENGE);
	ck_assert_int_eq(judge(guard, "s1", 7, 100, &session), REPLAY_FRESH);
	ck_assert_int_eq(judge(guard, "s1", 7, 100, &session), REPLAY_REPEATED);
	ck_assert_int_eq(judge(guard, "s1", 7, 99, &session), REPLAY_FRESH);
	ck_assert_int_eq(judge(guard, "s1", 7, 99, &session), REPLAY_REPEATED);
	ck_assert_int_eq(judge(guard, "s1", 7, 163, &session), REPLAY_FRESH);
	ck_assert_int_eq(judge(guard, "s1", 7, 100, &session), REPLAY_REPEATED);
	ck_assert_int_eq(judge(guard, "s1", 7, 99, &session), REPLAY_REPEATED);
	ck_assert_int_eq(judge(guard, "s1", 7, 101, &session), REPLAY_FRESH);
	ck_assert_int_eq(
	    judge(guard, "s1", 7, UINT64_MAX, &session), REPLAY_FRESH);
	ck_assert_int_eq(judge(guard, "s1", 7, 163, &session), REPLAY_REPEATED);
}

/* Guards against messages recorded before a restart of the receiver, and from
 * another process start of the sender. */
TEST(recorded_session_is_void_after_restart)
{
	g_autoptr(replay_guard_t) guard = replay_guard_create(4);
	g_autoptr(replay_guard_t) restarted = replay_guard_create(4);
	uint64_t session = 0;
	uint64_t recorded;

	judge(guard, "s1", 7, 1, &session);
	recorded = session;
	ck_assert_int_eq(judge(guard, "s1", 7, 1, &session), REPLAY_FRESH);
	ck_assert_int_eq(
	    judge(restarted, "s1", 7, 1, &session), REPLAY_CHALLENGE);
	ck_assert_int_eq(judge(guard, "s1", 8, 1, &recorded), REPLAY_CHALLENGE);
}

/* Guards against unbounded memory, and against a replay of messages whose
 * window was dropped to bound it. */
TEST(dropped_window_stays_refused)
{
	g_autoptr(replay_guard_t) guard = replay_guard_create(2);
	uint64_t first = 0;
	uint64_t recorded;

	judge(guard, "s0", 1, 1, &first);
	recorded = first;
	ck_assert_int_eq(judge(guard, "s0", 1, 1, &first), REPLAY_FRESH);
	for (uint64_t i = 1; i <= 100; i++) {
		uint64_t session = 0;

		judge(guard, "s1", i, 1, &session);
		ck_assert_int_eq(
		    judge(guard, "s1", i, 1, &session), REPLAY_FRESH);
	}
	ck_assert_int_eq(judge(guard, "s0", 1, 1, &recorded), REPLAY_CHALLENGE);
	ck_assert_int_eq(judge(guard, "s0", 1, 2, &recorded), REPLAY_FRESH);
}

TEST_MAIN("envelope")
