#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "nutmegpick/commands.h"

static const struct command commands[] = {
	{ "check", "check an object set", command_check },
	{ "query", "send a query", command_query },
	{ "publish", "publish an object set", command_publish },
	{ "diff", "compare a set with the version in force", command_diff },
	{ "show", "print a published set", command_show },
	{ "history", "list published versions", command_history },
	{ "status", "print what is in force", command_status },
	{ "explain", "print what logs say of a request", command_explain },
	{ "explain-route", "ask a host where a request would go",
	  command_explain_route },
	{ "replay", "check a trace of requests", command_replay },
};

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: nutmegpick COMMAND [OPTION...]\n\nCommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-13s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\n'nutmegpick COMMAND --help' lists the options.\n");
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return EXIT_FAILURE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		print_usage(stdout);
		return EXIT_SUCCESS;
	}
	if (!strcmp(argv[1], "--version")) {
		printf("nutmegpick 0.1.0\n");
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "nutmegpick: unknown command \"%s\"\n", argv[1]);
	print_usage(stderr);
	return EXIT_FAILURE;
}
