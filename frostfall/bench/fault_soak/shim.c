/*
 * Fault injection for one agent process, loaded by LD_PRELOAD.
 *
 * FAULT_SHIM_CONTROL names a file of the layout `struct control`, which is mapped: the test changes it while the
 * process runs. FAULT_SHIM_READS names a file to which every read of a TCP socket is appended as
 * `struct read_header` and the bytes, so that a test knows what the process has read, and when.
 * Rates are failures per million calls. Only sockets of family AF_INET and regular files under
 * FAULT_SHIM_FOLDER are touched.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum rate { ACCEPT, SOCKET, CONNECT, SHORT_READ, SHORT_WRITE, INTERRUPTED_WAIT, BROKEN, FILE_WRITE, FILE_SYNC, RATES };

struct control {
    int64_t wall_offset_ns; /* added to CLOCK_REALTIME */
    uint32_t rate[RATES];
};

struct read_header {
    int64_t monotonic_ns;
    uint32_t length; /* 0: the connection has been accepted */
    uint16_t local_port;
    uint16_t peer_port;
};

static const struct control no_faults;
static const struct control *control = &no_faults;
static int reads_fd = -1;
static const char *folder = "";
static uint64_t random_state = 88172645463325252ull;

static int (*real_clock_gettime)(clockid_t, struct timespec *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_socket)(int, int, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static ssize_t (*real_recv)(int, void *, size_t, int);
static ssize_t (*real_send)(int, const void *, size_t, int);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static ssize_t (*real_write)(int, const void *, size_t);
static int (*real_fsync)(int);
static int (*real_fdatasync)(int);

__attribute__((constructor)) static void load(void) {
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_recv = dlsym(RTLD_NEXT, "recv");
    real_send = dlsym(RTLD_NEXT, "send");
    real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    real_write = dlsym(RTLD_NEXT, "write");
    real_fsync = dlsym(RTLD_NEXT, "fsync");
    real_fdatasync = dlsym(RTLD_NEXT, "fdatasync");
    const char *path = getenv("FAULT_SHIM_CONTROL");
    if (path) {
        int fd = open(path, O_RDONLY | O_CLOEXEC);
        void *mapped = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
        if (mapped != MAP_FAILED)
            control = mapped;
        if (fd >= 0)
            close(fd);
    }
    if ((path = getenv("FAULT_SHIM_READS")))
        reads_fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (getenv("FAULT_SHIM_FOLDER"))
        folder = getenv("FAULT_SHIM_FOLDER");
    if ((path = getenv("FAULT_SHIM_SEED")))
        random_state ^= strtoull(path, NULL, 10) * 0x9E3779B97F4A7C15ull;
}

static int strikes(enum rate rate) {
    if (!control->rate[rate])
        return 0;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state % 1000000 < control->rate[rate];
}

static int fail_with(const int *codes, int count) {
    errno = codes[random_state / 7 % count];
    return -1;
}

static int is_tcp(int fd, int listening) {
    int type = 0, state = 0;
    socklen_t size = sizeof type;
    struct sockaddr_in name;
    socklen_t length = sizeof name;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) || type != SOCK_STREAM)
        return 0;
    if (getsockname(fd, (struct sockaddr *)&name, &length) || name.sin_family != AF_INET)
        return 0;
    size = sizeof state;
    return !getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &state, &size) && state == listening;
}

static int in_folder(int fd) {
    char link[64], path[PATH_MAX];
    if (!*folder)
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    return length > 0 && (path[length] = 0, strncmp(path, folder, strlen(folder)) == 0);
}

int clock_gettime(clockid_t id, struct timespec *out) {
    if (!real_clock_gettime)
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(id, out);
    if (result == 0 && id == CLOCK_REALTIME && control->wall_offset_ns) {
        int64_t total = (int64_t)out->tv_sec * 1000000000 + out->tv_nsec + control->wall_offset_ns;
        out->tv_sec = total / 1000000000;
        out->tv_nsec = total % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now))
        return -1;
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out)
        *out = now.tv_sec;
    return now.tv_sec;
}

