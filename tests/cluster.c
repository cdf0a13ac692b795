#include "cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

const char *const node_names[NODE_COUNT] = {
    "s1", "s2", "z1", "z2", "w1", "w2", "w3", "r1", "r2", "platform"};

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

/* Reserves free ports by binding to port 0; all are held until chosen. */
static void
ports_choose(int *ports, size_t count)
{
	int *fds = g_new(int, count);

	for (size_t i = 0; i < count; i++) {
		struct sockaddr_in address = {.sin_family = AF_INET,
		    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
		socklen_t size = sizeof(address);

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(
		    bind(fds[i], (struct sockaddr *)&address, size), 0);
		getsockname(fds[i], (struct sockaddr *)&address, &size);
		ports[i] = ntohs(address.sin_port);
	}
	for (size_t i = 0; i < count; i++)
		close(fds[i]);
	g_free(fds);
}

/* Replaces a file in one step, so that no reader sees half of it. */
static void
file_publish(cluster_t *cluster, const char *name, const char *text)
{
	g_autofree char *path = g_build_filename(cluster->folder, name, NULL);
	g_autoptr(GError) error = NULL;
	bool written = g_file_set_contents(path, text, -1, &error);

	ck_assert_msg(written, "%s", written ? "" : error->message);
}

static void
key_append(GString *text, const char *id, const char *key)
{
	g_autofree char *hash =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	g_string_append_printf(
	    text, "      - { id: %s, sha256: %s }\n", id, hash);
}

void
cluster_publish_plans(cluster_t *cluster)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\nteams:\n",
	    ++cluster->versions[0]);
	g_string_append(text,
	    "  - name: parish-nitra\n    plan: volunteer\n    home: stred\n"
	    "    keys:\n");
	key_append(text, "k1", PARISH_KEY);
	g_string_append(
	    text, "  - name: tag-desk\n    plan: desk\n    keys:\n");
	if (!cluster->desk_key_withdrawn)
		key_append(text, "k1", DESK_KEY);
	key_append(text, "spare", "spare-desk-key");
	g_string_append(
	    text, "  - name: guest-house\n    plan: small\n    keys:\n");
	key_append(text, "k1", GUEST_KEY);
	g_string_append(text, cluster->extra_team->str);
	file_publish(cluster, "plans.yaml", text->str);
	g_string_free(text, TRUE);
}

/* Engines start with version v1 and role generate of model m. */
static char *
desired_text(const char *version)
{
	if (version == NULL)
		return g_strdup("");
	return g_strdup_printf(", fencing: refuse, desired: [\n"
			       "      { region: stred, model: m, version: %s, "
			       "adapters: [a], role: draft },\n"
			       "      { region: zapad, model: m, version: %s, "
			       "role: draft }]",
	    version, version);
}

void
cluster_publish_allowances(cluster_t *cluster)
{
	g_autofree char *desired = desired_text(cluster->engine_version);
	g_autofree char *text = g_strdup_printf(
	    "version: %" G_GUINT64_FORMAT "\n"
	    "weight_store: { region: zapad, loads_at_a_time: 2 }\n"
	    "zones:\n"
	    "  - { name: stred-1, region: stred, weight: 1 }\n"
	    "  - { name: zapad-1, region: zapad, weight: 1 }\n"
	    "services:\n"
	    "  - { name: epitaph-writer, kind: engine%s }\n"
	    "  - { name: tag-registry, kind: plain, orders: [/orders] }\n"
	    "  - { name: opening-hours, kind: plain, open: true }\n"
	    "plans:\n"
	    "  - { name: volunteer, rate: 100000, burst: 400000, priority: 1,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred] }] }\n"
	    "  - { name: desk, rate: 100000, burst: 400000, priority: 0,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred, zapad] "
	    "},\n"
	    "            { service: tag-registry, regions: [stred, zapad] }] "
	    "}\n"
	    "  - { name: small, rate: %d, burst: %d, priority: 2,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred, zapad] }] "
	    "}\n",
	    ++cluster->versions[1], desired, cluster->small_rate,
	    cluster->small_burst);

	file_publish(cluster, "allowances.yaml", text);
}

