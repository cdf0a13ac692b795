#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <glib.h>

#include "config/gateway_settings.h"

/*
 * An instance on a platform: one thread, one event loop. Takes requests of
 * callers, sends them to targets of its region or passes them to an instance of
 * another region, and tells other instances of its load.
 *
 * Runs until SIGTERM has been handled: not ready at once, running requests end,
 * then it returns. Returns 0, or -1 with an error when it can't start.
 */
int gateway_run(const gateway_settings_t *settings, const char *settings_path,
    GError **error);

#endif
