#include "cluster_internal.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* A slow reader takes its bytes in steps of this size. */
#define SLOW_STEP_BYTES 256UL
#define SLOW_RECEIVE_BUFFER_BYTES 4096
/* With the 64 KiB segments of loopback, the kernel's send buffer grows to
 * megabytes and holds whole answers. */
#define NETWORK_SEGMENT_BYTES 1400

const char *http_authority;

struct http_task {
	pthread_t thread;
	char *url;
	char *key;
	char *ticket;
	char *body;
	long bytes_per_s;
	answer_t *answer;
	size_t bytes;
};

static size_t
body_receive(char *data, size_t size, size_t count, void *user)
{
	http_task_t *task = user;

	g_string_append_len(task->answer->body, data, (gssize)(size * count));
	task->answer->last_byte_at = g_get_monotonic_time();
	__atomic_add_fetch(&task->bytes, size * count, __ATOMIC_RELAXED);
	/* Reads late, so that the sender sees a full receive buffer. */
	for (size_t read = 0; read < size * count; read += SLOW_STEP_BYTES) {
		long rate =
		    __atomic_load_n(&task->bytes_per_s, __ATOMIC_RELAXED);

		if (rate > 0)
			g_usleep(
			    SLOW_STEP_BYTES * G_USEC_PER_SEC / (gulong)rate);
	}
	return size * count;
}

static int
receive_buffer_shrink(void *user, curl_socket_t fd, curlsocktype purpose)
{
	int bytes = SLOW_RECEIVE_BUFFER_BYTES;
	int segment = NETWORK_SEGMENT_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	return CURL_SOCKOPT_OK;
}

static size_t
header_receive(char *data, size_t size, size_t count, void *user)
{
	http_task_t *task = user;

	g_string_append_len(
	    task->answer->headers, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *
headers_build(const http_task_t *task)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	g_autofree char *key =
	    g_strdup_printf("Authorization: Bearer %s", task->key);
	g_autofree char *ticket =
	    g_strdup_printf("Idempotency-Key: %s", task->ticket);

	if (task->key != NULL)
		headers = curl_slist_append(headers, key);
	if (task->ticket != NULL)
		headers = curl_slist_append(headers, ticket);
	if (task->body != NULL)
		headers = curl_slist_append(
		    headers, "Content-Type: application/json");
	return headers;
}

static void
task_run(http_task_t *task)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = headers_build(task);
	answer_t *answer = task->answer;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, task->url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT, 120L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, body_receive);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, task);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_receive);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, task);
	curl_easy_setopt(
	    easy, CURLOPT_MAX_RECV_SPEED_LARGE, (curl_off_t)task->bytes_per_s);
	if (http_authority != NULL)
		curl_easy_setopt(easy, CURLOPT_CAINFO, http_authority);
	if (task->bytes_per_s > 0) {
		curl_easy_setopt(easy, CURLOPT_TIMEOUT, 0L);
		curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 1024L);
		curl_easy_setopt(
		    easy, CURLOPT_SOCKOPTFUNCTION, receive_buffer_shrink);
	}
	if (task->body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, task->body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &answer->seconds);
	answer->whole = code == CURLE_OK;
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
}

static http_task_t *
task_create(const char *url, const char *key, const char *ticket,
    const char *body, long bytes_per_s)
{
	http_task_t *task = g_new0(http_task_t, 1);

	task->url = g_strdup(url);
	task->key = g_strdup(key);
	task->ticket = g_strdup(ticket);
	task->body = g_strdup(body);
	task->bytes_per_s = bytes_per_s;
	task->answer = g_new0(answer_t, 1);
	task->answer->body = g_string_new(NULL);
	task->answer->headers = g_string_new(NULL);
	return task;
}

static answer_t *
task_finish(http_task_t *task)
{
	answer_t *answer = task->answer;

	g_free(task->url);
	g_free(task->key);
	g_free(task->ticket);
	g_free(task->body);
	g_free(task);
	return answer;
}