static void
target_append(cluster_t *cluster, GString *text, node_t node, const char *zone,
    const char *service)
{
	if (cluster->absent[node])
		return;
	g_string_append_printf(text,
	    "  - { name: %s, zone: %s, service: %s, url: "
	    "\"http://127.0.0.1:%d\", slots: %d, state: %s }\n",
	    node_names[node], zone, service, cluster->ports[node],
	    cluster->engine_slots, cluster->leaving[node] ? "leaving" : "live");
}

void
cluster_publish_fleet(cluster_t *cluster)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\ninstances:\n",
	    ++cluster->versions[2]);
	for (int i = 0; i < NODE_INSTANCES; i++) {
		if (cluster->absent[i])
			continue;
		g_string_append_printf(text,
		    "  - { name: %s, zone: %s, http: 127.0.0.1:%d, peer: "
		    "127.0.0.1:%d, state: %s }\n",
		    node_names[i], i < NODE_Z1 ? "stred-1" : "zapad-1",
		    cluster->ports[i], cluster->peer_ports[i],
		    cluster->leaving[i] ? "leaving" : "live");
	}
	g_string_append(text, "targets:\n");
	target_append(cluster, text, NODE_W1, "stred-1", "epitaph-writer");
	target_append(cluster, text, NODE_W2, "stred-1", "epitaph-writer");
	target_append(cluster, text, NODE_W3, "zapad-1", "epitaph-writer");
	target_append(cluster, text, NODE_R1, "stred-1", "tag-registry");
	target_append(cluster, text, NODE_R2, "zapad-1", "tag-registry");
	file_publish(cluster, "fleet.yaml", text->str);
	g_string_free(text, TRUE);
}

static void
settings_write(cluster_t *cluster, node_t node)
{
	g_autofree char *name =
	    g_strdup_printf("%s-settings.yaml", node_names[node]);
	g_autofree char *text = g_strdup_printf(
	    "instance: %s\nzone: %s\nhttp: 127.0.0.1:%d\npeer: 127.0.0.1:%d\n"
	    "admin: 127.0.0.1:%d\n"
	    "platform: [\"http://127.0.0.1:%d\"]\nseeds: [\"127.0.0.1:%d\", "
	    "\"127.0.0.1:%d\"]\nfleet_secrets: "
	    "[0102030405060708090a0b0c0d0e0f10"
	    "1112131415161718191a1b1c1d1e1f20]\nlog_level: info\n",
	    node_names[node], node < NODE_Z1 ? "stred-1" : "zapad-1",
	    cluster->ports[node], cluster->peer_ports[node],
	    cluster->admin_ports[node], cluster->ports[NODE_PLATFORM],
	    cluster->peer_ports[NODE_S1], cluster->peer_ports[NODE_Z1]);

	if (cluster->tls) {
		g_autofree char *pair =
		    g_strdup_printf("tls: { certificate: %s/tls.pem, key: "
				    "%s/tls.key%s%s%s }\n",
			cluster->folder, cluster->folder,
			cluster->no_authority[node] ? "" : ", authority: ",
			cluster->no_authority[node] ? "" : cluster->folder,
			cluster->no_authority[node] ? "" : "/tls.pem");
		char *plain = text;

		text = g_strconcat(plain, pair, NULL);
		g_free(plain);
	}
	file_publish(cluster, name, text);
}

