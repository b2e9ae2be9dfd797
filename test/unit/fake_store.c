#include "fake_store.h"

#include <string.h>

#include "common/errors.h"

struct change {
	int64_t revision;
	char *key;
	char *value;
	size_t len;
};

static void change_free(void *p)
{
	struct change *c = p;

	g_free(c->key);
	g_free(c->value);
	g_free(c);
}

static const struct change *find_change(const struct fake_store *f,
					const char *key, int64_t revision)
{
	const struct change *found = NULL;

	for (guint i = 0; i < f->changes->len; i++) {
		const struct change *c = f->changes->pdata[i];

		if (c->revision <= revision && !strcmp(c->key, key))
			found = c;
	}
	return found && found->value ? found : NULL;
}

static void add_entry(struct store_reply *reply, const struct change *c)
{
	if (c)
		store_reply_add(reply, c->key, c->value, c->len)->mod_revision =
			c->revision;
}

static void notify_watcher(struct fake_store *f)
{
	struct store_reply reply = { .revision = f->revision };

	for (guint i = 0; i < f->changes->len; i++) {
		const struct change *c = f->changes->pdata[i];

		if (c->revision == f->revision && !strcmp(c->key, "np/current"))
			add_entry(&reply, c);
	}
	if (f->is_watched && reply.count)
		store_deliver_reply(STORE_WATCH, f->watcher, &reply);
	store_reply_clear(&reply);
}

static void add_change(struct fake_store *f, const struct store_put *put)
{
	struct change *c = g_new0(struct change, 1);

	c->revision = f->revision;
	c->key = g_strdup(put->key);
	c->value = put->value ? g_memdup2(put->value, put->len + 1) : NULL;
	c->len = put->len;
	g_ptr_array_add(f->changes, c);
}

static void handle_get(void *ctx, const struct store_get *get,
		       struct store_callback done)
{
	struct fake_store *f = ctx;
	struct store_reply reply = { .revision = f->revision };

	f->read_count++;
	if (f->is_down)
		reply.code = -ERR_STORE_DOWN;
	else
		add_entry(&reply,
			  find_change(f, get->key,
				      f->stale_revision ? f->stale_revision
							: f->revision));
	store_deliver_reply(STORE_GET, done, &reply);
}

static bool compares_hold(struct fake_store *f, const struct store_txn *txn)
{
	for (size_t i = 0; i < txn->compare_count; i++) {
		const struct change *c =
			find_change(f, txn->compares[i].key, f->revision);

		if ((c ? c->revision : 0) != txn->compares[i].mod_revision)
			return false;
	}
	return true;
}

static void apply_txn(struct fake_store *f, const struct store_txn *txn,
		      struct store_reply *reply)
{
	reply->is_applied = compares_hold(f, txn);
	if (reply->is_applied && txn->put_count) {
		f->revision++;
		for (size_t i = 0; i < txn->put_count; i++)
			add_change(f, &txn->puts[i]);
	}
	for (size_t i = 0; i < txn->read_count; i++)
		add_entry(reply, find_change(f, txn->reads[i], f->revision));
	reply->revision = f->revision;
}

static void set_reply_lost(struct store_reply *reply)
{
	store_reply_clear(reply);
	reply->code = -ERR_STORE_UNKNOWN;
	reply->cause = -ERR_STORE_TIMEOUT;
}

static void handle_txn(void *ctx, const struct store_txn *txn,
		       struct store_callback done)
{
	struct fake_store *f = ctx;
	struct store_reply reply = { 0 };
	int number = txn->put_count ? f->write_count++ : -1;

	f->read_count += number < 0;
	if (number >= 0 && f->before_write && number == f->before_write_number)
		f->before_write(f->before_write_ctx);
	if (number >= 0 && f->down_after_writes >= 0 &&
	    number >= f->down_after_writes)
		f->is_down = true;
	if (f->is_down) {
		reply.code = -ERR_STORE_DOWN;
	} else if (number >= 0 && (f->lost_writes >> number & 1)) {
		set_reply_lost(&reply);
	} else {
		apply_txn(f, txn, &reply);
		if (number >= 0 && (f->lost_replies >> number & 1))
			set_reply_lost(&reply);
	}
	store_deliver_reply(STORE_TXN, done, &reply);
	if (number >= 0)
		notify_watcher(f);
}

static uint64_t handle_watch(void *ctx, const struct store_watch *watch,
			     struct store_callback done)
{
	struct fake_store *f = ctx;

	f->watcher = done;
	f->is_watched = true;
	if (f->is_down)
		fake_store_end_watch(f, -ERR_STORE_DOWN);
	return 1;
}

static void handle_watch_cancel(void *ctx, uint64_t watch_id)
{
	((struct fake_store *)ctx)->is_watched = false;
}

static void handle_run(void *ctx, int64_t timeout_us)
{
}

static const struct store_ops fake_ops = {
	.get = handle_get,
	.txn = handle_txn,
	.watch = handle_watch,
	.watch_cancel = handle_watch_cancel,
	.run = handle_run,
};

void fake_store_init(struct fake_store *f)
{
	memset(f, 0, sizeof(*f));
	f->store.ops = &fake_ops;
	f->store.ctx = f;
	f->changes = g_ptr_array_new_with_free_func(change_free);
	f->down_after_writes = -1;
	f->before_write_number = -1;
}

void fake_store_clear(struct fake_store *f)
{
	g_ptr_array_free(f->changes, TRUE);
}

void fake_store_put(struct fake_store *f, const char *key, const char *value)
{
	struct store_put put = { .key = key, .value = value };

	put.len = value ? strlen(value) : 0;
	f->revision++;
	add_change(f, &put);
	notify_watcher(f);
}

void fake_store_end_watch(struct fake_store *f, int code)
{
	struct store_reply reply = { .code = code };

	f->is_watched = false;
	store_deliver_reply(STORE_WATCH, f->watcher, &reply);
}

struct object_set *fake_set_create(const char *name, int services)
{
	GString *text = g_string_new(NULL);
	struct fault_list faults = { 0 };
	struct object_set *set = NULL;

	g_string_printf(text,
			"[fleet.main]\ndomains=[{name=\"%s\",region=\"r\","
			"seats=1}]\n[deadline.d]\ndefault=\"1s\"\nmax=\"2s\"\n"
			"[class.c]\nkind=\"k\"\nworth=1\n[group.g]\nslots=1\n"
			"connections=1\nconnect_cost=\"1ms\"\n"
			"[[group.g.shards]]\nname=\"s\"\nweight=1\nleaves=[{"
			"address=\"127.0.0.1:1\",domain=\"%s\"}]\n",
			name, name);
	for (int i = 0; i < services; i++)
		g_string_append_printf(text,
				       "[service.%060d]\ngroups=[\"g\"]\n"
				       "deadline=\"d\"\nclass=\"c\"\n",
				       i);
	object_set_parse(text->str, "t", &set, &faults);
	fault_list_clear(&faults);
	g_string_free(text, TRUE);
	g_assert_nonnull(set);
	return set;
}

void fake_publish(struct fake_store *f, const char *name, const char *token,
		  struct publish_result *out)
{
	struct object_set *set = fake_set_create(name, 1);
	struct publish_options options = {
		.token = token,
		.author = token,
		.base_version = -1,
	};

	publish_set(&f->store, set, &options, out);
	object_set_unref(set);
}
