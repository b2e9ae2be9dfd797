#ifndef NUTMEGPICK_COMMANDS_H
#define NUTMEGPICK_COMMANDS_H

/** Subcommand; returns the process's exit status. */
struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** nutmegpick check PATH: checks an object set and prints every fault. */
int command_check(int argc, char **argv);

/** nutmegpick query SERVICE JSON: sends a query and prints the answer. */
int command_query(int argc, char **argv);

/** nutmegpick replay TRACE: checks the outcomes that a trace states. */
int command_replay(int argc, char **argv);

#endif