static pid_t
process_start(const char *log, char *const *argv)
{
	posix_spawn_file_actions_t actions;
	pid_t pid = -1;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDERR_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(
	    &actions, STDERR_FILENO, STDOUT_FILENO);
	ck_assert_int_eq(
	    posix_spawn(&pid, argv[0], &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	return pid;
}

void
node_start(cluster_t *cluster, node_t node)
{
	const char *build = g_getenv("CYCLAMENSAIL_BUILD");
	g_autofree char *log =
	    g_strdup_printf("%s/%s.log", cluster->folder, node_names[node]);
	g_autofree char *port = g_strdup_printf("%d", cluster->ports[node]);
	g_autofree char *slots = g_strdup_printf("%d", cluster->engine_slots);
	g_autofree char *token_ms = g_strdup_printf("%d", cluster->token_ms);
	g_autofree char *program = NULL;
	g_autofree char *settings = NULL;

	ck_assert_ptr_nonnull(build);
	if (node < NODE_INSTANCES) {
		program = g_build_filename(
		    build, "cyclamensail", "cyclamensail", NULL);
		settings = g_strdup_printf(
		    "%s/%s-settings.yaml", cluster->folder, node_names[node]);
		settings_write(cluster, node);
		cluster->pids[node] = process_start(
		    log, (char *[]){program, "--settings", settings, NULL});
	} else if (node == NODE_PLATFORM) {
		program =
		    g_build_filename(build, "fakes", "fake_platform", NULL);
		cluster->pids[node] = process_start(
		    log, (char *[]){program, port, cluster->folder, NULL});
	} else {
		program = g_build_filename(build, "fakes", "fake_target", NULL);
		cluster->pids[node] = process_start(
		    log, (char *[]){program, port, (char *)node_names[node],
			     slots, "5", token_ms, NULL});
	}
}

void
node_signal(cluster_t *cluster, node_t node, int signal_number)
{
	ck_assert_int_gt(cluster->pids[node], 0);
	kill(cluster->pids[node], signal_number);
}

int
node_wait(cluster_t *cluster, node_t node)
{
	int status = 0;

	WAIT_UNTIL(waitpid(cluster->pids[node], &status, WNOHANG) != 0);
	cluster->pids[node] = 0;
	return status;
}

static bool
node_answers(cluster_t *cluster, node_t node, const char *path)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "%s", path), NULL, NULL, NULL);
	bool ok = answer->status == 200;

	answer_free(answer);
	return ok;
}

void
node_wait_ready(cluster_t *cluster, node_t node)
{
	const char *path = "/record";

	if (node < NODE_INSTANCES)
		path = "/readyz";
	WAIT_UNTIL(node_answers(cluster, node, path));
}

cluster_t *
cluster_prepare(void)
{
	cluster_t *cluster = g_new0(cluster_t, 1);
	int ports[NODE_COUNT + 2 * NODE_INSTANCES];

	curl_global_init(CURL_GLOBAL_ALL);
	cluster->folder = g_dir_make_tmp("cyclamensail-XXXXXX", NULL);
	cluster->extra_team = g_string_new(NULL);
	cluster->engine_slots = 64;
	cluster->token_ms = 2;
	cluster->small_rate = 20;
	cluster->small_burst = 200;
	ports_choose(ports, G_N_ELEMENTS(ports));
	memcpy(cluster->ports, ports, sizeof(cluster->ports));
	memcpy(cluster->peer_ports, ports + NODE_COUNT,
	    sizeof(cluster->peer_ports));
	memcpy(cluster->admin_ports, ports + NODE_COUNT + NODE_INSTANCES,
	    sizeof(cluster->admin_ports));
	cluster_publish_allowances(cluster);
	cluster_publish_plans(cluster);
	cluster_publish_fleet(cluster);
	return cluster;
}

cluster_t *
cluster_create(void)
{
	cluster_t *cluster = cluster_prepare();

	for (int node = NODE_COUNT - 1; node >= 0; node--) {
		node_start(cluster, (node_t)node);
		if (node >= NODE_INSTANCES)
			node_wait_ready(cluster, (node_t)node);
	}
	for (int node = 0; node < NODE_INSTANCES; node++)
		node_wait_ready(cluster, (node_t)node);
	return cluster;
}

static void
folder_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		unlink(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	rmdir(path);
}

