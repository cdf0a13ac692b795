#ifndef PEER_ENVELOPE_H
#define PEER_ENVELOPE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/*
 * Authentication of messages between instances, and refusal of replays.
 *
 * The MAC (HMAC-SHA512-256, which is libsodium's crypto_auth) covers the
 * direction, the procedure, all envelope fields and the body bytes. That of a
 * reply also covers the MAC of the call, so that it answers that one call.
 *
 * Replays are refused without clocks. The alternative, CLOCK_REALTIME with a
 * tolerance, was rejected: an instance whose clock is off by more than the
 * tolerance could not renew its lease and would serve nothing, and one whose
 * clock is set back would accept recorded messages. Instead, a receiver hands
 * out a session: a number that depends on a key which is made at its start. A
 * call with another session is not run but answered with the session to use
 * (one more round trip for the first call). Messages that were recorded before
 * a restart of the receiver, or for another receiver, carry another session.
 * Within a session a sliding window over the sequence refuses repeats. time_us
 * is for diagnosis only; no decision depends on it.
 */

#define ENVELOPE_SECRET_LIMIT 2
#define ENVELOPE_SECRET_MIN 16 /* bytes; shorter ones can be guessed */
#define ENVELOPE_KEY_BYTES 32

struct peer_call;  /* peer/generated/peer.h */
struct peer_reply; /* peer/generated/peer.h */

typedef struct {
	uint8_t keys[ENVELOPE_SECRET_LIMIT][ENVELOPE_KEY_BYTES];
	size_t n;
} envelope_keys_t;

/* An instance and its process start, as named by an authentic envelope. */
typedef struct {
	char name[NAME_LIMIT + 1];
	incarnation_t incarnation;
} peer_sender_t;

/*
 * Derives keys from one or two secrets (NULL-terminated array). The first key
 * signs; messages signed with any of them are accepted.
 */
bool envelope_keys_init(
    envelope_keys_t *keys, const char *const *secrets, GError **error);

/* Sets call->mac. All other fields must be set. */
void envelope_seal_call(
    const envelope_keys_t *keys, uint32_t procedure, struct peer_call *call);

/* Returns false and CS_ERROR_AUTH when no key fits. */
bool envelope_check_call(const envelope_keys_t *keys, uint32_t procedure,
    const struct peer_call *call, GError **error);

/* The same for the reply to a call, whose mac must be set. */
void envelope_seal_reply(const envelope_keys_t *keys, uint32_t procedure,
    const struct peer_call *call, struct peer_reply *reply);
bool envelope_check_reply(const envelope_keys_t *keys, uint32_t procedure,
    const struct peer_call *call, const struct peer_reply *reply,
    GError **error);

/* Returns whether name has 1..63 letters, digits or -_. and starts with a
 * letter or digit. */
bool peer_name_valid(const char *name);

/*
 * Receiver's side of sessions. Memory is bounded: at the limit, the window used
 * least recently is dropped. That also changes the sessions given out from then
 * on, so that messages of the dropped session stay refused. Not thread-safe.
 */
typedef struct replay_guard replay_guard_t;

typedef enum {
	REPLAY_FRESH,
	REPLAY_CHALLENGE, /* answer with the session, don't run */
	REPLAY_REPEATED,  /* seen before, or older than the window */
} replay_verdict_t;

#define REPLAY_WINDOW 64 /* sequence numbers */

replay_guard_t *replay_guard_create(size_t limit);
void replay_guard_destroy(replay_guard_t *guard);

/*
 * Judges an authentic call and records it when it is fresh. Sets *session to
 * the session that the sender should use.
 */
replay_verdict_t replay_guard_check(
    replay_guard_t *guard, const struct peer_call *call, uint64_t *session);

#endif
