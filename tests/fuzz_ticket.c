#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "core/hop.h"
#include "core/order.h"

/*
 * libFuzzer target for tickets and hop headers, which any client can send.
 * Guards against out-of-bounds reads, different texts for one ticket, names
 * longer than the limit, and a header that verifies without the secret.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
ticket_check(const char *text)
{
	char mac[2 * ORDER_MAC_BYTES + 1];
	char formatted[2 * ORDER_TICKET_SIZE];
	order_ticket_t ticket;

	if (!order_ticket_parse(text, &ticket))
		return;
	sodium_bin2hex(mac, sizeof(mac), ticket.mac, ORDER_MAC_BYTES);
	g_snprintf(formatted, sizeof(formatted),
	    "t1.%s.%016" PRIx64 ".%" PRId64 ".%016" PRIx64 ".%s",
	    ticket.instance, ticket.incarnation, ticket.expiry_s, ticket.nonce,
	    mac);
	if (strcmp(formatted, text) != 0)
		abort();
}

static void
hop_check(const char *text)
{
	static const uint8_t secrets[1][HOP_SECRET_BYTES] = {{7}};
	const hop_request_t request = {"POST", "/x", "body", 4};
	hop_t hop;

	if (hop_verify(text, &request, secrets, 1, 1700000000))
		abort();
	if (!hop_parse(text, &hop))
		return;
	if (strlen(text) >= HOP_TEXT_LIMIT || hop.sender[0] == '\0' ||
	    memchr(hop.sender, '\0', sizeof(hop.sender)) == NULL ||
	    memchr(hop.team, '\0', sizeof(hop.team)) == NULL)
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	/* A copy of the exact size, so that reads past the end are detected. */
	char *text = g_malloc(len + 1);

	memcpy(text, data, len);
	text[len] = '\0';
	ticket_check(text);
	hop_check(text);
	g_free(text);
	return 0;
}
