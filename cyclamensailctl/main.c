#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "cyclamensailctl/command.h"

static const command_t commands[] = {
    {"check", "check lists and settings before they are published", check_run},
    {"diff", "show what a change of the lists does to whom", diff_run},
    {"split", "divide a plans list into parts", split_run},
    {"hash-key", "print the hash of a key for the plans list", hash_key_run},
    {"counters", "print the counters of an instance", counters_run},
    {"explain", "print what an instance would decide on a request",
	explain_run},
    {"drain", "let an instance finish its work and take no more", drain_run},
    {"bench", "send a bounded load and report its latency", bench_run},
};

static void
usage_print(FILE *stream)
{
	fputs("usage: cyclamensailctl COMMAND [OPTION...] [ARGUMENT...]\n\n",
	    stream);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stream, "  %-9s %s\n", commands[i].name,
		    commands[i].summary);
	fputs("\nEach command explains itself with --help.\n", stream);
}

int
main(int argc, char **argv)
{
	setlocale(LC_ALL, "");
	if (argc < 2) {
		usage_print(stderr);
		return EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		usage_print(stdout);
		return EXIT_OK;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "cyclamensailctl: unknown command %s; see --help\n",
	    argv[1]);
	return EXIT_USAGE;
}
