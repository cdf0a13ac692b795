#include <arpa/inet.h>
#include <string.h>
#include <syslog.h>

#include "core/types.h"
#include "yaml_reader.h"

bool
node_list(const node_t *node, uint32_t min, GError **error)
{
	if (node->kind != NODE_LIST)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a list; write items as [a, b] or in lines that "
		    "start with a dash");
	if (node->n_children < min)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "has %u items; write at least %u", node->n_children, min);
	return true;
}

/* Returns whether YAML 1.1 reads a plain word as something else than text. */
static bool
word_is_special(const char *word)
{
	static const char *const words[] = {
	    "", "~", "null", "true", "false", "yes", "no", "on", "off"};

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
		if (g_ascii_strcasecmp(word, words[i]) == 0)
			return true;
	}
	return false;
}

/* Checks that node is text, and returns it without a copy. */
static const char *
text_get(const node_t *node, GError **error)
{
	if (node->kind != NODE_TEXT) {
		node_refuse(node, error, CS_ERROR_INVALID,
		    "is a %s; write one value",
		    node->kind == NODE_LIST ? "list" : "map");
		return NULL;
	}
	if (node->text[0] == '\0') {
		node_refuse(node, error, CS_ERROR_INVALID,
		    "has no value; write one or remove the key");
		return NULL;
	}
	if (node->plain && word_is_special(node->text)) {
		node_refuse(node, error, CS_ERROR_INVALID,
		    "is a boolean or null in YAML; put the word in quotes");
		return NULL;
	}
	return node->text;
}

bool
node_text(const node_t *node, char **value, GError **error)
{
	const char *text = text_get(node, error);

	if (text == NULL)
		return false;
	*value = g_strdup(text);
	return true;
}

bool
node_name(const node_t *node, char **value, GError **error)
{
	const char *text = text_get(node, error);
	size_t len;

	if (text == NULL)
		return false;
	len = strlen(text);
	if (len > NAME_LIMIT)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "has %zu bytes; write a name of at most %d", len,
		    NAME_LIMIT);
	if (text[0] == '-' ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != len)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a name; write a-z, 0-9 and dashes, and no dash "
		    "first");
	*value = g_strdup(text);
	return true;
}

bool
node_names(const node_t *node, char ***values, GError **error)
{
	g_autoptr(GHashTable) seen = seen_create();
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);

	if (!node_list(node, 0, error))
		return false;
	for (const node_t *item = node->first; item; item = item->next) {
		char *name = NULL;

		if (!node_name(item, &name, error))
			return false;
		g_ptr_array_add(names, name);
		if (!seen_add(seen, item, name, error))
			return false;
	}
	g_ptr_array_add(names, NULL);
	*values = (char **)g_ptr_array_steal(names, NULL);
	return true;
}

bool
node_bool(const node_t *node, bool *value, GError **error)
{
	bool is_true = node->kind == NODE_TEXT && node->plain &&
		       strcmp(node->text, "true") == 0;

	if (!is_true && (node->kind != NODE_TEXT || !node->plain ||
			    strcmp(node->text, "false") != 0))
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a boolean; write true or false");
	*value = is_true;
	return true;
}

bool
node_integer(const node_t *node, int64_t min, int64_t max, int64_t *value,
    GError **error)
{
	guint64 number;

	/* YAML 1.1 reads a leading zero as octal, so it is refused. */
	if (node->kind != NODE_TEXT || !node->plain ||
	    (node->text[0] == '0' && node->text[1] != '\0') ||
	    !g_ascii_string_to_unsigned(
		node->text, 10, (guint64)min, (guint64)max, &number, NULL))
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a whole number in range; write a number from "
		    "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		    min, max);
	*value = (int64_t)number;
	return true;
}

bool
node_choice(
    const node_t *node, const char *const *choices, int *value, GError **error)
{
	g_autofree char *all = NULL;

	for (int i = 0; node->kind == NODE_TEXT && choices[i] != NULL; i++) {
		if (strcmp(node->text, choices[i]) == 0) {
			*value = i;
			return true;
		}
	}
	all = g_strjoinv(", ", (char **)choices);
	return node_refuse(node, error, CS_ERROR_INVALID,
	    "is not a known value; write one of %s", all);
}

bool
node_hex(const node_t *node, uint8_t *bytes, size_t n_bytes, GError **error)
{
	size_t len = node->kind == NODE_TEXT ? strlen(node->text) : 0;

	if (len != 2 * n_bytes ||
	    strspn(node->text, "0123456789abcdefABCDEF") != len)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a hexadecimal value of this length; write %zu hex "
		    "digits",
		    2 * n_bytes);
	for (size_t i = 0; i < n_bytes; i++)
		bytes[i] =
		    (uint8_t)(g_ascii_xdigit_value(node->text[2 * i]) << 4 |
			      g_ascii_xdigit_value(node->text[2 * i + 1]));
	return true;
}

