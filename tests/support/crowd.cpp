#include "support/crowd.h"

#include "runtime/address.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>

namespace oleandergate::support {

namespace {

constexpr int stepMs = 20;
constexpr std::chrono::milliseconds stillFor{700};

//! A crowd that the server makes move on and on is left to itself after this time.
constexpr std::chrono::seconds longestRun{20};
constexpr std::size_t maxSendBytes = 256UL * 1024;

} // namespace

Crowd::Crowd(const std::string &address, CrowdPlan givenPlan)
    : plan(std::move(givenPlan))
    , clients(plan.clients)
{
    const auto endpoint = parseTcpAddress(address);
    for (std::size_t number = 0; number < this->clients.size(); ++number) {
        Client &client = this->clients[number];
        client.start = this->plan.start ? this->plan.start(number) : std::string();
        client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (::connect(client.socket, endpoint->data(), static_cast<socklen_t>(endpoint->size())) != 0 && errno != EINPROGRESS) {
            end(client);
        }
    }
}

Crowd::~Crowd()
{
    for (Client &client : this->clients) {
        end(client);
    }
}

void Crowd::end(Client &client)
{
    if (client.socket >= 0) {
        ::close(client.socket);
        client.socket = -1;
    }
}

std::size_t Crowd::openCount() const
{
    std::size_t count = 0;
    for (const Client &client : this->clients) {
        count += client.socket >= 0 ? 1 : 0;
    }
    return count;
}

bool Crowd::sendSome(Client &client) const
{
    const bool inStart = client.sentBytes < client.start.size();
    const std::string &source = inStart ? client.start : this->plan.rest;
    const std::size_t offset = inStart ? client.sentBytes : client.sentBytes - client.start.size();
    const ssize_t sent = ::send(client.socket, source.data() + offset, std::min(source.size() - offset, maxSendBytes), MSG_NOSIGNAL | MSG_DONTWAIT);
    client.sentBytes += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent > 0;
}

bool Crowd::step(int timeoutMs)
{
    std::vector<pollfd> polled;
    std::vector<Client *> open;
    for (Client &client : this->clients) {
        if (client.socket < 0) {
            continue;
        }
        const bool hasMore = !client.isConnected || client.sentBytes < client.start.size() + this->plan.rest.size();
        const auto events = static_cast<short>((hasMore ? POLLOUT : 0) | (this->plan.receives ? POLLIN : 0));
        polled.push_back({client.socket, events, 0});
        open.push_back(&client);
    }
    if (::poll(polled.data(), polled.size(), timeoutMs) <= 0) {
        return false;
    }
    bool moved = false;
    std::array<char, 65536> received{};
    for (std::size_t index = 0; index < open.size(); ++index) {
        Client &client = *open[index];
        const short events = polled[index].revents;
        if ((events & (POLLERR | POLLHUP)) != 0) {
            end(client);
            moved = true;
            continue;
        }
        if ((events & POLLIN) != 0) {
            const ssize_t size = ::recv(client.socket, received.data(), received.size(), MSG_DONTWAIT);
            moved = true;
            if (size == 0 || (size < 0 && errno != EAGAIN)) {
                end(client);
                continue;
            }
        }
        if ((events & POLLOUT) != 0) {
            moved = moved || !client.isConnected;
            client.isConnected = true;
            moved = this->sendSome(client) || moved;
        }
    }
    return moved;
}

void Crowd::runUntilStill()
{
    const auto began = std::chrono::steady_clock::now();
    auto movedAt = began;
    auto now = began;
    while (now - movedAt < stillFor && now - began < longestRun) {
        const bool moved = this->step(stepMs);
        now = std::chrono::steady_clock::now();
        if (moved) {
            movedAt = now;
        }
    }
}

} // namespace oleandergate::support
