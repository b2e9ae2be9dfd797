#include "common/log_queue.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/errors.h"
#include "common/events.h"
#include "common/ring.h"

#define DEFAULT_CAPACITY 4096
/* The writer collects lines for this time, so that it wakes less often. */
#define BATCH_US (50 * US_PER_MS)
/* The rest of a batch is dropped if the reader blocks for this time. */
#define WRITE_TIMEOUT_MS 500

struct log_queue {
	struct log_queue_options options;
	struct ring *lines;
	pthread_t thread;
	int is_stopping;
	/* Guards the token bucket of the rate limit. */
	pthread_mutex_t lock;
	double tokens;
	int64_t refilled_us;
};

static struct log_queue queue;

static struct counter dropped_lines = {
	.name = "nutmegpick_log_lines_dropped_total",
	.help = "Log lines dropped, over the bound or with the queue full.",
};

__attribute__((constructor)) static void register_counters(void)
{
	counter_register(&dropped_lines);
}

static int take_tokens(size_t len)
{
	double rate = queue.options.info_bytes_per_second;
	int64_t now = g_get_monotonic_time();
	int is_allowed;

	if (rate <= 0)
		return 1;
	pthread_mutex_lock(&queue.lock);
	queue.tokens += rate * (double)(now - queue.refilled_us) / US_PER_S;
	queue.tokens = MIN(queue.tokens, rate);
	queue.refilled_us = now;
	is_allowed = queue.tokens >= (double)len;
	if (is_allowed)
		queue.tokens -= (double)len;
	pthread_mutex_unlock(&queue.lock);
	return is_allowed;
}

static void handle_line(void *ctx, enum event_level level, char *line)
{
	if ((level <= EVENT_INFO && !take_tokens(strlen(line))) ||
	    ring_push(queue.lines, line)) {
		counter_add(&dropped_lines, 1);
		g_free(line);
	}
}

/* Returns whether to go on writing: 0 after a timeout or an error. */
static int write_chunk(const char *data, size_t len, size_t *done)
{
	struct pollfd p = { .fd = queue.options.fd, .events = POLLOUT };
	ssize_t n;

	if (poll(&p, 1, WRITE_TIMEOUT_MS) <= 0)
		return 0;
	n = write(queue.options.fd, data, MIN(len, PIPE_BUF));
	if (n < 0)
		return errno == EINTR || errno == EAGAIN;
	*done += (size_t)n;
	return 1;
}

static void write_lines(GString *text)
{
	size_t done = 0;

	while (done < text->len &&
	       write_chunk(text->str + done, text->len - done, &done))
		;
	if (done < text->len)
		counter_add(&dropped_lines, 1);
	g_string_truncate(text, 0);
}

static void write_queued_lines(GString *text)
{
	char *line;

	ring_clear_wakeup(queue.lines);
	while ((line = ring_pop(queue.lines))) {
		g_string_append(text, line);
		g_free(line);
	}
	write_lines(text);
}

static void *run_writer(void *ctx)
{
	GString *text = g_string_new(NULL);
	struct pollfd p = { .fd = ring_fd(queue.lines), .events = POLLIN };

	while (!__atomic_load_n(&queue.is_stopping, __ATOMIC_ACQUIRE)) {
		poll(&p, 1, 1000);
		g_usleep(BATCH_US);
		write_queued_lines(text);
	}
	write_queued_lines(text);
	g_string_free(text, TRUE);
	return NULL;
}

int log_queue_start(const struct log_queue_options *options)
{
	size_t capacity = options->capacity ? options->capacity
					    : DEFAULT_CAPACITY;
	int ret = ring_create(&queue.lines, capacity);

	if (ret)
		return ret;
	queue.options = *options;
	queue.refilled_us = g_get_monotonic_time();
	queue.tokens = options->info_bytes_per_second;
	pthread_mutex_init(&queue.lock, NULL);
	if (pthread_create(&queue.thread, NULL, run_writer, NULL)) {
		ring_destroy(queue.lines);
		return -ERR_NOMEM;
	}
	event_set_line_sink(handle_line, NULL);
	return 0;
}

void log_queue_stop(void)
{
	event_set_line_sink(NULL, NULL);
	__atomic_store_n(&queue.is_stopping, 1, __ATOMIC_RELEASE);
	pthread_join(queue.thread, NULL);
}
