#ifndef PEER_DISPATCH_H
#define PEER_DISPATCH_H

#include "peer/server.h"

/* Longest call record: the body and 512 bytes for RPC header and envelope. */
#define DISPATCH_RECORD_BYTES (16384 + 512)

typedef struct {
	peer_sender_t self;
	envelope_keys_t keys;
	peer_handlers_t handlers;
	replay_guard_t *guard;
} dispatch_t;

typedef struct {
	GByteArray *reply;    /* RPC message to send, or NULL; owned by the
				 caller */
	const char *refused;  /* reason, or NULL */
	bool authentic;	      /* the MAC was right */
	peer_sender_t sender; /* as claimed; empty when not decoded */
} dispatch_result_t;

/* Decodes one call record, runs its handler and encodes the reply. */
dispatch_result_t dispatch_record(
    dispatch_t *dispatch, const uint8_t *record, size_t len);

#endif
