#ifndef NUTMEGPICK_COMMANDS_H
#define NUTMEGPICK_COMMANDS_H

/** Exit statuses of the commands that use the store or ask a host. */
enum command_status {
	/** Accepted, shown, or no difference. */
	STATUS_OK = 0,
	/** Refused, differences found, or nothing published. */
	STATUS_REFUSED = 1,
	/** Outcome of a publish unknown. */
	STATUS_UNKNOWN = 2,
	/** The store or host does not answer, or its answer is not usable. */
	STATUS_STORE = 3,
	/** The set at PATH has faults. */
	STATUS_FAULTS = 4,
	/** The host that was asked has no configuration. */
	STATUS_UNREADY = 5,
	/** The host that was asked is stopping. */
	STATUS_STOPPING = 6,
};

/** Subcommand; run() returns the exit status of the process. */
struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** nutmegpick check PATH: checks an object set and prints every fault. */
int command_check(int argc, char **argv);

/** nutmegpick query SERVICE JSON: sends a query and prints the answer. */
int command_query(int argc, char **argv);

/** nutmegpick publish PATH: publishes an object set. */
int command_publish(int argc, char **argv);

/** nutmegpick diff PATH: compares an object set with the version in force. */
int command_diff(int argc, char **argv);

/** nutmegpick show: prints a published set. */
int command_show(int argc, char **argv);

/** nutmegpick history: lists published versions, newest first. */
int command_history(int argc, char **argv);

/** nutmegpick status: prints the record of the version in force. */
int command_status(int argc, char **argv);

/** nutmegpick explain ID FILE...: prints the log lines of a request. */
int command_explain(int argc, char **argv);

/** nutmegpick explain-route HOST PATH: asks a host where a request goes. */
int command_explain_route(int argc, char **argv);

/** nutmegpick replay TRACE: runs a trace and checks its expected outcomes. */
int command_replay(int argc, char **argv);

#endif
