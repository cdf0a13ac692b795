#ifndef CYCLAMENSAIL_DAEMON_H
#define CYCLAMENSAIL_DAEMON_H

#include <glib.h>

#include "internal.h"

/* Starts all threads. Returns NULL and sets error when a component fails. */
daemon_t *daemon_create(const settings_t *settings, GError **error);

/* Refuses new requests; running requests continue. */
void daemon_drain(daemon_t *daemon);

/* Whether no request is open and all answers are delivered. */
bool daemon_is_idle(daemon_t *daemon);

/* Whether the other instances may use this instance's share immediately. */
bool daemon_is_released(daemon_t *daemon);

/* Reloads the TLS certificate and key from their files. */
void daemon_reload_certificate(daemon_t *daemon);

/* Stops all threads. Call when daemon_is_idle(). */
void daemon_destroy(daemon_t *daemon);

#endif
