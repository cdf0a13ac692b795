#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "common/log.h"
#include "config/file.h"
#include "config/gateway_settings.h"
#include "config/settings.h"
#include "daemon.h"
#include "gateway/gateway.h"

#define PROGRAM "cyclamensail"

/* Interval at which a draining instance checks whether it may stop. */
#define DRAIN_POLL_NS 50000000L

/*
 * An idle draining instance keeps running for this long, so that the others
 * receive its state and the newest lists before it stops answering.
 */
#define DRAIN_LINGER_POLLS 20

/*
 * Longest wait for the fleet list to remove the instance. An instance that
 * stops earlier counts as crashed: its share is unused until it is fenced.
 */
#define DRAIN_RELEASE_POLLS 100

typedef struct {
	char *settings;
	char *settings_env;
	gboolean check;
	gboolean version;
} arguments_t;

static bool
arguments_read(int *argc, char ***argv, arguments_t *arguments)
{
	GOptionEntry entries[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &arguments->settings,
		"settings file, see cyclamensail-settings(5)", "FILE"},
	    {"settings-env", 'e', 0, G_OPTION_ARG_STRING,
		&arguments->settings_env,
		"environment variable that holds the path of the settings file",
		"NAME"},
	    {"check", 'c', 0, G_OPTION_ARG_NONE, &arguments->check,
		"check the settings and exit", NULL},
	    {"version", 'v', 0, G_OPTION_ARG_NONE, &arguments->version,
		"print the version and exit", NULL},
	    G_OPTION_ENTRY_NULL};
	GOptionContext *context =
	    g_option_context_new("- entry instance of the inference gateway");
	g_autoptr(GError) error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!ok) {
		fprintf(
		    stderr, "%s: %s; see --help\n", PROGRAM, error->message);
		return false;
	}
	if (arguments->settings == NULL && arguments->settings_env != NULL)
		arguments->settings =
		    g_strdup(g_getenv(arguments->settings_env));
	if (!arguments->version && (arguments->settings == NULL || *argc > 1)) {
		fprintf(stderr,
		    "%s: specify one settings file with --settings or "
		    "--settings-env\n",
		    PROGRAM);
		return false;
	}
	return true;
}

static void
signals_block(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* Waits until running requests have ended; a second signal stops at once. */
static int
drain(daemon_t *daemon, const sigset_t *signals)
{
	struct timespec poll = {0, DRAIN_POLL_NS};
	int idle_polls = 0;
	int released_polls = 0;

	daemon_drain(daemon);
	log_event(LOG_NOTICE, "drain", LOG_S("cause", "signal"));
	while (idle_polls < DRAIN_LINGER_POLLS ||
	       (released_polls < DRAIN_LINGER_POLLS &&
		   idle_polls < DRAIN_RELEASE_POLLS)) {
		int signal_number = sigtimedwait(signals, NULL, &poll);

		if (signal_number == SIGTERM || signal_number == SIGINT) {
			log_event(LOG_WARNING, "stop",
			    LOG_S("cause", "second signal"));
			_exit(EXIT_FAILURE);
		}
		idle_polls = daemon_is_idle(daemon) ? idle_polls + 1 : 0;
		released_polls =
		    daemon_is_released(daemon) ? released_polls + 1 : 0;
	}
	if (released_polls == 0)
		log_event(LOG_WARNING, "share_not_released",
		    LOG_S("remedy", "mark the instance as leaving in the fleet "
				    "list before it is stopped"));
	return EXIT_SUCCESS;
}

static int
serve(const settings_t *settings)
{
	g_autoptr(GError) error = NULL;
	sigset_t signals;
	daemon_t *daemon;
	int signal_number = 0;
	int status;

	signals_block(&signals);
	daemon = daemon_create(settings, &error);
	if (daemon == NULL) {
		log_event(
		    LOG_ERR, "start_failed", LOG_S("error", error->message));
		return EXIT_FAILURE;
	}
	log_event(LOG_NOTICE, "started", LOG_S("instance", settings->instance),
	    LOG_S("zone", settings->zone), LOG_S("http", settings->http),
	    LOG_S("peer", settings->peer));
	while (signal_number != SIGTERM && signal_number != SIGINT) {
		sigwait(&signals, &signal_number);
		if (signal_number == SIGHUP)
			daemon_reload_certificate(daemon);
	}
	status = drain(daemon, &signals);
	daemon_destroy(daemon);
	log_event(LOG_NOTICE, "stopped", LOG_S("instance", settings->instance));
	return status;
}

/* Runs an instance on a platform; with check, only reads its settings. */
static int
gateway_main(const char *path, bool check)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(gateway_settings_t) settings =
	    gateway_settings_load(path, &error);

	if (settings == NULL) {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		return EXIT_FAILURE;
	}
	if (check)
		return EXIT_SUCCESS;
	log_open(PROGRAM, settings->log_level);
	if (gateway_run(settings, path, &error) == 0)
		return EXIT_SUCCESS;
	fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
	return EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	arguments_t arguments = {NULL, NULL, FALSE, FALSE};
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	settings_t *settings;
	size_t len;
	int status = EXIT_SUCCESS;

	if (!arguments_read(&argc, &argv, &arguments))
		return 2;
	if (arguments.version) {
		printf("%s %s\n", PROGRAM, VERSION);
		return EXIT_SUCCESS;
	}
	if (sodium_init() < 0) {
		fprintf(
		    stderr, "%s: libsodium can't get random bytes\n", PROGRAM);
		return EXIT_FAILURE;
	}
	if (file_read(arguments.settings, &text, &len, &error) &&
	    gateway_settings_present(text)) {
		status = gateway_main(arguments.settings, arguments.check);
		g_free(arguments.settings);
		return status;
	}
	g_clear_error(&error);
	settings = settings_load(arguments.settings, &error);
	g_free(arguments.settings);
	if (settings == NULL) {
		fprintf(stderr, "%s: %s\n", PROGRAM, error->message);
		return EXIT_FAILURE;
	}
	log_open(PROGRAM, settings->log_level);
	if (!arguments.check)
		status = serve(settings);
	settings_free(settings);
	return status;
}
