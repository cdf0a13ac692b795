#ifndef PEER_EXCHANGE_H
#define PEER_EXCHANGE_H

#include "generated/peer.h"
#include "peer/client.h"

/* Longest reply record to a call of this kind: only FETCH_LIST brings a text.
 * The 512 bytes hold the RPC header and the envelope. */
size_t exchange_reply_limit(peer_call_kind_t kind);

/* What is remembered of a sealed call in order to check its reply. */
typedef struct {
	peer_call_kind_t kind;
	uint32_t xid;
	peer_call call; /* without sender and body */
} exchange_t;

typedef enum {
	EXCHANGE_DONE,
	EXCHANGE_CHALLENGE, /* not run: repeat it with the session */
	EXCHANGE_FAILED,
} exchange_verdict_t;

typedef struct {
	peer_sender_t from;
	uint64_t session; /* to use from now on; not set on EXCHANGE_FAILED */
	GBytes *body;	  /* EXCHANGE_DONE; owned by the caller */
} exchange_reply_t;

/* Seals a call with a new sequence. Returns its RPC record, which the caller
 * frees, and sets *exchange; NULL and error for a body that is too long. */
GByteArray *exchange_seal(exchange_t *exchange, peer_call_kind_t kind,
    uint32_t xid, uint64_t session, const peer_sender_t *self,
    const envelope_keys_t *keys, GBytes *body, GError **error);

/* Returns whether the record answers another call than this one. */
bool exchange_is_other(
    const exchange_t *exchange, const uint8_t *record, size_t len);

/* Decodes and checks a reply record of the instance at address, which is for
 * the error only. */
exchange_verdict_t exchange_open(const exchange_t *exchange,
    const envelope_keys_t *keys, const char *address, const uint8_t *record,
    size_t len, exchange_reply_t *reply, GError **error);

#endif
