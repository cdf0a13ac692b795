#ifndef CYCLAMENSAIL_PEERS_H
#define CYCLAMENSAIL_PEERS_H

#include <glib.h>

#include "internal.h"

/* Exchanges messages between this instance's gate and the other instances. */

/* Starts the server for other instances. */
peers_t *peers_create(daemon_t *daemon, GError **error);

/* Stops the server and all clients. */
void peers_destroy(peers_t *peers);

/* Connects to the gate's current peers and closes all other connections. */
void peers_sync(peers_t *peers);

/* Executes an action that sends a message to a peer. */
void peers_execute(peers_t *peers, const gate_action_t *action);

#endif
