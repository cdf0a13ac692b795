#include "cyclamensailctl/command.h"

int
drain_run(int argc, char **argv)
{
	int n_urls = command_parse(argc, argv, "URL",
	    "Tells an instance to take no new work and to finish what it has.",
	    NULL);

	if (n_urls < 0)
		return EXIT_USAGE;
	if (n_urls != 1)
		return command_usage_error(
		    argv[0], "%d URLs are given instead of 1", n_urls);
	return instance_call(argv[0], "POST", argv[1], "/v1/drain", NULL);
}
