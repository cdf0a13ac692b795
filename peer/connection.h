#ifndef PEER_CONNECTION_H
#define PEER_CONNECTION_H

#include <glib.h>
#include <stdbool.h>

#include "core/types.h"

/*
 * One connection of the server or a client: record marking (RFC 5531, section
 * 11) over a non-blocking socket. While a record is unsent nothing is read, so
 * that each connection holds at most one record in each direction.
 */
typedef struct {
	int fd;
	GByteArray *record; /* fragments received so far */
	uint8_t mark[4];
	size_t mark_len;
	uint32_t fragment_left;
	bool last_fragment;
	GByteArray *out; /* with its record mark; NULL: nothing to send */
	size_t out_sent;
	bool close_after; /* close when out is sent */
	bool authentic;	  /* an authentic call was received */
	time_us_t opened_at;
	time_us_t active_at; /* last byte received or sent */
	time_us_t record_at; /* first byte of the open record; 0: none */
	time_us_t out_at;    /* when out was given */
} connection_t;

typedef enum {
	CONNECTION_OPEN,   /* nothing complete yet */
	CONNECTION_RECORD, /* record holds a complete record */
	CONNECTION_CLOSED, /* by the peer between records, or socket error */
	CONNECTION_TRUNCATED,
	CONNECTION_OVERSIZED,
	CONNECTION_MALFORMED,
} connection_state_t;

connection_t *connection_create(int fd, time_us_t now);
void connection_destroy(connection_t *connection);

/*
 * Reads what is there, up to one record of at most limit bytes. One call reads
 * at most CONNECTION_READS times, so that a record of tiny fragments doesn't
 * hold up other connections; poll reports the rest.
 */
#define CONNECTION_READS 64
connection_state_t connection_read(
    connection_t *connection, size_t limit, time_us_t now);

/* Takes a record of len bytes (copied) and starts to send it. */
connection_state_t connection_send(
    connection_t *connection, const void *data, size_t len, time_us_t now);

/* Sends more of out; CONNECTION_CLOSED on failure or when done and
 * close_after is set. */
connection_state_t connection_write(connection_t *connection, time_us_t now);

#endif
