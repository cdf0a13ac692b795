/*
 * Stand-in for the platform's configuration service. Serves the files
 * plans.yaml, allowances.yaml and fleet.yaml of a folder as values that can be
 * read and watched, and nothing else. An operator edits a file; watchers see
 * the change.
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
#define VALUE_COUNT 3

typedef enum { MODE_OK, MODE_DOWN, MODE_STALE } platform_mode_t;

typedef struct {
	char *text;
	size_t len;
	unsigned long revision;
} value_t;

typedef struct {
	const char *folder;
	pthread_mutex_t lock;
	platform_mode_t mode;
	value_t values[VALUE_COUNT];
	unsigned long calls;
} platform_t;

static const char *const value_names[VALUE_COUNT] = {
    "plans", "allowances", "fleet"};

static int
value_index(const char *name)
{
	for (int i = 0; i < VALUE_COUNT; i++) {
		if (strcmp(name, value_names[i]) == 0)
			return i;
	}
	return -1;
}

/* Reads the file again; keeps the old content while in stale mode. */
static value_t
value_read(platform_t *platform, int index)
{
	g_autofree char *path =
	    g_strdup_printf("%s/%s.yaml", platform->folder, value_names[index]);
	value_t *value = &platform->values[index];
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
value_serve(platform_t *platform, fake_request_t *request, int index)
{
	const char *after = fake_http_query(request, "after");
	const char *wait = fake_http_query(request, "wait");
	long polls =
	    wait ? strtol(wait, NULL, 10) * 1000000 / WATCH_POLL_US : 0;
	unsigned long known = after ? strtoul(after, NULL, 10) : 0;
	value_t value = value_read(platform, index);
	enum MHD_Result result;
	char etag[32];

	while (after != NULL && value.revision <= known && polls-- > 0 &&
	       platform->mode != MODE_DOWN) {
		g_free(value.text);
		usleep(WATCH_POLL_US);
		value = value_read(platform, index);
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
	int index = -1;

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
		index = value_index(request->path + strlen("/v1/values/"));
	if (index < 0)
		return fake_http_reply(
		    request, 404, "text/plain", NULL, "no such value\n", 14);
	return value_serve(platform, request, index);
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
	return fake_http_serve(
	    (uint16_t)atoi(argv[1]), request_handle, &platform);
}