/* Returns the host as written in an URL, or NULL when it is no IP number. */
static char *
host_canonical(const char *host, bool *unspecified)
{
	char text[INET6_ADDRSTRLEN];
	struct in6_addr v6;
	struct in_addr v4;

	if (inet_pton(AF_INET, host, &v4) == 1) {
		*unspecified = v4.s_addr == INADDR_ANY;
		return g_strdup(inet_ntop(AF_INET, &v4, text, sizeof(text)));
	}
	if (inet_pton(AF_INET6, host, &v6) == 1) {
		*unspecified = IN6_IS_ADDR_UNSPECIFIED(&v6);
		return g_strdup_printf(
		    "[%s]", inet_ntop(AF_INET6, &v6, text, sizeof(text)));
	}
	return NULL;
}

bool
node_address(
    const node_t *node, address_use_t use, char **value, GError **error)
{
	const char *text = text_get(node, error);
	g_autofree char *uri = g_strconcat("tcp://", text, NULL);
	g_autofree char *host = NULL;
	g_autofree char *shown = NULL;
	g_autofree char *canonical = NULL;
	bool unspecified = false;
	int port = -1;

	if (text == NULL)
		return false;
	if (g_uri_split(uri, G_URI_FLAGS_NONE, NULL, NULL, &host, &port, NULL,
		NULL, NULL, NULL) &&
	    host != NULL)
		shown = host_canonical(host, &unspecified);
	if (shown == NULL || port < 1 || port > G_MAXUINT16)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not address:port; write an IP number and a port from "
		    "1 to 65535, such as 127.0.0.1:8101");
	canonical = g_strdup_printf("%s:%d", shown, port);
	/* One spelling for each address, so that duplicates can be found. */
	if (strcmp(canonical, text) != 0)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not in the usual form; write %s", canonical);
	if (unspecified && use == ADDRESS_CONNECT)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "can't be connected to; write the address of one "
		    "interface");
	*value = g_steal_pointer(&canonical);
	return true;
}

bool
node_url(const node_t *node, char **value, char **address, GError **error)
{
	const char *text = text_get(node, error);
	g_autofree char *scheme = NULL;
	g_autofree char *host = NULL;
	g_autofree char *shown = NULL;
	g_autofree char *canonical = NULL;
	size_t len;
	bool unspecified = false;
	bool https;
	int port = -1;

	if (text == NULL)
		return false;
	if (g_uri_split(text, G_URI_FLAGS_NONE, &scheme, NULL, &host, &port,
		NULL, NULL, NULL, NULL) &&
	    host != NULL)
		shown = host_canonical(host, &unspecified);
	if (shown == NULL || unspecified || scheme == NULL || port == 0 ||
	    (strcmp(scheme, "http") != 0 && strcmp(scheme, "https") != 0))
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a URL with an IP number; write http:// or "
		    "https://, an IP number and a port, such as "
		    "http://127.0.0.1:9001");
	https = strcmp(scheme, "https") == 0;
	canonical = port < 0
			? g_strdup_printf("%s://%s", scheme, shown)
			: g_strdup_printf("%s://%s:%d", scheme, shown, port);
	len = strlen(canonical);
	if (strncmp(canonical, text, len) != 0 ||
	    (text[len] != '\0' && strcmp(text + len, "/") != 0))
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a base URL in the usual form; write %s", canonical);
	if (address != NULL)
		*address = g_strdup_printf(
		    "%s:%d", shown, port > 0 ? port : (https ? 443 : 80));
	*value = g_steal_pointer(&canonical);
	return true;
}

bool
numbers_read(void *settings, const number_field_t *fields,
    const node_t *const *nodes, size_t n_fields, GError **error)
{
	for (size_t i = 0; i < n_fields; i++) {
		int64_t value = fields[i].preset;

		if (nodes[i] != NULL && !node_integer(nodes[i], fields[i].min,
					    fields[i].max, &value, error))
			return false;
		G_STRUCT_MEMBER(uint32_t, settings, fields[i].offset) =
		    (uint32_t)value;
	}
	return true;
}

bool
log_level_read(const node_t *node, int *level, GError **error)
{
	static const char *const names[] = {
	    "err", "warning", "info", "debug", NULL};
	static const int levels[] = {LOG_ERR, LOG_WARNING, LOG_INFO, LOG_DEBUG};
	int choice = 2;

	if (node != NULL && !node_choice(node, names, &choice, error))
		return false;
	*level = levels[choice];
	return true;
}
