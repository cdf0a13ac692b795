#include "peer/envelope.h"

#include <ctype.h>
#include <sodium.h>
#include <string.h>

#include "common/error.h"
#include "generated/peer.h"

#define MAC_LABEL "cyclamensail peer 1"

typedef enum { DIRECTION_CALL = 1, DIRECTION_REPLY = 2 } direction_t;

typedef struct {
	uint64_t session;
	uint64_t highest;
	uint64_t seen; /* bit i: sequence highest - i was received */
	uint64_t used; /* tick of the last use */
} window_t;

struct replay_guard {
	uint8_t key[crypto_shorthash_KEYBYTES];
	uint64_t era; /* rises when a window is dropped */
	uint64_t tick;
	size_t limit;
	GHashTable *windows; /* "name/incarnation" -> window_t */
};

bool
envelope_keys_init(
    envelope_keys_t *keys, const char *const *secrets, GError **error)
{
	memset(keys, 0, sizeof(*keys));
	if (sodium_init() < 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "libsodium doesn't start; check the random device");
		return false;
	}
	for (; secrets[keys->n] != NULL; keys->n++) {
		size_t len = strlen(secrets[keys->n]);

		if (keys->n == ENVELOPE_SECRET_LIMIT)
			break;
		if (len < ENVELOPE_SECRET_MIN) {
			g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
			    "fleet secret %zu has %zu bytes; use at least %d",
			    keys->n + 1, len, ENVELOPE_SECRET_MIN);
			return false;
		}
		crypto_generichash(keys->keys[keys->n], ENVELOPE_KEY_BYTES,
		    (const uint8_t *)secrets[keys->n], len,
		    (const uint8_t *)MAC_LABEL, sizeof(MAC_LABEL) - 1);
	}
	if (keys->n > 0 && secrets[keys->n] == NULL)
		return true;
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "wrong number of fleet secrets; give one or two");
	return false;
}

static void
mac_u64(crypto_auth_hmacsha512256_state *state, uint64_t value)
{
	uint64_t wire = GUINT64_TO_BE(value);

	crypto_auth_hmacsha512256_update(
	    state, (const uint8_t *)&wire, sizeof(wire));
}

/* Each part is preceded by its length, so that parts can't be shifted. */
static void
mac_bytes(crypto_auth_hmacsha512256_state *state, const void *data, size_t len)
{
	mac_u64(state, len);
	crypto_auth_hmacsha512256_update(state, data, len);
}

static void
mac_open(crypto_auth_hmacsha512256_state *state, const uint8_t *key,
    direction_t direction, uint32_t procedure)
{
	crypto_auth_hmacsha512256_init(state, key, ENVELOPE_KEY_BYTES);
	mac_bytes(state, MAC_LABEL, sizeof(MAC_LABEL) - 1);
	mac_u64(state, direction);
	mac_u64(state, procedure);
}

static void
mac_call(const uint8_t *key, uint32_t procedure, const peer_call *call,
    uint8_t mac[PEER_MAC_BYTES])
{
	crypto_auth_hmacsha512256_state state;

	mac_open(&state, key, DIRECTION_CALL, procedure);
	mac_bytes(&state, call->sender, strlen(call->sender));
	mac_u64(&state, call->incarnation);
	mac_u64(&state, call->sequence);
	mac_u64(&state, (uint64_t)call->time_us);
	mac_u64(&state, call->session);
	mac_bytes(&state, call->body.body_val, call->body.body_len);
	crypto_auth_hmacsha512256_final(&state, mac);
}

static void
mac_reply(const uint8_t *key, uint32_t procedure, const peer_call *call,
    const peer_reply *reply, uint8_t mac[PEER_MAC_BYTES])
{
	crypto_auth_hmacsha512256_state state;

	mac_open(&state, key, DIRECTION_REPLY, procedure);
	mac_bytes(&state, call->mac, PEER_MAC_BYTES);
	mac_u64(&state, call->incarnation);
	mac_u64(&state, call->sequence);
	mac_bytes(&state, reply->sender, strlen(reply->sender));
	mac_u64(&state, reply->incarnation);
	mac_u64(&state, reply->sequence);
	mac_u64(&state, (uint64_t)reply->time_us);
	mac_u64(&state, reply->session);
	mac_u64(&state, (uint64_t)reply->status);
	mac_bytes(&state, reply->body.body_val, reply->body.body_len);
	crypto_auth_hmacsha512256_final(&state, mac);
}

void
envelope_seal_call(
    const envelope_keys_t *keys, uint32_t procedure, peer_call *call)
{
	mac_call(keys->keys[0], procedure, call, (uint8_t *)call->mac);
}

