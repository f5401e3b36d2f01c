#ifndef OLEANDERGATE_TESTS_SUPPORT_CROWD_H
#define OLEANDERGATE_TESTS_SUPPORT_CROWD_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oleandergate::support {

//! What each client of a crowd sends: a start of its own, then bytes that all have in common.
struct CrowdPlan
{
    std::size_t clients = 0;
    std::function<std::string(std::size_t client)> start{};
    std::string rest{};
    bool receives = false; //!< Reads what the server sends.
};

//! Clients that are connected at the same time, send what their plan says, and stay connected. None of them waits for another one, whatever the server reads.
class Crowd
{
public:
    Crowd(const std::string &address, CrowdPlan plan);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    //! Connects, sends and receives until no byte and no connection has moved for a while.
    void runUntilStill();

    //! Returns the number of clients whose connection is not known to have ended. Those that do not receive learn only of one that was reset.
    std::size_t openCount() const;

private:
    struct Client
    {
        int socket = -1;
        bool isConnected = false;
        std::string start{};
        std::size_t sentBytes = 0;
    };

    //! Lets each client do what it can within \p timeoutMs. Returns whether any did something.
    bool step(int timeoutMs);
    bool sendSome(Client &client) const;
    static void end(Client &client);

    CrowdPlan plan;
    std::vector<Client> clients;
};

} // namespace oleandergate::support

#endif
