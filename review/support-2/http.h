#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

/// A small blocking HTTP/1.1 client and server for the stand-ins.
namespace review {

struct Address {
    std::string ip;
    uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }

    sockaddr_in native() const
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }

    static Address parse(const std::string& text)
    {
        const size_t colon = text.rfind(':');
        return { text.substr(0, colon), static_cast<uint16_t>(std::stoul(text.substr(colon + 1))) };
    }
};

struct HttpMessage {
    std::string startLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

inline int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool sendAll(int socket, const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

/// Reads one message; `buffer` holds what was read beyond the last one.
inline std::optional<HttpMessage> readMessage(int socket, std::string& buffer, int64_t deadline)
{
    const auto readMore = [&] {
        const int64_t left = deadline - steadyMs();
        pollfd entry { socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<size_t>(count));
        return true;
    };
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return std::nullopt;
    }
    HttpMessage message;
    size_t begin = 0;
    bool isFirst = true;
    while (begin < end) {
        const size_t lineEnd = std::min(buffer.find("\r\n", begin), end);
        const std::string line = buffer.substr(begin, lineEnd - begin);
        begin = lineEnd + 2;
        if (isFirst) {
            message.startLine = line;
            isFirst = false;
            continue;
        }
        const size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const auto length = message.headers.find("content-length");
    const size_t bodyBytes = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + bodyBytes) {
        if (!readMore())
            return std::nullopt;
    }
    message.body = buffer.substr(end + 4, bodyBytes);
    buffer.erase(0, end + 4 + bodyBytes);
    return message;
}

struct HttpReply {
    int status = 0; ///< 0 if there was no complete response.
    std::string body;
};

/// Makes one call on a connection of its own.
inline HttpReply httpCall(const Address& to, const std::string& method, const std::string& path, const std::string& host, const std::string& body, int64_t timeoutMs,
    const std::string& extraHeaders = {}, const std::string& bindIp = {})
{
    const int64_t deadline = steadyMs() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    HttpReply reply;
    if (!bindIp.empty()) {
        const sockaddr_in own = Address { bindIp, 0 }.native();
        ::bind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    const sockaddr_in address = to.native();
    ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd entry { socket, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&entry, 1, static_cast<int>(timeoutMs)) > 0 && !::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) && !error) {
        ::fcntl(socket, F_SETFL, 0);
        const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + extraHeaders + "Content-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (sendAll(socket, request)) {
            if (const auto message = readMessage(socket, buffer, deadline)) {
                reply.status = std::stoi(message->startLine.substr(9, 3));
                reply.body = message->body;
            }
        }
    }
    ::close(socket);
    return reply;
}

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answers a request; nothing means that the connection is closed without a response.
using HttpHandler = std::function<std::optional<HttpReply>(const HttpRequest&)>;

/// Listens on an address. Returns the socket, or -1.
inline int listenOn(const Address& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in native = address.native();
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&native), sizeof native) || ::listen(socket, 256)) {
        ::close(socket);
        return -1;
    }
    return socket;
}

/// Serves requests with a thread for each connection, until the process ends.
inline void serveForever(int listener, const HttpHandler& handler)
{
    while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        std::thread([socket, &handler] {
            const int yes = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::string buffer;
            while (const auto message = readMessage(socket, buffer, steadyMs() + 60'000)) {
                HttpRequest request;
                const size_t first = message->startLine.find(' ');
                request.method = message->startLine.substr(0, first);
                request.path = message->startLine.substr(first + 1, message->startLine.rfind(' ') - first - 1);
                request.headers = message->headers;
                request.body = message->body;
                const auto reply = handler(request);
                if (!reply)
                    break;
                const std::string text = "HTTP/1.1 " + std::to_string(reply->status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
                if (!sendAll(socket, text))
                    break;
            }
            ::close(socket);
        }).detach();
    }
}

} // namespace review
