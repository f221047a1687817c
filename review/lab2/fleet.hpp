/** A small deployment of the stand-ins, with the bounds of a site's sheet. */
#pragma once

#include "review/lab2/lab.hpp"

namespace lab
{

/** A route of the configuration. */
struct route {
	const char *path, *type, *service;
	double timeout_s;
};

/** The body of op/config; @sharded names the service divided by key. */
inline std::string config(const std::vector<route> &routes,
			  const std::vector<std::string> &services,
			  const std::string &sharded = "")
{
	json_t *o = json_pack("{s:s,s:[],s:[],s:{s:i,s:i,s:i,s:i}}", "version",
			      "00000007", "routes", "services", "limits",
			      "maxHeaderBytes", 16384, "maxBodyBytes", 67108864,
			      "headerTimeoutS", 3, "idleTimeoutS", 15);
	std::string text;
	char *dump;

	for (const route &r : routes)
		json_array_append_new(
			json_object_get(o, "routes"),
			json_pack("{s:s,s:s,s:s,s:s,s:f,s:f,s:i,s:s,s:i,s:[]}",
				  "name", r.path, "host", "a.example",
				  "pathPrefix", r.path, "type", r.type,
				  "timeoutS", r.timeout_s, "targetLatencyS",
				  r.timeout_s, "priority", 1, "service",
				  r.service, "maxAttempts", 2,
				  "allowedRegions"));
	for (const std::string &s : services) {
		json_t *sv =
			json_pack("{s:s,s:s,s:i,s:s,s:b,s:f,s:f}", "name",
				  s.c_str(), "healthPath", "/healthz",
				  "maxConnections", 530, "protocol", "h1",
				  "tls", 0, "warmupS", 3.0, "warmupPerS", 12.0);

		if (s == sharded) {
			json_object_set_new(sv, "sharded", json_true());
			json_object_set_new(sv, "warmS", json_real(5));
			json_object_set_new(sv, "grants",
					    json_string("heartbeat"));
		}
		json_array_append_new(json_object_get(o, "services"), sv);
	}
	dump = json_dumps(o, JSON_COMPACT);
	text = dump;
	free(dump);
	json_decref(o);
	return text;
}

/** The store and machines, each with its process and its endpoint. */
class fleet
{
public:
	store platform;
	std::vector<std::unique_ptr<machine>> machines;
	std::vector<std::unique_ptr<endpoint>> endpoints;

	fleet(const terms &t, const std::string &config_text) : common(t)
	{
		signal(SIGPIPE, SIG_IGN);
		if (access("target/jackdawd", X_OK) != 0)
			finish(NOT_RUN, "target/jackdawd is not built");
		dir = temporary_folder();
		store_port = free_port(own_address(0));
		if (dir.empty() || !platform.start(own_address(0), store_port))
			finish(NOT_RUN, "the store can't start");
		platform.put("op/config", config_text);
	}
	/** Adds a machine of its own address; starts nothing. */
	machine &add(const std::string &zone, const std::string &region,
		     const std::string &service)
	{
		auto m = std::make_unique<machine>();
		auto e = std::make_unique<endpoint>();
		std::string n = std::to_string(machines.size() + 1);

		m->name = "sidecar-" + zone + "-" + n;
		m->ip = own_address((unsigned)machines.size() + 1);
		m->zone = zone;
		m->region = region;
		m->service = service;
		m->common = common;
		m->dir = dir;
		m->store_ip = own_address(0);
		m->store_port = store_port;
		m->init();
		m->write_settings(true);
		e->id = "i-" + new_id().substr(8);
		e->service = service;
		e->ip = m->ip;
		e->port = m->app;
		e->zone = zone;
		e->control_ip = m->ip;
		e->control_port = m->control;
		machines.push_back(std::move(m));
		endpoints.push_back(std::move(e));
		return *machines.back();
	}
	/** Starts all, and waits until they are ready and in touch. */
	void start()
	{
		for (auto &m : machines)
			m->start();
		for (auto &e : endpoints)
			if (!e->start())
				finish(NOT_RUN, "an endpoint can't start");
		for (auto &m : machines)
			if (!m->wait_ready(15))
				finish(NOT_RUN, "a machine isn't ready");
		sleep_s(common.contact_s + 1);
		NOTE("event=ready machines=%zu", machines.size());
	}
	[[noreturn]] void end(int code, const char *why)
	{
		for (auto &m : machines)
			m->kill_now();
		if (!getenv("KEEP_LOGS")) {
			std::string rm = "rm -r " + dir;

			if (system(rm.c_str()) != 0)
				NOTE("event=folder_left path=%s", dir.c_str());
		} else {
			NOTE("event=logs path=%s", dir.c_str());
		}
		finish(code, why);
	}

	const terms common;
	std::string dir;
	int store_port;
};

inline headers client_headers(const std::string &id, int deadline_ms)
{
	return {{"Host", "a.example"},
		{"Jackdawpaddle-Request-Id", id},
		{"Jackdawpaddle-Request-Deadline",
		 std::to_string(deadline_ms)}};
}

/** Names of the requests that an endpoint has run. */
class run_list
{
public:
	void add(const std::string &id)
	{
		std::lock_guard<std::mutex> l(lock);

		ids.push_back(id);
	}
	bool has(const std::string &id)
	{
		std::lock_guard<std::mutex> l(lock);

		return std::find(ids.begin(), ids.end(), id) != ids.end();
	}
	size_t count(const std::string &id)
	{
		std::lock_guard<std::mutex> l(lock);

		return (size_t)std::count(ids.begin(), ids.end(), id);
	}

private:
	std::mutex lock;
	std::vector<std::string> ids;
};

} // namespace lab
