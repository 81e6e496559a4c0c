/* Makes system calls of a program fail at random, with errors that their manual pages allow.
 *
 * Loaded with LD_PRELOAD into a program under test. FAULTY_CALLS sets the failure rates, in thousandths, as
 * comma-separated `name=number` pairs:
 *
 *   seed       the seed of all random choices
 *   interrupt  accept4, connect, recv, send and writev fail: EINTR
 *   short      recv and send transfer fewer bytes than they could, writev only its first buffer
 *   abort      accept4 fails because of the pending connection: ECONNABORTED, EPROTO, ENETDOWN
 *   accept     accept4 fails for lack of resources: ENFILE, ENOBUFS
 *   socket     socket fails: ENFILE, ENOBUFS
 *   connect    connect fails: EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, EHOSTUNREACH
 *   break      recv fails on a connection that the program opened: ETIMEDOUT, EHOSTUNREACH, ECONNRESET;
 *              the connection is unusable from then on
 *
 *   memory     recv, send and writev fail for lack of buffers: ENOBUFS, ENOMEM
 *   hold       the process is held up for 0.1 s before it shuts a connection down
 *   wait       the process is held up for 0.1 s after epoll_wait has returned its events
 *
 *   file       open, write and fsync fail for files whose path contains FAULTY_FILES: EIO, ENOSPC
 *
 * FAULTY_CLOCK names a file with the number of seconds by which the wall clock is ahead. It is read at
 * each call, so the clock can be stepped while the program runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_DESCRIPTORS 65536
#define THOUSAND 1000
#define HOLD_MICROSECONDS (100 * 1000)

/* The descriptors of connections that the program opened itself. */
static atomic_bool outgoing[MAX_DESCRIPTORS];
/* The descriptors of files and directories on which calls fail. */
static atomic_bool faulty_file[MAX_DESCRIPTORS];
static atomic_uint_fast64_t random_state;

struct rates {
    unsigned interrupt, shorten, abort, accept, socket, connect, broken, memory, hold, wait, file;
};
static struct rates rates;
static const char *clock_path;
static const char *faulty_path;

static unsigned read_rate(const char *text, const char *name)
{
    size_t length = strlen(name);
    for (const char *at = text; at && *at; at = strchr(at, ',')) {
        if (*at == ',')
            at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=')
            return (unsigned)strtoul(at + length + 1, NULL, 10);
    }
    return 0;
}

__attribute__((constructor)) static void initialize(void)
{
    const char *text = getenv("FAULTY_CALLS");
    clock_path = getenv("FAULTY_CLOCK");
    faulty_path = getenv("FAULTY_FILES");
    if (!text)
        return;
    atomic_store(&random_state, read_rate(text, "seed") * 0x9e3779b97f4a7c15ull + 1);
    rates.interrupt = read_rate(text, "interrupt");
    rates.shorten = read_rate(text, "short");
    rates.abort = read_rate(text, "abort");
    rates.accept = read_rate(text, "accept");
    rates.socket = read_rate(text, "socket");
    rates.connect = read_rate(text, "connect");
    rates.broken = read_rate(text, "break");
    rates.memory = read_rate(text, "memory");
    rates.hold = read_rate(text, "hold");
    rates.wait = read_rate(text, "wait");
    rates.file = read_rate(text, "file");
}

/* Returns the next random number: the splitmix64 finalizer, applied to a counter. */
static uint64_t draw(void)
{
    uint64_t x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15ull);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

static int happens(unsigned rate)
{
    return rate > 0 && draw() % THOUSAND < rate;
}

