#include "cyclamensailctl/command.h"

int
counters_run(int argc, char **argv)
{
	int n_urls = command_parse(argc, argv, "URL",
	    "Prints the counters of an instance, one a line.", NULL);

	if (n_urls < 0)
		return EXIT_USAGE;
	if (n_urls != 1)
		return command_usage_error(
		    argv[0], "%d URLs are given instead of 1", n_urls);
	return instance_call(argv[0], "GET", argv[1], "/metrics", NULL);
}
