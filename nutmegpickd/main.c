#include "nutmegpickd/host.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "common/errors.h"
#include "common/events.h"
#include "common/log_queue.h"
#include "nutmegpickd/route_service.h"
#include "nutmegpickd/store_thread.h"
#include "platform/settings.h"

#define EVENT_RING_SIZE 65536
/*
 * Limit of log lines at level info. A request writes about 600 bytes, so the
 * lines of about 100 requests a second are kept. Lines of failures are kept
 * beyond it.
 */
#define LOG_INFO_BYTES_PER_SECOND 65536

const char *argp_program_version = "nutmegpickd 0.1.0";

struct arguments {
	const char *settings_path;
	bool is_check_only;
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Read settings from FILE", 0 },
	{ "check-settings", 'c', NULL, 0,
	  "Check and print the settings, then exit", 0 },
	{ 0 },
};

static error_t handle_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 's':
		a->settings_path = arg;
		return 0;
	case 'c':
		a->is_check_only = true;
		return 0;
	case ARGP_KEY_END:
		if (!a->settings_path)
			a->settings_path = platform_settings_path();
		if (!a->settings_path)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	options, handle_option,
	NULL,	 "Query tier between callers and the leaves of many shards.",
	NULL,	 NULL,
	NULL,
};

static void print_faults(const struct fault_list *faults)
{
	for (size_t i = 0; i < faults->count; i++) {
		char *text = object_fault_format(&faults->items[i]);

		fprintf(stderr, "%s\n", text);
		free(text);
	}
}

static int load_objects(struct host *h)
{
	struct fault_list faults = { 0 };
	struct object_set *set;
	int ret;

	if (!h->settings.objects_path)
		return 0;
	ret = object_set_load(h->settings.objects_path, &set, &faults);
	if (ret) {
		print_faults(&faults);
		event_log(EV_SET_REFUSED, "code=E%d path=%s", -ret,
			  h->settings.objects_path);
		fault_list_clear(&faults);
		return ret;
	}
	while (host_send_event(h, (struct host_event){ .type = HOST_SET,
						       .set = set }))
		g_usleep(1000);
	return 0;
}

static void handle_request(void *ctx, struct http_exchange *x)
{
	struct host *h = ctx;
	struct host_event e = { .type = HOST_REQUEST, .exchange = x };
	struct origin o = { .exchange = x };

	if (host_send_event(h, e))
		answer_refuse(h, &o, "", -ERR_OVERLOAD, RUN_NOT_RUN, US_PER_S);
}

static void handle_reply(void *ctx, struct upstream_reply *reply)
{
	struct host *h = ctx;
	struct host_event e = { .type = HOST_REPLY, .reply = reply };

	/* Without its reply a call would stay open until the deadline. */
	while (host_send_event(h, e))
		g_usleep(100);
}

static void handle_free_hits(gpointer hits)
{
	json_decref(hits);
}

static int start_host(struct host *h)
{
	struct engine_options engine_options = {
		.clock = h->clock,
		.seed = (uint64_t)clock_wall(&h->clock),
		.ops = &query_engine_ops,
		.ctx = h,
		.domain = h->settings.domain,
		.requires_tenure = h->settings.listen_peer &&
				   h->settings.store_endpoints,
	};
	struct upstream_options upstream_options = {
		.clock = h->clock,
		.handle_reply = handle_reply,
		.ctx = h,
	};
	struct http_server_options server_options = {
		.address = h->settings.listen_http,
		.handle_request = handle_request,
		.ctx = h,
	};
	int ret;

	h->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	h->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	h->kept_hits = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, handle_free_hits);
	ret = ring_create(&h->events, EVENT_RING_SIZE);
	if (!ret)
		ret = engine_create(&h->engine, &engine_options);
	if (!ret)
		ret = upstream_create(&h->upstream, &upstream_options);
	if (!ret)
		ret = load_objects(h);
	if (ret)
		return ret;
	ret = peers_start(h);
	if (!ret && h->settings.store_endpoints)
		ret = store_thread_start(&h->store_thread, h);
	if (ret)
		return ret;
	pthread_create(&h->engine_thread, NULL, host_run_engine, h);
	ret = http_server_create(&h->server, &server_options);
	if (!ret) {
		http_server_set_keep_alive(h->server,
					   settings_keep_alive(&h->settings));
		event_log(EV_LISTEN, "address=%s port=%u",
			  h->settings.listen_http, http_server_port(h->server));
	}
	return ret;
}

static void send_until_queued(struct host *h, enum host_event_type type)
{
	while (host_send_event(h, (struct host_event){ .type = type }))
		g_usleep(1000);
}

