#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cyclamensailctl/command.h"

#define CONNECT_TIMEOUT_MS 5000L
#define CALL_TIMEOUT_MS 30000L

/* Largest answer in bytes, against a server that never stops sending. */
#define ANSWER_LIMIT ((size_t)16 << 20)

/*
 * Returns the address of one endpoint for curl_free, or NULL when url is not
 * scheme, host and port alone.
 */
static char *
endpoint_url(const char *url, const char *path, const char *query)
{
	CURLU *parts = curl_url();
	char *full = NULL;
	char *given = NULL;
	char *rest = NULL;

	if (curl_url_set(parts, CURLUPART_URL, url, CURLU_GUESS_SCHEME) == 0 &&
	    curl_url_get(parts, CURLUPART_PATH, &given, 0) == 0 &&
	    strcmp(given, "/") == 0 &&
	    curl_url_get(parts, CURLUPART_QUERY, &rest, 0) == CURLUE_NO_QUERY &&
	    curl_url_get(parts, CURLUPART_USER, &rest, 0) == CURLUE_NO_USER &&
	    curl_url_set(parts, CURLUPART_PATH, path, 0) == 0 &&
	    curl_url_set(parts, CURLUPART_QUERY, query, 0) == 0)
		(void)curl_url_get(parts, CURLUPART_URL, &full, 0);
	curl_free(given);
	curl_free(rest);
	curl_url_cleanup(parts);
	return full;
}

static size_t
answer_append(char *data, size_t size, size_t n, void *context)
{
	GString *answer = context;

	if (answer->len + size * n > ANSWER_LIMIT)
		return 0;
	g_string_append_len(answer, data, (gssize)(size * n));
	return size * n;
}

static void
handle_set_up(CURL *handle, const char *method, const char *url,
    GString *answer, char *message)
{
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
	/* The command is for this instance, whatever the environment says. */
	curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, message);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, answer_append);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, answer);
	if (strcmp(method, "POST") == 0)
		curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, "");
}

static void
answer_print(const GString *answer, FILE *stream)
{
	fwrite(answer->str, 1, answer->len, stream);
	if (answer->len > 0 && answer->str[answer->len - 1] != '\n')
		fputc('\n', stream);
}

/* Performs the request and prints its outcome. */
static int
handle_run(
    CURL *handle, const char *command, const char *method, const char *url)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	char message[CURL_ERROR_SIZE] = "";
	CURLcode result;
	long status = 0;

	handle_set_up(handle, method, url, answer, message);
	result = curl_easy_perform(handle);
	if (result != CURLE_OK) {
		fprintf(stderr,
		    "cyclamensailctl %s: %s: %s; check that the instance runs "
		    "and the address is its http address\n",
		    command, url,
		    message[0] ? message : curl_easy_strerror(result));
		return EXIT_PROBLEM;
	}
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200 || status > 299) {
		fprintf(stderr, "cyclamensailctl %s: %s: HTTP status %ld\n",
		    command, url, status);
		answer_print(answer, stderr);
		return EXIT_PROBLEM;
	}
	answer_print(answer, stdout);
	return EXIT_OK;
}

int
instance_call(const char *command, const char *method, const char *url,
    const char *path, const char *query)
{
	char *full = endpoint_url(url, path, query);
	CURL *handle;
	int status;

	if (full == NULL)
		return command_usage_error(command,
		    "%s is not the URL of an instance, such as "
		    "http://127.0.0.1:8101",
		    url);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	handle = curl_easy_init();
	status = handle_run(handle, command, method, full);
	curl_easy_cleanup(handle);
	curl_global_cleanup();
	curl_free(full);
	return status;
}
