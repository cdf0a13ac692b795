/* Command "bench": options and their bounds. */
#include "bench.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <string.h>

#include "cyclamensailctl/command.h"

/* Upper bounds, so that a mistyped number can't run for days. */
#define REQUESTS_LIMIT 10000000
#define CONCURRENCY_LIMIT 10000
#define RATE_LIMIT 1000000.0
#define SECONDS_LIMIT 3600.0
#define BODY_LIMIT (16 << 20)
#define KEY_LIMIT 4096

/* Longest time that a run with a number of requests only may take. */
#define DURATION_DEFAULT_S 300.0

/* Options as given. */
typedef struct {
	char *key_file;
	char *body;
	char *body_file;
	char *gnuplot;
	gint body_size;
	gint max_tokens;
	gint64 requests;
	gint64 concurrency;
	gint64 seed;
	gdouble rate;
	gdouble duration;
	gdouble timeout;
	gdouble hold;
	gboolean stream;
	gboolean tickets;
	gboolean allow_remote;
	gboolean json;
} options_t;

static const char *const description =
    "Sends a bounded number of requests and reports their latency, from the "
    "time at\nwhich each one was due. At least one of --requests and "
    "--duration is needed.\nWithout --rate, each of the --concurrency callers "
    "sends its next request when\nthe last one has ended.";

static int
options_parse(int argc, char **argv, options_t *o)
{
	const GOptionEntry entries[] = {
	    {"key-file", 'k', 0, G_OPTION_ARG_FILENAME, &o->key_file,
		"file with the caller's key; - is standard input", "FILE"},
	    {"body", 'b', 0, G_OPTION_ARG_STRING, &o->body,
		"body of a POST; without a body GET is sent", "TEXT"},
	    {"body-file", 0, 0, G_OPTION_ARG_FILENAME, &o->body_file,
		"file with the body", "FILE"},
	    {"body-size", 0, 0, G_OPTION_ARG_INT, &o->body_size,
		"make a body with a prompt of so many bytes", "BYTES"},
	    {"max-tokens", 0, 0, G_OPTION_ARG_INT, &o->max_tokens,
		"tokens that a made body asks for; default 16", "N"},
	    {"requests", 'n', 0, G_OPTION_ARG_INT64, &o->requests,
		"requests to send", "N"},
	    {"concurrency", 'c', 0, G_OPTION_ARG_INT64, &o->concurrency,
		"requests in progress at a time; default 1", "N"},
	    {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &o->rate,
		"arrivals a second, at random times", "RATE"},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &o->seed,
		"seed of the arrival times; default 1", "N"},
	    {"duration", 'd', 0, G_OPTION_ARG_DOUBLE, &o->duration,
		"start no request after this time; default 300", "SECONDS"},
	    {"timeout", 0, 0, G_OPTION_ARG_DOUBLE, &o->timeout,
		"end a request after this time; default 30", "SECONDS"},
	    {"hold", 0, 0, G_OPTION_ARG_DOUBLE, &o->hold,
		"keep idle connections open at the end", "SECONDS"},
	    {"stream", 's', 0, G_OPTION_ARG_NONE, &o->stream,
		"the answer is a stream of events", NULL},
	    {"tickets", 't', 0, G_OPTION_ARG_NONE, &o->tickets,
		"each request is an order and gets a ticket first", NULL},
	    {"allow-remote", 0, 0, G_OPTION_ARG_NONE, &o->allow_remote,
		"allow addresses other than loopback", NULL},
	    {"json", 'j', 0, G_OPTION_ARG_NONE, &o->json,
		"print the report as one line of JSON", NULL},
	    {"gnuplot", 0, 0, G_OPTION_ARG_FILENAME, &o->gnuplot,
		"write data for scripts/plot-latency", "FILE"},
	    G_OPTION_ENTRY_NULL,
	};

	return command_parse(argc, argv, "URL...", description, entries);
}