static void stop_host(struct host *h)
{
	unsigned int left;

	event_log(EV_DRAIN, "host=%s", h->settings.host_id);
	send_until_queued(h, HOST_DRAIN);
	http_server_drain(h->server);
	g_usleep((gulong)h->settings.drain_delay_us);
	left = http_server_stop(h->server, h->settings.stop_timeout_us, 0);
	if (left)
		event_log(EV_STOP_TIMEOUT, "host=%s connections=%u",
			  h->settings.host_id, left);
	/* Refuses the requests that stop_timeout has left in flight. */
	send_until_queued(h, HOST_STOP);
	http_server_destroy(h->server, 0);
	send_until_queued(h, HOST_EXIT);
	pthread_join(h->engine_thread, NULL);
	if (h->store_thread)
		store_thread_stop(h->store_thread);
	upstream_destroy(h->upstream);
	peers_stop(h);
	host_drop_events(h);
	engine_unref(h->engine);
	object_set_unref(h->set);
	g_hash_table_destroy(h->queries);
	g_hash_table_destroy(h->calls);
	ring_destroy(h->events);
	event_log(EV_STOP, "host=%s", h->settings.host_id);
}

static void handle_signals(struct host *h, const sigset_t *signals)
{
	int signal;

	for (;;) {
		sigwait(signals, &signal);
		if (signal != SIGHUP)
			return;
		load_objects(h);
	}
}

/* Applies the settings again; a file with a fault changes nothing. */
static void reload_settings(struct route_service *service,
			    const struct settings *old, const char *path)
{
	struct fault_list faults = { 0 };
	struct settings settings;
	int ret = settings_load(path, &settings, &faults);
	const char *fixed = "";

	if (ret) {
		print_faults(&faults);
		event_log(EV_SETTINGS, "path=%s code=E%d", path, -ret);
	} else {
		fixed = settings_fixed_difference(old, &settings);
		event_set_level(settings.log_level);
		route_service_reload(service, &settings);
		event_log(EV_RELOAD, "path=%s needs_restart=%s", path,
			  fixed ? fixed : "");
	}
	fault_list_clear(&faults);
	settings_clear(&settings);
}

/* Serves the routes of the platform's store until a signal to stop. */
static int run_route_service(struct host *h, const sigset_t *signals,
			     const char *path)
{
	struct log_queue_options log_options = {
		.fd = STDOUT_FILENO,
		.info_bytes_per_second = LOG_INFO_BYTES_PER_SECOND,
	};
	struct route_service *service;
	int ret = log_queue_start(&log_options);
	int signal;

	if (!ret)
		ret = route_service_start(&service, &h->settings, h->clock);

	if (ret) {
		fprintf(stderr, "nutmegpickd: E%d: %s\n", -ret,
			error_text(ret));
		return EXIT_FAILURE;
	}
	event_log(EV_START, "host=%s domain=%s", h->settings.host_id,
		  h->settings.domain);
	while (!sigwait(signals, &signal) && signal == SIGHUP)
		reload_settings(service, &h->settings, path);
	event_log(EV_DRAIN, "host=%s", h->settings.host_id);
	route_service_stop(service);
	event_log(EV_STOP, "host=%s", h->settings.host_id);
	log_queue_stop();
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arguments arguments = { 0 };
	struct fault_list faults = { 0 };
	struct host h = { .clock = clock_system() };
	sigset_t signals;
	int ret;

	/* Blocked signals stay pending, so a stop during the start is kept. */
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	ret = settings_load(arguments.settings_path, &h.settings, &faults);
	if (ret) {
		print_faults(&faults);
		fault_list_clear(&faults);
		settings_clear(&h.settings);
		return EXIT_FAILURE;
	}
	if (arguments.is_check_only) {
		settings_print(&h.settings);
		settings_clear(&h.settings);
		return EXIT_SUCCESS;
	}
	event_use_line_writer();
	event_set_level(h.settings.log_level);
	signal(SIGPIPE, SIG_IGN);
	if (h.settings.registry)
		return run_route_service(&h, &signals, arguments.settings_path);
	ret = start_host(&h);
	if (ret) {
		fprintf(stderr, "nutmegpickd: E%d: %s\n", -ret,
			error_text(ret));
		return EXIT_FAILURE;
	}
	event_log(EV_START, "host=%s domain=%s", h.settings.host_id,
		  h.settings.domain);
	handle_signals(&h, &signals);
	stop_host(&h);
	settings_clear(&h.settings);
	return EXIT_SUCCESS;
}
