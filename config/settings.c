#include "config/settings.h"

#include <string.h>
#include <syslog.h>

#include "config/file.h"
#include "yaml_reader.h"

/* One number of the settings with its default and range. */
static const number_field_t numbers[] = {
    {"memory_mb", offsetof(settings_t, memory_mb), 128, 16, 4096},
    {"body_limit_kb", offsetof(settings_t, body_limit_kb), 1024, 1, 16384},
    {"http_threads", offsetof(settings_t, http_threads), 4, 1, 64},
    {"connection_limit", offsetof(settings_t, connection_limit), 2048, 16,
	65536},
    {"queue_limit", offsetof(settings_t, queue_limit), 256, 1, 65536},
    {"request_deadline_ms", offsetof(settings_t, request_deadline_ms), 60000,
	100, 3600000},
};

/* Keys with values of other types. */
typedef struct {
	const node_t *instance;
	const node_t *zone;
	const node_t *http;
	const node_t *peer;
	const node_t *admin;
	const node_t *platform;
	const node_t *seeds;
	const node_t *fleet_secrets;
	const node_t *tls;
	const node_t *log_level;
	const node_t *numbers[G_N_ELEMENTS(numbers)];
} members_t;

static bool
members_read(const node_t *root, members_t *members, GError **error)
{
	map_field_t fields[10 + G_N_ELEMENTS(numbers)] = {
	    {"instance", true, &members->instance},
	    {"zone", true, &members->zone},
	    {"http", true, &members->http},
	    {"peer", true, &members->peer},
	    {"admin", false, &members->admin},
	    {"platform", true, &members->platform},
	    {"seeds", false, &members->seeds},
	    {"fleet_secrets", true, &members->fleet_secrets},
	    {"tls", false, &members->tls},
	    {"log_level", false, &members->log_level},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		fields[10 + i] =
		    (map_field_t){numbers[i].key, false, &members->numbers[i]};
	return map_read(root, fields, G_N_ELEMENTS(fields), error);
}

/* Reads a list of base URLs or of peer addresses without repeats. */
static bool
places_read(const node_t *node, bool urls, char ***values, GError **error)
{
	g_autoptr(GHashTable) seen = seen_create();
	g_autoptr(GPtrArray) places = g_ptr_array_new_with_free_func(g_free);

	if (!node_list(node, urls ? 1 : 0, error))
		return false;
	for (const node_t *item = node->first; item; item = item->next) {
		char *place = NULL;

		if (urls ? !node_url(item, &place, NULL, error)
			 : !node_address(item, ADDRESS_CONNECT, &place, error))
			return false;
		g_ptr_array_add(places, place);
		if (!seen_add(seen, item, place, error))
			return false;
	}
	g_ptr_array_add(places, NULL);
	*values = (char **)g_ptr_array_steal(places, NULL);
	return true;
}

static bool
secrets_read(settings_t *settings, const node_t *node, GError **error)
{
	if (!node_list(node, 1, error))
		return false;
	if (node->n_children > SECRET_LIMIT)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "has %u secrets; keep the new one first and at most one "
		    "old one",
		    node->n_children);
	for (const node_t *item = node->first; item; item = item->next) {
		if (!node_hex(item,
			settings->fleet_secrets[settings->n_fleet_secrets],
			SECRET_BYTES, error))
			return false;
		settings->n_fleet_secrets++;
	}
	if (settings->n_fleet_secrets == 2 &&
	    memcmp(settings->fleet_secrets[0], settings->fleet_secrets[1],
		SECRET_BYTES) == 0)
		return node_refuse(node, error, CS_ERROR_CONFLICT,
		    "has the same secret twice; remove one of them");
	return true;
}

static bool
tls_read(settings_t *settings, const node_t *node, GError **error)
{
	const node_t *certificate;
	const node_t *key;
	const node_t *authority = NULL;
	const map_field_t fields[] = {
	    {"certificate", true, &certificate},
	    {"key", true, &key},
	    {"authority", false, &authority},
	};

	return map_read(node, fields, G_N_ELEMENTS(fields), error) &&
	       node_text(certificate, &settings->tls_certificate, error) &&
	       node_text(key, &settings->tls_key, error) &&
	       (authority == NULL ||
		   node_text(authority, &settings->tls_authority, error));
}

static bool
admin_read(settings_t *settings, const node_t *node, GError **error)
{
	if (!node_address(node, ADDRESS_LISTEN, &settings->admin, error))
		return false;
	if (strcmp(settings->admin, settings->http) == 0 ||
	    strcmp(settings->admin, settings->peer) == 0)
		return node_refuse(node, error, CS_ERROR_CONFLICT,
		    "is the same as http or peer; write another port");
	return true;
}

static bool
settings_read(settings_t *settings, const node_t *root, GError **error)
{
	members_t members;

	if (!members_read(root, &members, error) ||
	    !node_name(members.instance, &settings->instance, error) ||
	    !node_name(members.zone, &settings->zone, error) ||
	    !node_address(
		members.http, ADDRESS_LISTEN, &settings->http, error) ||
	    !node_address(members.peer, ADDRESS_LISTEN, &settings->peer, error))
		return false;
	if (strcmp(settings->http, settings->peer) == 0)
		return node_refuse(members.peer, error, CS_ERROR_CONFLICT,
		    "is the same as http; write another port");
	if (members.admin != NULL &&
	    !admin_read(settings, members.admin, error))
		return false;
	if (!places_read(members.platform, true, &settings->platform, error))
		return false;
	if (members.seeds == NULL)
		settings->seeds = g_new0(char *, 1);
	else if (!places_read(members.seeds, false, &settings->seeds, error))
		return false;
	return secrets_read(settings, members.fleet_secrets, error) &&
	       (members.tls == NULL ||
		   tls_read(settings, members.tls, error)) &&
	       numbers_read(settings, numbers, members.numbers,
		   G_N_ELEMENTS(numbers), error) &&
	       log_level_read(members.log_level, &settings->log_level, error);
}

settings_t *
settings_parse(const char *file, const char *text, size_t len, GError **error)
{
	g_autoptr(yaml_doc_t) doc = yaml_doc_read(file, text, len, error);
	settings_t *settings;

	if (doc == NULL)
		return NULL;
	settings = g_new0(settings_t, 1);
	if (!settings_read(settings, doc->root, error)) {
		settings_free(settings);
		return NULL;
	}
	return settings;
}

settings_t *
settings_load(const char *path, GError **error)
{
	settings_t *settings;
	char *text;
	size_t len;

	if (!file_read(path, &text, &len, error))
		return NULL;
	settings = settings_parse(path, text, len, error);
	explicit_bzero(text, len);
	g_free(text);
	return settings;
}

void
settings_free(settings_t *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->instance);
	g_free(settings->zone);
	g_free(settings->http);
	g_free(settings->peer);
	g_free(settings->admin);
	g_strfreev(settings->platform);
	g_strfreev(settings->seeds);
	g_free(settings->tls_certificate);
	g_free(settings->tls_key);
	g_free(settings->tls_authority);
	explicit_bzero(
	    settings->fleet_secrets, sizeof(settings->fleet_secrets));
	g_free(settings);
}
