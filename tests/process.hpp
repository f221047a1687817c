// Real processes on loopback for tests; the destructor of each kills it.
#ifndef JD_TESTS_PROCESS_HPP
#define JD_TESTS_PROCESS_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jd
{

// Path of a program of the build.
inline std::string binary(const std::string &name)
{
	return std::string(JD_BINARY_DIR) + "/" + name;
}

inline void sleep_ms(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// A loopback address that only this test process uses. On a shared address a
// concurrent test could bind the port of a node that restarts.
inline std::string ip()
{
	unsigned pid = static_cast<unsigned>(getpid());

	return "127." + std::to_string(1 + (pid >> 16) % 200) + "." +
	       std::to_string(pid >> 8 & 255) + "." + std::to_string(pid & 255);
}

inline std::string loopback(int port)
{
	return ip() + ":" + std::to_string(port);
}

inline sockaddr_in socket_address(int port)
{
	sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_port = htons(static_cast<uint16_t>(port));
	inet_pton(AF_INET, ip().c_str(), &a.sin_addr);
	return a;
}

// True when something listens on the port.
inline bool is_listening(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in a = socket_address(port);
	bool ok = connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) == 0;

	close(fd);
	return ok;
}

// A port of ip() that this process has not used yet.
inline int free_port()
{
	static int next = 25000;

	return next++;
}

// A child process; its output goes to the file @log.
class Process
{
public:
	explicit Process(const std::vector<std::string> &args,
			 const std::string &log = "/dev/null")
	{
		std::vector<char *> argv;

		for (const std::string &a : args)
			argv.push_back(const_cast<char *>(a.c_str()));
		argv.push_back(nullptr);
		pid = fork();
		if (pid == 0) {
			int fd = open(log.c_str(),
				      O_WRONLY | O_CREAT | O_APPEND, 0644);

			dup2(fd, 1);
			dup2(fd, 2);
			execv(argv[0], argv.data());
			_exit(127);
		}
	}
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;
	~Process()
	{
		stop(SIGKILL);
	}

	void stop(int sig)
	{
		if (pid <= 0)
			return;
		kill(pid, sig);
		waitpid(pid, nullptr, 0);
		pid = 0;
	}

	// True when the process has exited within @ms after the signal.
	bool stop_within(int sig, int ms)
	{
		kill(pid, sig);
		for (int i = 0; i < ms / 20; i++) {
			if (waitpid(pid, nullptr, WNOHANG) == pid) {
				pid = 0;
				return true;
			}
			sleep_ms(20);
		}
		return false;
	}

	pid_t pid;
};

struct Result {
	int code;
	std::string out; // standard output and standard error
};

// Runs a shell command and waits for it; code is -1 if a signal ended it.
inline Result run(const std::string &command)
{
	Result r = {-1, ""};
	FILE *f = popen((command + " 2>&1").c_str(), "r");
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), f)) > 0)
		r.out.append(buf, n);
	int status = pclose(f);
	r.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	return r;
}

// A jackdawd and its fake upstream.
class Node
{
public:
	Node(const std::string &node_name, const std::string &dc,
	     const std::string &region, const std::string &store)
	    : name(node_name), http(free_port()), peer(free_port()),
	      upstream(free_port()),
	      path(binary("node." + std::to_string(getpid()) + "." + node_name))
	{
		FILE *f = fopen((path + ".toml").c_str(), "w");

		fprintf(f,
			"name = \"%s\"\ndata_centre = \"%s\"\n"
			"region = \"%s\"\nhttp_addr = \"%s\"\n"
			"peer_addr = \"%s\"\nstore_addr = \"%s\"\n",
			name.c_str(), dc.c_str(), region.c_str(),
			loopback(http).c_str(), loopback(peer).c_str(),
			store.c_str());
		fclose(f);
		start();
	}

	// Starts both processes, after killing those that run.
	void start()
	{
		stop(SIGKILL);
		daemon = std::make_unique<Process>(
			std::vector<std::string>{binary("jackdawd"), "-s",
						 path + ".toml"},
			path + ".log");
		server = std::make_unique<Process>(std::vector<std::string>{
			binary("fake-upstream"), "--addr", loopback(upstream),
			"--node", loopback(http), "--service", "archive"});
	}

	// Sends the signal to the daemon and waits for it; kills the upstream.
	void stop(int sig)
	{
		if (daemon)
			daemon->stop(sig);
		if (server)
			server->stop(SIGKILL);
	}

	// The body of the page /-/NAME; empty when the node does not answer.
	std::string page(const std::string &page_name) const
	{
		return run("curl -s -m 2 http://" + loopback(http) + "/-/" +
			   page_name)
			.out;
	}

	// A numeric field of the page /-/status; -1 when it is absent.
	long number(const std::string &field) const
	{
		std::string text = page("status");
		size_t at = text.find("\"" + field + "\":");

		return at == std::string::npos
			       ? -1
			       : std::stol(text.substr(at + field.size() + 3));
	}

	// True when the status page says that the node may serve.
	bool serves() const
	{
		return page("status").find("\"may_serve\":true") !=
		       std::string::npos;
	}

	std::string name;
	int http, peer, upstream;
	std::string path; // of the settings and the log, without suffix
	std::unique_ptr<Process> daemon, server;
};

// Polls the condition for at least @seconds; false when it stayed false.
template <typename F> bool eventually(F condition, int seconds = 60)
{
	for (int i = 0; i < seconds * 20; i++) {
		if (condition())
			return true;
		sleep_ms(50);
	}
	return false;
}

// The fake store on a port of its own.
class Store
{
public:
	Store()
	    : port(free_port()),
	      process({binary("fake-store"), "--addr", loopback(port)})
	{
		while (!is_listening(port))
			sleep_ms(5);
	}

	std::string addr() const
	{
		return loopback(port);
	}

	// Sends @json to /admin/fault of the store.
	void fault(const std::string &json) const
	{
		run("curl -s -X POST -d '" + json + "' http://" + addr() +
		    "/admin/fault");
	}

	// Runs the command-line tool jackdaw against this store.
	Result jackdaw(const std::string &args) const
	{
		return run(binary("jackdaw") + " --store " + addr() + " " +
			   args);
	}

	int port;
	Process process;
};

} // namespace jd

#endif
