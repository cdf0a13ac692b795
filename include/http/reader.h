#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Incremental HTTP/1.1 parser on top of http_parser(3). A head is buffered
 * completely before it is parsed, so that its fields are slices of one buffer.
 * Messages that parsers may frame differently (request smuggling) are rejected:
 * more than one Content-Length, a length together with chunks (checked by
 * http_parser), transfer codings other than chunked, folded fields, whitespace
 * in field names, a bare line feed in a head and NUL bytes in a head (RFC 9112,
 * sections 2.2, 5.2 and 6.3). So is a switch to another protocol, which no
 * request asks for.
 *
 * Interim responses (1xx) are skipped. They, 204 and 304 end with their head,
 * whatever their fields announce; what follows is the next message.
 */
typedef struct http_reader http_reader_t;

typedef struct {
	const char *text; /* not NUL-terminated */
	size_t len;
} http_slice_t;

typedef struct {
	http_slice_t name;
	http_slice_t value;
} http_field_t;

#define HTTP_FIELD_LIMIT 100
#define HTTP_LENGTH_UNKNOWN UINT64_MAX

/* Valid until the callback returns. */
typedef struct {
	http_slice_t method; /* requests */
	http_slice_t target; /* requests: path and query */
	unsigned status;     /* responses */
	bool keep_alive;
	bool chunked;
	uint64_t content_length; /* HTTP_LENGTH_UNKNOWN when absent */
	http_slice_t raw;	 /* the head as it was received */
	const http_field_t *fields;
	size_t n_fields;
} http_head_t;

typedef enum { HTTP_REQUESTS, HTTP_RESPONSES } http_role_t;

typedef struct {
	/* Returns false to make http_reader_feed() return STOPPED. */
	bool (*head)(void *owner, const http_head_t *head);
	void (*body)(void *owner, const uint8_t *data, size_t len);
} http_sink_t;

typedef enum {
	HTTP_FEED_MORE,	     /* all input was consumed, more is needed */
	HTTP_FEED_COMPLETE,  /* a message ended; later input was not consumed */
	HTTP_FEED_STOPPED,   /* the head callback returned false */
	HTTP_FEED_TOO_LARGE, /* head exceeds head_limit or HTTP_FIELD_LIMIT */
	HTTP_FEED_MALFORMED,
} http_feed_t;

http_reader_t *http_reader_create(
    http_role_t role, const http_sink_t *sink, void *owner, size_t head_limit);
void http_reader_destroy(http_reader_t *reader);

void http_reader_set_head_limit(http_reader_t *reader, size_t head_limit);

/* The next response is to a HEAD request, and therefore has no body. */
void http_reader_expect_no_body(http_reader_t *reader);

/* Parses data. *consumed is set whatever the result is. */
http_feed_t http_reader_feed(
    http_reader_t *reader, const uint8_t *data, size_t len, size_t *consumed);

/*
 * Handles an orderly end of the connection. Returns true when this completes a
 * message, that is, a response without a length.
 */
bool http_reader_finish(http_reader_t *reader);

/* Returns whether a message is partially read. */
bool http_reader_is_mid_message(const http_reader_t *reader);

/* Returns the first field with this name or NULL. name is in lower case. */
const http_field_t *http_head_find(const http_head_t *head, const char *name);

/* Compares case-insensitively; name must be in lower case. */
bool http_slice_is(http_slice_t slice, const char *name);

/* Returns whether a comma-separated list contains the lower-case token. */
bool http_slice_list_has(http_slice_t slice, const char *token);

/*
 * Parses an unsigned decimal number. Returns false when the slice is not a
 * number or has more than 18 digits.
 */
bool http_slice_number(http_slice_t slice, uint64_t *value);

#endif
