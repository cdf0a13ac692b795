/*
 * Stand-in for the platform's configuration service. Serves the files
 * plans.yaml, plans-PART-of-PARTS.yaml, allowances.yaml and fleet.yaml of a
 * folder as values that can be read and watched, and nothing else. An operator
 * edits a file; watchers see the change.
 *
 *     GET /v1/values/NAME                    -> text, ETag: "REVISION"
 *     GET /v1/values/NAME?after=REV&wait=SEC -> the same once it changed, or
 * 304 POST /control?mode=ok|down|stale       -> fault to imitate GET /record ->
 * number of calls as JSON
 *
 * The revision counts the changes of content that this process has seen.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_http.h"

#define WATCH_POLL_US 20000
#define VALUE_LIMIT 512

typedef enum { MODE_OK, MODE_DOWN, MODE_STALE } platform_mode_t;

typedef struct {
	char *name;
	char *text;
	size_t len;
	unsigned long revision;
} value_t;

typedef struct {
	const char *folder;
	pthread_mutex_t lock;
	platform_mode_t mode;
	GHashTable *values; /* name -> value_t */
	unsigned long calls;
} platform_t;

/* Whether a name is one of a list or of a part of the plans list. */
static bool
name_is_served(const char *name)
{
	static const char *const names[] = {"plans", "allowances", "fleet"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0)
			return true;
	}
	return g_regex_match_simple(
	    "^plans-[0-9]{1,3}-of-[0-9]{1,3}$", name, 0, 0);
}

/* Returns the value of a served name, or NULL. */
static value_t *
value_find(platform_t *platform, const char *name)
{
	value_t *value;

	if (!name_is_served(name))
		return NULL;
	pthread_mutex_lock(&platform->lock);
	value = g_hash_table_lookup(platform->values, name);
	if (value == NULL &&
	    g_hash_table_size(platform->values) < VALUE_LIMIT) {
		value = g_new0(value_t, 1);
		value->name = g_strdup(name);
		g_hash_table_insert(platform->values, value->name, value);
	}
	pthread_mutex_unlock(&platform->lock);
	return value;
}

/* Reads the file again; keeps the old content while in stale mode. */
static value_t
value_read(platform_t *platform, value_t *value)
{
	g_autofree char *path =
	    g_strdup_printf("%s/%s.yaml", platform->folder, value->name);
	value_t copy;
	char *text = NULL;
	gsize len = 0;

	pthread_mutex_lock(&platform->lock);
	if (platform->mode != MODE_STALE &&
	    g_file_get_contents(path, &text, &len, NULL)) {
		if (value->text == NULL || len != value->len ||
		    memcmp(text, value->text, len) != 0) {
			g_free(value->text);
			value->text = g_steal_pointer(&text);
			value->len = len;
			value->revision++;
		}
		g_free(text);
	}
	copy = *value;
	copy.text = g_memdup2(value->text, value->len);
	pthread_mutex_unlock(&platform->lock);
	return copy;
}

static enum MHD_Result
value_serve(platform_t *platform, fake_request_t *request, value_t *served)
{
	const char *after = fake_http_query(request, "after");
	const char *wait = fake_http_query(request, "wait");
	long polls =
	    wait ? strtol(wait, NULL, 10) * 1000000 / WATCH_POLL_US : 0;
	unsigned long known = after ? strtoul(after, NULL, 10) : 0;
	value_t value = value_read(platform, served);
	enum MHD_Result result;
	char etag[32];

	while (after != NULL && value.revision <= known && polls-- > 0 &&
	       platform->mode != MODE_DOWN) {
		g_free(value.text);
		usleep(WATCH_POLL_US);
		value = value_read(platform, served);
	}
	if (platform->mode == MODE_DOWN)
		result = MHD_NO;
	else if (value.text == NULL)
		result = fake_http_reply(
		    request, 404, "text/plain", NULL, "no such value\n", 14);
	else if (after != NULL && value.revision <= known)
		result =
		    fake_http_reply(request, 304, "text/plain", NULL, "", 0);
	else {
		snprintf(etag, sizeof(etag), "\"%lu\"", value.revision);
		result = fake_http_reply(request, 200, "application/yaml", etag,
		    value.text, value.len);
	}
	g_free(value.text);
	return result;
}

static enum MHD_Result
mode_set(platform_t *platform, fake_request_t *request)
{
	const char *mode = fake_http_query(request, "mode");

	pthread_mutex_lock(&platform->lock);
	if (g_strcmp0(mode, "down") == 0)
		platform->mode = MODE_DOWN;
	else if (g_strcmp0(mode, "stale") == 0)
		platform->mode = MODE_STALE;
	else
		platform->mode = MODE_OK;
	pthread_mutex_unlock(&platform->lock);
	return fake_http_reply(request, 200, "text/plain", NULL, "ok\n", 3);
}

static enum MHD_Result
request_handle(fake_request_t *request)
{
	platform_t *platform = request->user;
	value_t *value = NULL;

	if (strcmp(request->path, "/control") == 0)
		return mode_set(platform, request);
	if (strcmp(request->path, "/record") == 0) {
		g_autofree char *text =
		    g_strdup_printf("{\"calls\":%lu}\n", platform->calls);

		return fake_http_reply(
		    request, 200, "application/json", NULL, text, strlen(text));
	}
	__atomic_add_fetch(&platform->calls, 1, __ATOMIC_RELAXED);
	if (platform->mode == MODE_DOWN)
		return MHD_NO;
	if (g_str_has_prefix(request->path, "/v1/values/"))
		value =
		    value_find(platform, request->path + strlen("/v1/values/"));
	if (value == NULL)
		return fake_http_reply(
		    request, 404, "text/plain", NULL, "no such value\n", 14);
	return value_serve(platform, request, value);
}

int
main(int argc, char **argv)
{
	platform_t platform = {.lock = PTHREAD_MUTEX_INITIALIZER};

	if (argc != 3) {
		fprintf(stderr, "usage: fake_platform PORT FOLDER\n");
		return 2;
	}
	platform.folder = argv[2];
	platform.values = g_hash_table_new(g_str_hash, g_str_equal);
	return fake_http_serve(
	    (uint16_t)atoi(argv[1]), request_handle, &platform);
}
