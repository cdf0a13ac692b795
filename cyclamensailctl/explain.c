#include "cyclamensailctl/command.h"

int
explain_run(int argc, char **argv)
{
	g_autofree char *team = NULL;
	g_autofree char *service = NULL;
	g_autofree char *team_text = NULL;
	g_autofree char *service_text = NULL;
	g_autofree char *query = NULL;
	const GOptionEntry entries[] = {
	    {"team", 't', 0, G_OPTION_ARG_STRING, &team,
		"team that would send the request", "TEAM"},
	    {"service", 's', 0, G_OPTION_ARG_STRING, &service,
		"service that it would ask for", "SERVICE"},
	    G_OPTION_ENTRY_NULL,
	};
	int n_urls = command_parse(argc, argv, "URL",
	    "Prints what an instance would decide on a request, and why.",
	    entries);

	if (n_urls < 0)
		return EXIT_USAGE;
	if (n_urls != 1)
		return command_usage_error(
		    argv[0], "%d URLs are given instead of 1", n_urls);
	if (team == NULL || service == NULL)
		return command_usage_error(argv[0], "--%s is missing",
		    team == NULL ? "team" : "service");
	team_text = g_uri_escape_string(team, NULL, FALSE);
	service_text = g_uri_escape_string(service, NULL, FALSE);
	query = g_strdup_printf("team=%s&service=%s", team_text, service_text);
	return instance_call(argv[0], "GET", argv[1], "/v1/explain", query);
}
