#ifndef CORE_HOP_H
#define CORE_HOP_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/*
 * Header with which one instance forwards a request to another over HTTP. It
 * names the team of the request, so that the caller's key stays at the instance
 * that received it. A request that has the header is never forwarded again, so
 * requests can't loop.
 *
 * The MAC covers all fields, the method, the path and the body digest, so a
 * header can't be reused for another request.
 */
#define HOP_HEADER "X-Cyclamensail-Hop"
#define HOP_TEXT_LIMIT 320
#define HOP_SECRET_BYTES 32

/* Maximum difference between the time of a header and the local clock. Also
 * bounds the memory of replay detection. */
#define HOP_TOLERANCE_S 60

typedef struct {
	char sender[NAME_LIMIT + 1];
	char team[NAME_LIMIT + 1]; /* "" for a service without keys */
	int64_t wall_s;
	uint64_t nonce;
} hop_t;

typedef struct {
	const char *method;
	const char *path;
	const char *body;
	size_t body_len;
} hop_request_t;

/* Writes the signed value. out must have at least HOP_TEXT_LIMIT bytes. */
void hop_sign(const hop_t *hop, const hop_request_t *request,
    const uint8_t secret[HOP_SECRET_BYTES], char *out, size_t size);

/*
 * Parses a value without checking the MAC, for decisions before the body was
 * read. Returns false when the syntax is wrong.
 */
bool hop_parse(const char *text, hop_t *hop);

/*
 * Checks that the value was signed for this request with one of the secrets
 * and that its time is within HOP_TOLERANCE_S of wall_s.
 */
bool hop_verify(const char *text, const hop_request_t *request,
    const uint8_t (*secrets)[HOP_SECRET_BYTES], size_t n_secrets,
    int64_t wall_s);

#endif
