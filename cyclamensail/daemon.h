#ifndef CYCLAMENSAIL_DAEMON_H
#define CYCLAMENSAIL_DAEMON_H

#include <glib.h>

#include "internal.h"

/* Starts all threads. Returns NULL and sets error when a part can't start. */
daemon_t *daemon_create(const settings_t *settings, GError **error);

/* Refuses new work; running requests go on. */
void daemon_drain(daemon_t *daemon);

/* Whether a draining daemon has nothing left to do. */
bool daemon_is_idle(daemon_t *daemon);

/* Whether the others may use this instance's share at once. */
bool daemon_is_released(daemon_t *daemon);

/* Reads the TLS certificate and key again. */
void daemon_reload_certificate(daemon_t *daemon);

/* Stops all threads. Call when daemon_is_idle(). */
void daemon_destroy(daemon_t *daemon);

#endif
