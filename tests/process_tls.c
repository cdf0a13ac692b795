#include <signal.h>
#include <string.h>

#include "cluster.h"

#define STREAM_200 "{\"prompt\":\"x\",\"max_tokens\":200,\"stream\":true}"
#define SHORT "{\"prompt\":\"x\",\"max_tokens\":5}"

static cluster_t *cluster;

static char *
file_path(const char *name)
{
	return g_build_filename(cluster->folder, name, NULL);
}

/* Makes a self-signed certificate for the loopback address. */
static void
pair_make(const char *certificate, const char *key)
{
	g_autofree char *certificate_path = file_path(certificate);
	g_autofree char *key_path = file_path(key);
	const char *const argv[] = {"openssl", "req", "-x509", "-newkey", "ec",
	    "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes", "-days", "2",
	    "-subj", "/CN=instance", "-addext", "subjectAltName=IP:127.0.0.1",
	    "-keyout", key_path, "-out", certificate_path, NULL};
	int status = -1;

	ck_assert(g_spawn_sync(NULL, (char **)argv, NULL,
	    G_SPAWN_SEARCH_PATH | G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, NULL,
	    NULL, &status, NULL));
	ck_assert_int_eq(status, 0);
}

/* Replaces a file of the pair in use. */
static void
file_copy(const char *from, const char *to)
{
	g_autofree char *source = file_path(from);
	g_autofree char *target = file_path(to);
	g_autofree char *text = NULL;
	size_t len;

	ck_assert(g_file_get_contents(source, &text, &len, NULL));
	ck_assert(g_file_set_contents(target, text, (gssize)len, NULL));
}

static size_t
log_count(node_t node, const char *event)
{
	g_autofree char *name = g_strdup_printf("%s.log", node_names[node]);
	g_autofree char *path = file_path(name);
	g_autofree char *text = NULL;
	g_auto(GStrv) parts = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	parts = g_strsplit(text, event, -1);
	return g_strv_length(parts) - 1;
}

static long
status_with(const char *authority, node_t node, const char *path)
{
	g_autofree char *file = authority ? file_path(authority) : NULL;
	const char *kept = http_authority;
	answer_t *answer;
	long status;

	http_authority = file;
	answer =
	    http_call(node_url(cluster, node, "%s", path), NULL, NULL, NULL);
	http_authority = kept;
	status = answer->status;
	answer_free(answer);
	return status;
}

/* Guards against an instance that serves callers without TLS. */
TEST(only_https_is_served)
{
	answer_t *answer = http_call(
	    node_url(cluster, NODE_S1, GENERATE), DESK_KEY, NULL, STREAM_200);
	g_autofree char *plain = g_strdup_printf(
	    "http://127.0.0.1:%d/readyz", cluster->ports[NODE_S1]);

	ck_assert_int_eq(answer->status, 200);
	ck_assert(answer->whole);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "data: [DONE]"));
	answer_free(answer);
	answer = http_call(plain, NULL, NULL, NULL);
	ck_assert_int_ne(answer->status, 200);
	answer_free(answer);
	ck_assert_int_eq(status_with(NULL, NODE_S1, "/readyz"), 0);
}

/* Guards against a forward that fails, or is not verified, over https. */
TEST(forward_is_verified)
{
	json_int_t before = target_count(cluster, NODE_R1, "requests");
	const char *path = "/v1/services/tag-registry/trees/oak";
	answer_t *answer = http_call(
	    node_url(cluster, NODE_Z1, "%s", path), DESK_KEY, NULL, NULL);

	ck_assert_int_eq(answer->status, 200);
	answer_free(answer);
	ck_assert_int_eq(
	    target_count(cluster, NODE_R1, "requests"), before + 1);
	/* z2 trusts the system's authorities only. */
	answer = http_call(
	    node_url(cluster, NODE_Z2, "%s", path), DESK_KEY, NULL, NULL);
	ck_assert_int_eq(answer->status, 503);
	ck_assert_str_eq(error_code(answer), "peer_unreachable");
	ck_assert_str_eq(error_ran(answer), "not_run");
	answer_free(answer);
	ck_assert_int_eq(
	    target_count(cluster, NODE_R1, "requests"), before + 1);
}

/* Guards against a broken pair that ends the service. */
TEST(broken_pair_is_refused)
{
	static const char *const broken[] = {"other.key", "s1.log"};

	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
		size_t before = log_count(NODE_S1, "certificate_refused");

		file_copy(broken[i], "tls.key");
		node_signal(cluster, NODE_S1, SIGHUP);
		WAIT_UNTIL(
		    log_count(NODE_S1, "certificate_refused") == before + 1);
		ck_assert_int_eq(
		    status_with("first.pem", NODE_S1, "/readyz"), 200);
	}
	file_copy("first.key", "tls.key");
}

/* Guards against a new certificate that breaks open streams or is not used. */
TEST(new_pair_is_used_by_new_connections)
{
	http_task_t *stream = http_start(
	    node_url(cluster, NODE_S1, GENERATE), DESK_KEY, NULL, STREAM_200);
	g_autoptr(answer_t) answer = NULL;

	WAIT_UNTIL(http_task_bytes(stream) > 0);
	ck_assert_int_eq(status_with("other.pem", NODE_S1, "/readyz"), 0);
	file_copy("other.pem", "tls.pem");
	file_copy("other.key", "tls.key");
	node_signal(cluster, NODE_S1, SIGHUP);
	WAIT_UNTIL(log_count(NODE_S1, "certificate_reloaded") == 1);
	ck_assert_int_eq(status_with("other.pem", NODE_S1, "/readyz"), 200);
	ck_assert_int_eq(status_with("first.pem", NODE_S1, "/readyz"), 0);
	answer = http_join(stream);
	ck_assert(answer->whole);
	ck_assert_ptr_nonnull(strstr(answer->body->str, "\"index\":199"));
	ck_assert_ptr_nonnull(strstr(answer->body->str, "data: [DONE]"));
}

static void
tls_cluster_start(void)
{
	static const node_t nodes[] = {
	    NODE_PLATFORM, NODE_W1, NODE_R1, NODE_S1, NODE_Z1, NODE_Z2};
	static char *authority;

	cluster = cluster_prepare();
	cluster->tls = true;
	cluster->token_ms = 10;
	cluster->no_authority[NODE_Z2] = true;
	cluster->absent[NODE_S2] = true;
	cluster->absent[NODE_W2] = cluster->absent[NODE_W3] = true;
	cluster->absent[NODE_R2] = true;
	cluster_publish_fleet(cluster);
	pair_make("first.pem", "first.key");
	pair_make("other.pem", "other.key");
	file_copy("first.pem", "tls.pem");
	file_copy("first.key", "tls.key");
	authority = file_path("first.pem");
	http_authority = authority;
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		node_start(cluster, nodes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		if (nodes[i] != NODE_PLATFORM)
			node_wait_ready(cluster, nodes[i]);
	}
}

/* One cluster for all: the order of the tests matters. */
CLUSTER_MAIN("tls", tls_cluster_start)