void
cluster_destroy(cluster_t *cluster)
{
	for (int node = 0; node < NODE_COUNT; node++) {
		if (cluster->pids[node] <= 0)
			continue;
		kill(cluster->pids[node], SIGCONT);
		kill(cluster->pids[node], SIGKILL);
		waitpid(cluster->pids[node], NULL, 0);
	}
	if (g_getenv("KEEP_LOGS") == NULL)
		folder_remove(cluster->folder);
	else
		fprintf(stderr, "logs: %s\n", cluster->folder);
	g_string_free(cluster->extra_team, TRUE);
	g_free(cluster->folder);
	g_free(cluster);
}

static const char *
node_scheme(const cluster_t *cluster, node_t node)
{
	return cluster->tls && node < NODE_INSTANCES ? "https" : "http";
}

const char *
node_url(const cluster_t *cluster, node_t node, const char *format, ...)
{
	static char urls[8][1024];
	static unsigned int next;
	char *url = urls[next++ % G_N_ELEMENTS(urls)];
	g_autofree char *path = NULL;
	va_list args;

	va_start(args, format);
	path = g_strdup_vprintf(format, args);
	va_end(args);
	g_snprintf(url, sizeof(urls[0]), "%s://127.0.0.1:%d%s",
	    node_scheme(cluster, node), cluster->ports[node], path);
	return url;
}

static size_t
body_receive(char *data, size_t size, size_t count, void *user)
{
	http_task_t *task = user;

	g_string_append_len(task->answer->body, data, (gssize)(size * count));
	task->answer->last_byte_at = g_get_monotonic_time();
	__atomic_add_fetch(&task->bytes, size * count, __ATOMIC_RELAXED);
	return size * count;
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
target_record(cluster_t *cluster, node_t node)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "/record"), NULL, NULL, NULL);
	json_t *record =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);

	ck_assert_msg(
	    record != NULL, "no record of target %s", node_names[node]);
	answer_free(answer);
	return record;
}

json_int_t
target_count(cluster_t *cluster, node_t node, const char *name)
{
	json_t *record = target_record(cluster, node);
	json_t *value = json_object_get(record, name);
	json_int_t count = json_is_array(value)
			       ? (json_int_t)json_array_size(value)
			       : json_integer_value(value);

	json_decref(record);
	return count;
}

void
node_control(cluster_t *cluster, node_t node, const char *setting)
{
	answer_t *answer = http_call(
	    node_url(cluster, node, "/control?%s", setting), NULL, NULL, "");

	ck_assert_int_eq(answer->status, 200);
	answer_free(answer);
}

long long
instance_counter(cluster_t *cluster, node_t node, const char *id)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d/metrics", cluster->admin_ports[node]);
	answer_t *answer = http_call(url, NULL, NULL, NULL);
	g_autofree char *line = g_strdup_printf("\n%s ", id);
	g_autofree char *text = g_strdup_printf("\n%s", answer->body->str);
	const char *at = strstr(text, line);
	long long value = at ? strtoll(at + strlen(line), NULL, 10) : -1;

	answer_free(answer);
	return value;
}

static const char *
error_member(const answer_t *answer, const char *name)
{
	static char text[128];
	json_t *json =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);
	const char *value = json_string_value(
	    json_object_get(json_object_get(json, "error"), name));

	g_strlcpy(text, value ? value : "", sizeof(text));
	json_decref(json);
	return text;
}

const char *
error_code(const answer_t *answer)
{
	return error_member(answer, "code");
}

const char *
error_ran(const answer_t *answer)
{
	return error_member(answer, "ran");
}

char *
ticket_take(cluster_t *cluster, node_t node)
{
	answer_t *answer = http_call(
	    node_url(cluster, node, "/v1/ticket"), DESK_KEY, NULL, NULL);
	json_t *json =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);
	char *ticket =
	    g_strdup(json_string_value(json_object_get(json, "ticket")));

	ck_assert_ptr_nonnull(ticket);
	json_decref(json);
	answer_free(answer);
	return ticket;
}
