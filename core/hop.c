#include "core/hop.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define MAC_HEX_LEN ((size_t)crypto_auth_BYTES * 2)

static void
mac_compute(const char *fields, size_t fields_len, const hop_request_t *request,
    const uint8_t secret[HOP_SECRET_BYTES], uint8_t mac[crypto_auth_BYTES])
{
	crypto_auth_hmacsha512256_state state;
	uint8_t digest[crypto_generichash_BYTES];

	crypto_generichash(digest, sizeof(digest),
	    (const unsigned char *)request->body, request->body_len, NULL, 0);
	crypto_auth_hmacsha512256_init(&state, secret, HOP_SECRET_BYTES);
	crypto_auth_hmacsha512256_update(
	    &state, (const unsigned char *)fields, fields_len);
	/* The terminating zero bytes separate method and path. */
	crypto_auth_hmacsha512256_update(&state,
	    (const unsigned char *)request->method,
	    strlen(request->method) + 1);
	crypto_auth_hmacsha512256_update(&state,
	    (const unsigned char *)request->path, strlen(request->path) + 1);
	crypto_auth_hmacsha512256_update(&state, digest, sizeof(digest));
	crypto_auth_hmacsha512256_final(&state, mac);
}

void
hop_sign(const hop_t *hop, const hop_request_t *request,
    const uint8_t secret[HOP_SECRET_BYTES], char *out, size_t size)
{
	uint8_t mac[crypto_auth_BYTES];
	char hex[MAC_HEX_LEN + 1];
	int len;

	len = snprintf(out, size, "h1.%s.%s.%" PRId64 ".%016" PRIx64,
	    hop->sender, hop->team, hop->wall_s, hop->nonce);
	mac_compute(out, (size_t)len, request, secret, mac);
	sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
	snprintf(out + len, size - (size_t)len, ".%s", hex);
}

static bool
name_copy(char out[NAME_LIMIT + 1], const char *name)
{
	if (strlen(name) > NAME_LIMIT)
		return false;
	g_strlcpy(out, name, NAME_LIMIT + 1);
	return true;
}

bool
hop_parse(const char *text, hop_t *hop)
{
	g_auto(GStrv) fields = NULL;
	char *end;

	if (strlen(text) >= HOP_TEXT_LIMIT)
		return false;
	fields = g_strsplit(text, ".", 7);
	if (g_strv_length(fields) != 6 || strcmp(fields[0], "h1") != 0 ||
	    strlen(fields[5]) != MAC_HEX_LEN || fields[1][0] == '\0')
		return false;
	if (!name_copy(hop->sender, fields[1]) ||
	    !name_copy(hop->team, fields[2]))
		return false;
	hop->wall_s = strtoll(fields[3], &end, 10);
	if (end == fields[3] || *end != '\0')
		return false;
	hop->nonce = strtoull(fields[4], &end, 16);
	return end != fields[4] && *end == '\0';
}

bool
hop_verify(const char *text, const hop_request_t *request,
    const uint8_t (*secrets)[HOP_SECRET_BYTES], size_t n_secrets,
    int64_t wall_s)
{
	uint8_t received_mac[crypto_auth_BYTES];
	uint8_t mac[crypto_auth_BYTES];
	const char *hex = strrchr(text, '.');
	hop_t hop;

	if (!hop_parse(text, &hop) || hex == NULL ||
	    llabs(wall_s - hop.wall_s) > HOP_TOLERANCE_S)
		return false;
	if (sodium_hex2bin(received_mac, sizeof(received_mac), hex + 1,
		MAC_HEX_LEN, NULL, NULL, NULL) != 0)
		return false;
	for (size_t i = 0; i < n_secrets; i++) {
		mac_compute(
		    text, (size_t)(hex - text), request, secrets[i], mac);
		if (sodium_memcmp(received_mac, mac, sizeof(mac)) == 0)
			return true;
	}
	return false;
}
