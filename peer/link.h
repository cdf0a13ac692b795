#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <glib.h>
#include <stdbool.h>

#include "peer/envelope.h"

/*
 * Connection of a client to one peer: a libtirpc CLIENT over a socket that was
 * connected with a time limit, and the session with the peer. Used by one
 * thread, except for link_break.
 */
typedef struct link link_t;

link_t *link_create(const char *address, const peer_sender_t *self,
    const envelope_keys_t *keys, GError **error);
void link_destroy(link_t *link);

/* Connects within 1 s. */
bool link_open(link_t *link, GError **error);
void link_close(link_t *link);

/* Returns whether the connection is there and the peer hasn't closed it. */
bool link_is_open(link_t *link);

/* Ends a call that is running and lets all later ones fail. Any thread. */
void link_break(link_t *link);

/*
 * Seals body, calls the procedure and checks the reply. Returns the reply's
 * body and sets *from, or NULL and error. The caller closes the link then.
 */
GBytes *link_call(link_t *link, uint32_t procedure, GBytes *body,
    peer_sender_t *from, GError **error);

#endif