static void record_read(int fd, const void *data, ssize_t length) {
    struct sockaddr_in local, peer;
    socklen_t size = sizeof local;
    struct timespec now;
    char piece[sizeof(struct read_header) + 65536];
    struct read_header header = {0};
    if (getsockname(fd, (struct sockaddr *)&local, &size) || local.sin_family != AF_INET)
        return;
    size = sizeof peer;
    if (getpeername(fd, (struct sockaddr *)&peer, &size))
        peer.sin_port = 0;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    header.monotonic_ns = (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
    header.length = length;
    header.local_port = ntohs(local.sin_port);
    header.peer_port = ntohs(peer.sin_port);
    memcpy(piece, &header, sizeof header);
    memcpy(piece + sizeof header, data, length);
    if (real_write(reads_fd, piece, sizeof header + length) < 0)
        return;
}

static int record_accept(int fd) {
    if (fd >= 0 && reads_fd >= 0)
        record_read(fd, "", 0);
    return fd;
}

static const int accept_codes[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO, ENOMEM, EINTR};

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (strikes(ACCEPT))
        return fail_with(accept_codes, 7);
    return record_accept(real_accept4(fd, address, length, flags));
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    if (strikes(ACCEPT))
        return fail_with(accept_codes, 7);
    return record_accept(real_accept(fd, address, length));
}

int socket(int domain, int type, int protocol) {
    static const int codes[] = {ENFILE, ENOBUFS, ENOMEM, EMFILE};
    if (domain == AF_INET && strikes(SOCKET))
        return fail_with(codes, 4);
    return real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ECONNREFUSED, EHOSTUNREACH, EINTR};
    if (address->sa_family == AF_INET && strikes(CONNECT)) {
        fail_with(codes, 6);
        if (errno == EINTR) { /* the connection goes on coming up */
            real_connect(fd, address, length);
            errno = EINTR;
        }
        return -1;
    }
    return real_connect(fd, address, length);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    static const int codes[] = {ETIMEDOUT, EHOSTUNREACH};
    if ((control->rate[SHORT_READ] || control->rate[BROKEN]) && is_tcp(fd, 0)) {
        if (length > 1 && strikes(SHORT_READ))
            length = 1 + random_state / 7 % (length < 64 ? length : 64);
        if (strikes(BROKEN)) {
            shutdown(fd, SHUT_RDWR);
            return fail_with(codes, 2);
        }
    }
    ssize_t got = real_recv(fd, data, length, flags);
    if (reads_fd >= 0 && got > 0 && !(flags & MSG_PEEK) && got <= 65536) {
        int saved = errno;
        record_read(fd, data, got);
        errno = saved;
    }
    return got;
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    if (length > 1 && control->rate[SHORT_WRITE] && is_tcp(fd, 0) && strikes(SHORT_WRITE))
        length = 1 + random_state / 7 % (length - 1);
    return real_send(fd, data, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (strikes(INTERRUPTED_WAIT)) {
        errno = EINTR;
        return -1;
    }
    return real_epoll_wait(fd, events, most, timeout);
}

ssize_t write(int fd, const void *data, size_t length) {
    static const int codes[] = {ENOSPC, EIO};
    if (control->rate[FILE_WRITE] && in_folder(fd) && strikes(FILE_WRITE)) {
        if (length > 1 && random_state / 11 % 2)
            return real_write(fd, data, length / 2);
        return fail_with(codes, 2);
    }
    return real_write(fd, data, length);
}

int fsync(int fd) {
    static const int codes[] = {EIO, ENOSPC};
    if (control->rate[FILE_SYNC] && in_folder(fd) && strikes(FILE_SYNC))
        return fail_with(codes, 2);
    return real_fsync(fd);
}

int fdatasync(int fd) {
    static const int codes[] = {EIO, ENOSPC};
    if (control->rate[FILE_SYNC] && in_folder(fd) && strikes(FILE_SYNC))
        return fail_with(codes, 2);
    return real_fdatasync(fd);
}