static int fail_with(const int *errors, size_t count)
{
    errno = errors[draw() % count];
    return -1;
}
#define FAIL(...) \
    fail_with((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int is_outgoing(int fd)
{
    return fd >= 0 && fd < MAX_DESCRIPTORS && atomic_load(&outgoing[fd]);
}

static void set_outgoing(int fd, int value)
{
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        atomic_store(&outgoing[fd], value);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    REAL(accept4);
    if (happens(rates.interrupt))
        return FAIL(EINTR);
    if (happens(rates.abort))
        return FAIL(ECONNABORTED, EPROTO, ENETDOWN);
    if (happens(rates.accept))
        return FAIL(ENFILE, ENOBUFS);
    int accepted = real(fd, address, length, flags);
    set_outgoing(accepted, 0);
    return accepted;
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    /* Only non-blocking sockets fail: listeners are created at startup, where a failure ends the program. */
    if ((domain == AF_INET || domain == AF_INET6) && (type & SOCK_NONBLOCK) && happens(rates.socket))
        return FAIL(ENFILE, ENOBUFS);
    int made = real(domain, type, protocol);
    set_outgoing(made, 0);
    return made;
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    REAL(connect);
    if (address->sa_family == AF_INET && happens(rates.connect))
        return FAIL(EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, EHOSTUNREACH);
    set_outgoing(fd, 1);
    return real(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags)
{
    REAL(recv);
    if (happens(rates.interrupt))
        return FAIL(EINTR);
    if (is_outgoing(fd) && !(flags & MSG_PEEK) && happens(rates.broken)) {
        shutdown(fd, SHUT_RDWR);
        return FAIL(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
    }
    if (!(flags & MSG_PEEK) && happens(rates.memory))
        return FAIL(ENOBUFS, ENOMEM);
    if (length > 1 && happens(rates.shorten))
        length = 1 + draw() % (length < 64 ? length : 64);
    return real(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags)
{
    REAL(send);
    if (happens(rates.interrupt))
        return FAIL(EINTR);
    if (happens(rates.memory))
        return FAIL(ENOBUFS, ENOMEM);
    if (length > 1 && happens(rates.shorten))
        length = 1 + draw() % (length < 64 ? length : 64);
    return real(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    REAL(writev);
    if (happens(rates.interrupt))
        return FAIL(EINTR);
    if (happens(rates.memory))
        return FAIL(ENOBUFS, ENOMEM);
    if (count > 1 && happens(rates.shorten))
        count = 1;
    return real(fd, parts, count);
}

int shutdown(int fd, int how)
{
    REAL(shutdown);
    if (happens(rates.hold))
        usleep(HOLD_MICROSECONDS);
    return real(fd, how);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout)
{
    REAL(epoll_wait);
    int ready = real(fd, events, count, timeout);
    int error = errno;
    if (happens(rates.wait))
        usleep(HOLD_MICROSECONDS);
    errno = error;
    return ready;
}

static int is_faulty_path(const char *path)
{
    return faulty_path && *faulty_path && strstr(path, faulty_path) != NULL;
}

static int open_file(int (*real)(const char *, int, ...), const char *path, int flags, mode_t mode)
{
    int faulty = is_faulty_path(path);
    if (faulty && happens(rates.file))
        return (flags & O_CREAT) ? FAIL(ENOSPC, EIO) : FAIL(EIO);
    int fd = real(path, flags, mode);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        atomic_store(&faulty_file[fd], faulty);
    return fd;
}

static mode_t mode_of(int flags, va_list arguments)
{
    return (flags & O_CREAT) ? (mode_t)va_arg(arguments, int) : 0;
}

int open(const char *path, int flags, ...)
{
    REAL(open);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_of(flags, arguments);
    va_end(arguments);
    return open_file(real, path, flags, mode);
}

int open64(const char *path, int flags, ...)
{
    REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_of(flags, arguments);
    va_end(arguments);
    return open_file(real, path, flags, mode);
}

static int file_call_fails(int fd)
{
    return fd >= 0 && fd < MAX_DESCRIPTORS && atomic_load(&faulty_file[fd]) && happens(rates.file);
}

ssize_t write(int fd, const void *buffer, size_t length)
{
    REAL(write);
    /* A failing write may have stored a part of its data. */
    if (file_call_fails(fd)) {
        if (length > 1)
            real(fd, buffer, length / 2);
        return FAIL(ENOSPC, EIO);
    }
    return real(fd, buffer, length);
}

int fsync(int fd)
{
    REAL(fsync);
    if (file_call_fails(fd))
        return FAIL(EIO, ENOSPC);
    return real(fd);
}

static long clock_offset(void)
{
    char text[32] = {0};
    int fd = open(clock_path, O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return 0;
    ssize_t length = read(fd, text, sizeof text - 1);
    close(fd);
    return length > 0 ? strtol(text, NULL, 10) : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && clock_path)
        time->tv_sec += clock_offset();
    return result;
}
