#ifndef CONFIG_GATEWAY_SETTINGS_H
#define CONFIG_GATEWAY_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/topology.h"

/*
 * Settings of an instance that takes its configuration from a platform: the
 * map `gateway` of the settings file; see cyclamensail-settings(5).
 */
typedef struct {
	char *instance;
	char *zone;
	char *callers;	 /* address:port for requests */
	char *health;	 /* address:port for the platform's checks */
	char *directory; /* address:port for callers' look-ups */
	char *peer;	 /* address:port for instances, TCP and UDP */
	char *metrics;	 /* address:port for counters */
	char *store;	 /* address:port of the metadata store */
	char **seeds;	 /* address:port of other instances, any port */
	topology_t *places;
	uint32_t memory_mb;
	uint32_t descriptor_limit;
	uint32_t grace_s;	/* from SIGTERM to SIGKILL */
	uint32_t retry_percent; /* of the requests, over all instances */
	uint32_t retry_window_s;
	uint32_t retry_slack;	   /* retries a window besides, fleet-wide */
	uint32_t directory_life_s; /* longest life of its answers */
	int log_level;		   /* LOG_ERR, LOG_WARNING, ... */
} gateway_settings_t;

/* Tells whether the text has the map; the text need not be valid. */
bool gateway_settings_present(const char *text);

/* Return NULL with a CS_ERROR whose message names file, line and key. */
gateway_settings_t *gateway_settings_load(const char *path, GError **error);
gateway_settings_t *gateway_settings_parse(
    const char *file, const char *text, size_t len, GError **error);
void gateway_settings_free(gateway_settings_t *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(gateway_settings_t, gateway_settings_free)

#endif
