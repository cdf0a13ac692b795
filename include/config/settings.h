#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define SECRET_BYTES 32
#define SECRET_LIMIT 2

/* Settings of one instance; see cyclamensail-settings(5). */
typedef struct {
	char *instance;
	char *zone;
	char *http;	 /* address:port towards callers */
	char *peer;	 /* address:port for ONC RPC */
	char *admin;	 /* address:port of the operators' pages, or NULL */
	char **platform; /* NULL-terminated base URLs, at least one */
	char **seeds;	 /* NULL-terminated peer address:port, may be empty */
	/* The first one signs, each of them is accepted. */
	uint8_t fleet_secrets[SECRET_LIMIT][SECRET_BYTES];
	size_t n_fleet_secrets;
	char *tls_certificate; /* file path, or NULL without TLS */
	char *tls_key;	       /* file path, NULL when tls_certificate is */
	char *tls_authority;   /* file path, or NULL for the system's */
	uint32_t memory_mb;
	uint32_t body_limit_kb;
	uint32_t http_threads;
	uint32_t connection_limit;
	uint32_t queue_limit;
	uint32_t request_deadline_ms;
	int log_level; /* LOG_ERR, LOG_WARNING, LOG_INFO or LOG_DEBUG */
} settings_t;

/*
 * Return NULL with a CS_ERROR whose message is "FILE:LINE: KEY: what is wrong;
 * what to write instead". Line 0 stands for the file as a whole.
 */
settings_t *settings_load(const char *path, GError **error);
settings_t *settings_parse(
    const char *file, const char *text, size_t len, GError **error);

/* Overwrites the secrets, then frees. */
void settings_free(settings_t *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(settings_t, settings_free)

#endif
