#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <glib.h>

#include "config/gateway_settings.h"

/*
 * A gateway instance: one thread, one event loop. It accepts requests from
 * callers, sends them to targets of its region or forwards them to an instance
 * of another region, and reports its load to other instances.
 *
 * Blocks until SIGTERM or SIGINT has been handled: the instance stops being
 * ready at once, requests in progress finish, then the function returns 0.
 * Returns -1 with error set when the instance can't start.
 */
int gateway_run(const gateway_settings_t *settings, const char *settings_path,
    GError **error);

#endif