bool
envelope_check_call(const envelope_keys_t *keys, uint32_t procedure,
    const peer_call *call, GError **error)
{
	uint8_t mac[PEER_MAC_BYTES];

	for (size_t i = 0; i < keys->n; i++) {
		mac_call(keys->keys[i], procedure, call, mac);
		if (sodium_memcmp(mac, call->mac, sizeof(mac)) == 0)
			return true;
	}
	g_set_error(error, CS_ERROR, CS_ERROR_AUTH,
	    "call is not authentic; give both instances the same fleet secret");
	return false;
}

void
envelope_seal_reply(const envelope_keys_t *keys, uint32_t procedure,
    const peer_call *call, peer_reply *reply)
{
	mac_reply(keys->keys[0], procedure, call, reply, (uint8_t *)reply->mac);
}

bool
envelope_check_reply(const envelope_keys_t *keys, uint32_t procedure,
    const peer_call *call, const peer_reply *reply, GError **error)
{
	uint8_t mac[PEER_MAC_BYTES];

	for (size_t i = 0; i < keys->n; i++) {
		mac_reply(keys->keys[i], procedure, call, reply, mac);
		if (sodium_memcmp(mac, reply->mac, sizeof(mac)) == 0)
			return true;
	}
	g_set_error(error, CS_ERROR, CS_ERROR_AUTH,
	    "reply is not authentic; give both instances the same fleet "
	    "secret");
	return false;
}

bool
peer_name_valid(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len > NAME_LIMIT || !isalnum((unsigned char)name[0]))
		return false;
	for (; *name != '\0'; name++) {
		unsigned char byte = (unsigned char)*name;

		if (byte >= 0x80 || (!isalnum(byte) && !strchr("-_.", byte)))
			return false;
	}
	return true;
}

replay_guard_t *
replay_guard_create(size_t limit)
{
	replay_guard_t *guard = g_new0(replay_guard_t, 1);

	randombytes_buf(guard->key, sizeof(guard->key));
	guard->limit = limit;
	guard->windows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return guard;
}

void
replay_guard_destroy(replay_guard_t *guard)
{
	if (guard == NULL)
		return;
	g_hash_table_destroy(guard->windows);
	sodium_memzero(guard->key, sizeof(guard->key));
	g_free(guard);
}

/* The session of a sender without a window. */
static uint64_t
session_make(const replay_guard_t *guard, const char *id)
{
	g_autofree char *text =
	    g_strdup_printf("%" G_GUINT64_FORMAT "/%s", guard->era, id);
	uint64_t session;

	G_STATIC_ASSERT(crypto_shorthash_BYTES == sizeof(session));
	crypto_shorthash((uint8_t *)&session, (const uint8_t *)text,
	    strlen(text), guard->key);
	return session;
}

static void
window_drop_oldest(replay_guard_t *guard)
{
	GHashTableIter iter;
	gpointer key, value;
	gpointer oldest_key = NULL;
	const window_t *oldest = NULL;

	g_hash_table_iter_init(&iter, guard->windows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const window_t *window = value;

		if (oldest == NULL || window->used < oldest->used) {
			oldest = window;
			oldest_key = key;
		}
	}
	if (oldest_key != NULL)
		g_hash_table_remove(guard->windows, oldest_key);
	guard->era++;
}

static bool
window_accept(window_t *window, uint64_t sequence)
{
	uint64_t distance;

	if (sequence > window->highest) {
		distance = sequence - window->highest;
		window->seen =
		    distance < REPLAY_WINDOW ? window->seen << distance : 0;
		window->seen |= 1;
		window->highest = sequence;
		return true;
	}
	distance = window->highest - sequence;
	if (distance >= REPLAY_WINDOW ||
	    (window->seen & (UINT64_C(1) << distance)) != 0)
		return false;
	window->seen |= UINT64_C(1) << distance;
	return true;
}

replay_verdict_t
replay_guard_check(
    replay_guard_t *guard, const peer_call *call, uint64_t *session)
{
	g_autofree char *id = g_strdup_printf("%s/%016" G_GINT64_MODIFIER "x",
	    call->sender, (guint64)call->incarnation);
	window_t *window = g_hash_table_lookup(guard->windows, id);

	*session = window ? window->session : session_make(guard, id);
	if (call->session != *session)
		return REPLAY_CHALLENGE;
	if (window == NULL) {
		if (g_hash_table_size(guard->windows) >= guard->limit)
			window_drop_oldest(guard);
		window = g_new0(window_t, 1);
		window->session = *session;
		g_hash_table_insert(
		    guard->windows, g_steal_pointer(&id), window);
	}
	window->used = ++guard->tick;
	return window_accept(window, call->sequence) ? REPLAY_FRESH
						     : REPLAY_REPEATED;
}