/* Returns what is wrong with the options, or NULL. */
static const char *
bounds_fault(const options_t *o)
{
	int bodies =
	    (o->body != NULL) + (o->body_file != NULL) + (o->body_size > 0);
	/* Each comparison is false for NaN. */
	const struct {
		bool ok;
		const char *fault;
	} rules[] = {
	    {o->requests >= 0 && o->requests <= REQUESTS_LIMIT,
		"--requests must be from 1 to 10000000"},
	    {o->duration >= 0 && o->duration <= SECONDS_LIMIT,
		"--duration must be up to 3600 seconds"},
	    {o->requests != 0 || o->duration > 0,
		"the run has no bound; give --requests or --duration"},
	    {o->concurrency >= 1 && o->concurrency <= CONCURRENCY_LIMIT,
		"--concurrency must be from 1 to 10000"},
	    {o->rate >= 0 && o->rate <= RATE_LIMIT,
		"--rate must be from 0 to 1000000 a second"},
	    {o->timeout >= 0.001 && o->timeout <= SECONDS_LIMIT,
		"--timeout must be from 0.001 to 3600 seconds"},
	    {o->hold >= 0 && o->hold <= SECONDS_LIMIT,
		"--hold must be from 0 to 3600 seconds"},
	    {o->body_size >= 0 && o->body_size <= BODY_LIMIT,
		"--body-size must be from 1 to 16777216"},
	    {o->max_tokens >= 1, "--max-tokens must be at least 1"},
	    {bodies <= 1, "give one of --body, --body-file and --body-size"},
	    {!o->tickets || bodies > 0,
		"--tickets needs a body, because an order is a POST"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		if (!rules[i].ok)
			return rules[i].fault;
	}
	return NULL;
}

/* "localhost", which libcurl itself resolves to loopback, and addresses. */
static bool
host_is_loopback(const char *host)
{
	struct in_addr address;

	if (inet_pton(AF_INET, host, &address) == 1)
		return g_ntohl(address.s_addr) >> 24 == 127;
	return g_ascii_strcasecmp(host, "localhost") == 0 ||
	       strcmp(host, "[::1]") == 0;
}

/* Returns what is wrong with a URL, or NULL. */
static const char *
url_fault(const char *url, bool allow_remote)
{
	CURLU *parts = curl_url();
	const char *fault = NULL;
	char *host = NULL;
	char *part = NULL;

	if (curl_url_set(parts, CURLUPART_URL, url, CURLU_GUESS_SCHEME) != 0 ||
	    curl_url_get(parts, CURLUPART_HOST, &host, 0) != 0)
		fault = "is no URL, such as http://127.0.0.1:8101/healthz";
	else if (curl_url_get(parts, CURLUPART_SCHEME, &part, 0) != 0 ||
		 !g_str_has_prefix(part, "http"))
		fault = "must begin with http:// or https://";
	else if (!allow_remote && !host_is_loopback(host))
		fault = "is not a loopback address; give --allow-remote if "
			"its operator agrees to the load";
	curl_free(host);
	curl_free(part);
	curl_url_cleanup(parts);
	return fault;
}

/* Reads the key; the caller frees it. */
static char *
key_read(const char *path, GError **error)
{
	char *text = NULL;
	size_t len = 0;

	if (strcmp(path, "-") == 0) {
		text = g_malloc0(KEY_LIMIT + 3);
		len = fread(text, 1, KEY_LIMIT + 2, stdin);
	} else if (!g_file_get_contents(path, &text, &len, error)) {
		return NULL;
	}
	g_strchomp(text);
	if (text[0] != '\0' && strlen(text) <= KEY_LIMIT &&
	    strpbrk(text, " \t\r\n") == NULL && g_str_is_ascii(text))
		return text;
	g_free(text);
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
	    "the key is empty, too long or has spaces; write it on one line");
	return NULL;
}

static char *
body_make(const options_t *o)
{
	g_autofree char *prompt = g_strnfill((gsize)o->body_size, 'x');

	return g_strdup_printf(
	    "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}", prompt,
	    o->max_tokens, o->stream ? "true" : "false");
}

static bool
inputs_read(const options_t *o, bench_plan_t *plan, GError **error)
{
	if (o->key_file != NULL) {
		plan->key = key_read(o->key_file, error);
		if (plan->key == NULL)
			return false;
	}
	if (o->body_file != NULL)
		return g_file_get_contents(
		    o->body_file, &plan->body, &plan->body_len, error);
	if (o->body_size > 0)
		plan->body = body_make(o);
	else
		plan->body = g_strdup(o->body);
	plan->body_len = plan->body ? strlen(plan->body) : 0;
	return true;
}

static int
bench_report(
    const options_t *o, const bench_plan_t *plan, const bench_result_t *result)
{
	if (o->json)
		bench_report_json(plan, result, stdout);
	else
		bench_report_text(plan, result, stdout);
	if (o->gnuplot != NULL && !bench_report_gnuplot(result, o->gnuplot)) {
		fprintf(stderr, "cyclamensailctl bench: %s: %s\n", o->gnuplot,
		    g_strerror(errno));
		return EXIT_PROBLEM;
	}
	return result->succeeded > 0 ? EXIT_OK : EXIT_PROBLEM;
}

static int
bench_start(const options_t *o, bench_plan_t *plan)
{
	GError *error = NULL;
	bench_result_t result;
	int status = EXIT_PROBLEM;

	plan->requests = o->requests;
	plan->concurrency = o->concurrency;
	plan->rate = o->rate;
	plan->seed = (uint64_t)o->seed;
	plan->duration =
	    (time_us_t)((o->duration > 0 ? o->duration : DURATION_DEFAULT_S) *
			US_PER_S);
	plan->timeout = (time_us_t)(o->timeout * US_PER_S);
	plan->hold = (time_us_t)(o->hold * US_PER_S);
	plan->stream = o->stream;
	plan->tickets = o->tickets;
	if (!inputs_read(o, plan, &error))
		return command_problem(error);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (bench_send(plan, &result))
		status = bench_report(o, plan, &result);
	else
		fputs("cyclamensailctl bench: libcurl can't make a handle; "
		      "lower --concurrency\n",
		    stderr);
	bench_result_clear(&result);
	curl_global_cleanup();
	return status;
}

static int
bench_check(const char *command, const options_t *o, int n_urls, char **urls)
{
	const char *fault = bounds_fault(o);

	if (fault != NULL)
		return command_usage_error(command, "%s", fault);
	if (n_urls == 0)
		return command_usage_error(command, "no URL is given");
	for (int i = 0; i < n_urls; i++) {
		fault = url_fault(urls[i], o->allow_remote);
		if (fault != NULL)
			return command_usage_error(
			    command, "%s %s", urls[i], fault);
	}
	return EXIT_OK;
}

int
bench_run(int argc, char **argv)
{
	options_t o = {
	    .concurrency = 1, .seed = 1, .timeout = 30, .max_tokens = 16};
	int n_urls = options_parse(argc, argv, &o);
	bench_plan_t plan = {.urls = argv + 1, .n_urls = n_urls};
	int status = EXIT_USAGE;

	if (n_urls >= 0)
		status = bench_check(argv[0], &o, n_urls, argv + 1);
	if (status == EXIT_OK)
		status = bench_start(&o, &plan);
	g_free(plan.key);
	g_free(plan.body);
	g_free(o.key_file);
	g_free(o.body);
	g_free(o.body_file);
	g_free(o.gnuplot);
	return status;
}