answer_t *
http_call(
    const char *url, const char *key, const char *ticket, const char *body)
{
	http_task_t *task = task_create(url, key, ticket, body, 0);

	task_run(task);
	return task_finish(task);
}

void
answer_free(answer_t *answer)
{
	g_string_free(answer->body, TRUE);
	g_string_free(answer->headers, TRUE);
	g_free(answer);
}

static void *
task_thread(void *user)
{
	task_run(user);
	return NULL;
}

static http_task_t *
task_launch(http_task_t *task)
{
	ck_assert_int_eq(
	    pthread_create(&task->thread, NULL, task_thread, task), 0);
	return task;
}

http_task_t *
http_start(
    const char *url, const char *key, const char *ticket, const char *body)
{
	return task_launch(task_create(url, key, ticket, body, 0));
}

http_task_t *
http_start_slow(
    const char *url, const char *key, const char *body, long bytes_per_s)
{
	return task_launch(task_create(url, key, NULL, body, bytes_per_s));
}

void
http_task_hasten(http_task_t *task)
{
	__atomic_store_n(&task->bytes_per_s, 0, __ATOMIC_RELAXED);
}

answer_t *
http_join(http_task_t *task)
{
	pthread_join(task->thread, NULL);
	return task_finish(task);
}

size_t
http_task_bytes(http_task_t *task)
{
	return __atomic_load_n(&task->bytes, __ATOMIC_RELAXED);
}

json_t *
answer_json(const answer_t *answer)
{
	return json_loadb(answer->body->str, answer->body->len, 0, NULL);
}

void
error_member(const answer_t *answer, const char *name, char *text, size_t size)
{
	json_auto_t *json = answer_json(answer);
	const char *value = json_string_value(
	    json_object_get(json_object_get(json, "error"), name));

	g_strlcpy(text, value ? value : "", size);
}

const char *
error_code(const answer_t *answer)
{
	static char text[128];

	error_member(answer, "code", text, sizeof(text));
	return text;
}

const char *
error_ran(const answer_t *answer)
{
	static char text[128];

	error_member(answer, "ran", text, sizeof(text));
	return text;
}

bool
stream_is_whole(const answer_t *answer, int n)
{
	const char *at = answer->body->str;
	int index = 0;

	while ((at = strstr(at, "data: ")) != NULL) {
		at += strlen("data: ");
		if (g_str_has_prefix(at, "[DONE]"))
			return index == n && answer->whole &&
			       strstr(at, "data: ") == NULL;
		if (!g_str_has_prefix(at, "{\"index\":") ||
		    strtol(at + strlen("{\"index\":"), NULL, 10) != index++)
			return false;
	}
	return false;
}

double
cluster_withdrawal(cluster_t *cluster, void (*set)(bool withdrawn))
{
	static const char body[] =
	    "{\"prompt\":\"long\",\"max_tokens\":4000,\"stream\":true}";
	http_task_t *tasks[NODE_INSTANCES];
	gint64 published_at;
	double slowest = 0;

	for (int node = 0; node < NODE_INSTANCES; node++) {
		WAIT_UNTIL(
		    probe_status(cluster, (node_t)node, DESK_KEY) == 200);
		tasks[node] =
		    http_start(node_url(cluster, (node_t)node, GENERATE),
			DESK_KEY, NULL, body);
	}
	for (int node = 0; node < NODE_INSTANCES; node++)
		WAIT_UNTIL(http_task_bytes(tasks[node]) > 200);
	published_at = g_get_monotonic_time();
	set(true);
	for (int node = 0; node < NODE_INSTANCES; node++) {
		answer_t *answer = http_join(tasks[node]);

		ck_assert_ptr_nonnull(
		    strstr(answer->body->str, "key_withdrawn"));
		slowest = MAX(slowest,
		    (double)(answer->last_byte_at - published_at) / 1e6);
		answer_free(answer);
		ck_assert_int_eq(
		    probe_status(cluster, (node_t)node, DESK_KEY), 401);
	}
	return slowest;
}
