/*
 * The processes of a cluster end with the process that started them, also when
 * that is killed, and concurrent clusters use different addresses.
 */
#include "jd_test.hpp"

#include "process.hpp"

extern "C" {
#include "chaos/cluster.h"
}

static const uint16_t PORT = 17000;
static const char *MANIFEST = JD_SOURCE_DIR "/examples/chaos.toml";

static cluster_opts options(const char *dir)
{
	cluster_opts o = {};

	o.bin = JD_BINARY_DIR;
	o.dir = dir;
	o.manifest = MANIFEST;
	o.service = "archive";
	o.port = PORT;
	o.nodes = 2;
	o.dcs = 2;
	o.work_ms = 5;
	o.grace_ms = 15000;
	return o;
}

/*
 * Starts a cluster in a child process. The address of its store can be read
 * from *@addr_fd.
 */
static pid_t fork_cluster(int *addr_fd)
{
	int fds[2];
	pid_t pid;

	EXPECT_EQ(pipe(fds), 0);
	pid = fork();
	if (pid == 0) {
		char dir[] = "/tmp/jackdaw-cluster-XXXXXX";
		cluster c;
		cluster_opts o = options(mkdtemp(dir));

		bool ok = cluster_start(&c, &o);

		if (!ok || write(fds[1], c.store_addr, JD_ADDR_MAX) < 0)
			_exit(1);
		pause();
		_exit(0);
	}
	close(fds[1]);
	*addr_fd = fds[0];
	return pid;
}

static std::string read_addr(int fd)
{
	char text[JD_ADDR_MAX] = {};
	ssize_t n = read(fd, text, sizeof(text));

	close(fd);
	return n > 0 ? text : "";
}

static bool is_listening(const std::string &addr)
{
	return jd::run("curl -s -m 2 -o /dev/null http://" + addr + "/").code ==
	       0;
}

TEST(Cluster, EndsWithTheProcessThatStartedIt)
{
	int fd;
	pid_t pid = fork_cluster(&fd);
	std::string store = read_addr(fd);

	ASSERT_NE(store, "");
	ASSERT_TRUE(is_listening(store));
	kill(pid, SIGKILL);
	waitpid(pid, nullptr, 0);
	EXPECT_TRUE(jd::eventually([&] { return !is_listening(store); }, 3));
}

TEST(Cluster, ConcurrentClustersShareNoAddress)
{
	int fd1, fd2;
	pid_t one = fork_cluster(&fd1);
	std::string a = read_addr(fd1);
	pid_t two = fork_cluster(&fd2);
	std::string b = read_addr(fd2);

	ASSERT_NE(a, "");
	ASSERT_NE(b, "");
	EXPECT_NE(a, b);
	kill(one, SIGKILL);
	kill(two, SIGKILL);
	waitpid(one, nullptr, 0);
	waitpid(two, nullptr, 0);
}
