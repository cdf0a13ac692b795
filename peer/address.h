#ifndef PEER_ADDRESS_H
#define PEER_ADDRESS_H

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

/*
 * Parses "address:port" or "[address]:port". The address is numeric, since a
 * name look-up can block a thread for many seconds.
 */
bool address_parse(const char *text, struct sockaddr_storage *address,
    socklen_t *len, GError **error);

/* Return the address that fd is bound or connected to, in the same form, or
 * "unknown"; free with g_free. */
char *address_of_socket(int fd);
char *address_of_peer(int fd);

#endif
