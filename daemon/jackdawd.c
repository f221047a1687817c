#include <argtable2.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/invariant.h"
#include "io/driver.h"
#include "io/findings_print.h"
#include "io/log.h"
#include "io/settings.h"
#include "platform/platform_node.h"

enum exit_code { EXIT_FAILED = 1, EXIT_BAD_SETTINGS = 2 };

static void on_stop_signal(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	driver_drain(arg);
}

static int run(const struct settings *s)
{
	struct event_base *base = event_base_new();
	struct event *sigterm, *sigint;
	struct status st;
	struct driver *d = driver_new(base, s, &st);

	if (!d) {
		log_event(LOG_ERROR, "event=start_failed why=\"%s\"", st.msg);
		event_base_free(base);
		return EXIT_FAILED;
	}
	sigterm = evsignal_new(base, SIGTERM, on_stop_signal, d);
	sigint = evsignal_new(base, SIGINT, on_stop_signal, d);
	event_add(sigterm, NULL);
	event_add(sigint, NULL);
	log_event(LOG_INFO, "event=started http=%s peer=%s", s->http_addr,
		  s->peer_addr);
	event_base_dispatch(base);
	log_event(LOG_INFO, "event=stopped");
	event_free(sigterm);
	event_free(sigint);
	driver_delete(d);
	event_base_free(base);
	log_event(LOG_INFO, "event=exit");
	return EXIT_SUCCESS;
}

/* Prints a new CURVE key pair for the peers of a fleet, as settings. */
static int print_new_keys(void)
{
	struct peer_keys k;

	if (!peer_keys_make(&k)) {
		fprintf(stderr, "jackdawd: this libzmq has no CURVE\n");
		return EXIT_FAILED;
	}
	printf("peer_public_key = '%s'\npeer_secret_key = '%s'\n", k.public_key,
	       k.secret_key);
	return EXIT_SUCCESS;
}

/* Returns the number of findings, all of which it prints. */
static int read_settings(struct settings *s, const char *path)
{
	struct findings f;
	int count;

	findings_init(&f);
	settings_default(s);
	if (path)
		settings_read(s, path, &f);
	count = findings_print(&f, stderr);
	findings_done(&f);
	return count;
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0("s", "settings", "FILE", "settings in TOML");
	struct arg_lit *check_only = arg_lit0(
		NULL, "check-settings", "print all findings, exit 2 on any");
	struct arg_lit *keys = arg_lit0(
		NULL, "make-keys", "print a key pair for the fleet's peers");
	struct arg_lit *platform =
		arg_lit0(NULL, "platform",
			 "run on the platform, with its settings file");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(8);
	void *table[] = {file, check_only, keys, platform, help, end};
	struct settings s;
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_BAD_SETTINGS;

	if (help->count || errors) {
		if (errors)
			arg_print_errors(stderr, end, "jackdawd");
		fprintf(help->count ? stdout : stderr, "usage: jackdawd");
		arg_print_syntax(help->count ? stdout : stderr, table, "\n");
		arg_print_glossary(help->count ? stdout : stderr, table,
				   "  %-24s %s\n");
		code = help->count ? EXIT_SUCCESS : EXIT_BAD_SETTINGS;
	} else if (keys->count) {
		code = print_new_keys();
	} else if (platform->count) {
		code = platform_node_main();
	} else if (!read_settings(&s, file->count ? file->filename[0] : NULL)) {
		log_init(s.log_level, s.name);
		invariant_set_sink(log_invariant);
		signal(SIGPIPE, SIG_IGN);
		code = check_only->count ? EXIT_SUCCESS : run(&s);
	}
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return code;
}
