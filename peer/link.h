#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <glib.h>
#include <stdbool.h>

#include "core/types.h"

/* Non-blocking connection of a client to one peer. Used by one thread. */
typedef struct link link_t;

link_t *link_create(const char *address, GError **error);
void link_destroy(link_t *link);

/* Starts to connect. When the socket can be written, link_finish says whether
 * that succeeded. The caller closes the link after a failure. */
bool link_open(link_t *link, GError **error);
bool link_finish(link_t *link, GError **error);
void link_close(link_t *link);

/* Sets an error of link_open for an error number. */
void link_set_error(const link_t *link, int failed, GError **error);

bool link_is_open(const link_t *link);
int link_fd(const link_t *link);
const char *link_address(const link_t *link);

/* Starts to send a record. Returns false when the connection is broken. */
bool link_send(link_t *link, const void *record, size_t len);
bool link_is_sending(const link_t *link);

/* Returns the time of the last link_send or byte in either direction. */
time_us_t link_active_at(const link_t *link);

typedef enum {
	LINK_WAIT,
	LINK_RECORD, /* a whole record was received */
	LINK_FAILED,
} link_state_t;

/* Sends or reads what the socket takes or has, up to one record of limit bytes.
 */
link_state_t link_serve(link_t *link, size_t limit, GError **error);

/* Takes the record that was received. The caller frees it. */
GByteArray *link_take_record(link_t *link);

#endif
