#ifndef TESTS_PEER_SAMPLES_H
#define TESTS_PEER_SAMPLES_H

#include <stdlib.h>
#include <string.h>

#include "generated/peer.h"
#include "peer/envelope.h"
#include "peer/messages.h"

/* Keys of one or two (second not NULL) good secrets. */
static inline envelope_keys_t
keys_make(const char *first, const char *second)
{
	const char *const secrets[] = {first, second, NULL};
	envelope_keys_t keys;

	if (!envelope_keys_init(&keys, secrets, NULL))
		abort();
	return keys;
}

/* Encodes a sealed call as an RPC record without its mark. record has room for
 * PEER_CALL_BYTES + 512 bytes. Returns the length. */
static inline size_t
record_encode(char *record, const envelope_keys_t *keys, uint32_t procedure,
    peer_call call)
{
	struct rpc_msg msg = {.rm_xid = 1, .rm_direction = CALL};
	XDR xdr;

	msg.rm_call.cb_rpcvers = 2;
	msg.rm_call.cb_prog = PEER_PROGRAM;
	msg.rm_call.cb_vers = PEER_VERSION;
	msg.rm_call.cb_proc = procedure;
	msg.rm_call.cb_cred = _null_auth;
	msg.rm_call.cb_verf = _null_auth;
	envelope_seal_call(keys, procedure, &call);
	xdrmem_create(&xdr, record, PEER_CALL_BYTES + 512, XDR_ENCODE);
	if (!xdr_callmsg(&xdr, &msg) || !xdr_peer_call(&xdr, &call))
		abort();
	return xdr_getpos(&xdr);
}

/* A heartbeat with all arrays full and all names of the greatest length. */
static inline heartbeat_t
heartbeat_sample(void)
{
	heartbeat_t beat = {.sender = "s1",
	    .zone = "stred-1",
	    .incarnation = 7,
	    .sent_at = 123456789,
	    .ready = true,
	    .wants_lease = true,
	    .n_former = HEARTBEAT_FORMER_LIMIT,
	    .n_poison = HEARTBEAT_POISON_LIMIT,
	    .n_load = HEARTBEAT_LOAD_LIMIT,
	    .n_stated = HEARTBEAT_ZONE_LIMIT,
	    .brief = true};

	for (int i = 0; i < LIST_COUNT; i++) {
		beat.adopted[i].version = 10 + (uint64_t)i;
		beat.adopted[i].digest[i] = 0xff;
		beat.acked[i] = 9;
		beat.agreed[i] = 8;
	}
	for (size_t i = 0; i < HEARTBEAT_FORMER_LIMIT; i++) {
		memset(beat.former[i].name, 'f', NAME_LIMIT);
		memset(beat.former[i].zone, 'z', NAME_LIMIT);
	}
	for (size_t i = 0; i < HEARTBEAT_ZONE_LIMIT; i++)
		beat.stated[i] = (uint8_t)(STATEMENT_NONE - i);
	for (size_t i = 0; i < HEARTBEAT_POISON_LIMIT; i++)
		beat.poison[i].targets_lost = (uint32_t)i;
	for (size_t i = 0; i < HEARTBEAT_LOAD_LIMIT; i++) {
		memset(beat.load[i].service, 'w', NAME_LIMIT);
		beat.load[i].in_flight = (uint32_t)i;
		beat.load[i].slots = 8;
	}
	return beat;
}

/* Returns whether all members are equal; the arrays have no padding. */
static inline bool
heartbeat_equal(const heartbeat_t *a, const heartbeat_t *b)
{
	return strcmp(a->sender, b->sender) == 0 &&
	       strcmp(a->zone, b->zone) == 0 &&
	       a->incarnation == b->incarnation && a->sent_at == b->sent_at &&
	       a->ready == b->ready && a->draining == b->draining &&
	       a->wants_lease == b->wants_lease &&
	       a->lease_granted == b->lease_granted &&
	       memcmp(a->adopted, b->adopted, sizeof(a->adopted)) == 0 &&
	       memcmp(a->acked, b->acked, sizeof(a->acked)) == 0 &&
	       memcmp(a->agreed, b->agreed, sizeof(a->agreed)) == 0 &&
	       a->brief == b->brief && a->n_stated == b->n_stated &&
	       memcmp(a->stated, b->stated, sizeof(a->stated)) == 0 &&
	       a->n_former == b->n_former && a->n_poison == b->n_poison &&
	       a->n_load == b->n_load &&
	       memcmp(a->former, b->former, sizeof(a->former)) == 0 &&
	       memcmp(a->poison, b->poison, sizeof(a->poison)) == 0 &&
	       memcmp(a->load, b->load, sizeof(a->load)) == 0;
}

#endif
