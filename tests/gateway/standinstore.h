#ifndef OLEANDERGATE_TESTS_GATEWAY_STANDINSTORE_H
#define OLEANDERGATE_TESTS_GATEWAY_STANDINSTORE_H

#include "decision/time.h"
#include "runtime/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace oleandergate::support {

//! The part of the platform's key-value store that the gateway uses, in this process. It decodes queries as servers usually do.
class StandinStore
{
public:
    //! Bounds of one page of a reading. A page has one item at least.
    struct PageLimits
    {
        std::size_t items = 500;
        std::size_t bytes = 1'000'000; //!< Of keys and values.
    };

    StandinStore();
    ~StandinStore();
    StandinStore(const StandinStore &) = delete;
    StandinStore &operator=(const StandinStore &) = delete;

    const std::string &address() const;

    //! Returns a further address at which the store shows each text that is a key of \p replaced, in all values, as the text that belongs to it.
    std::string addView(const std::map<std::string, std::string> &replaced);

    //! Writes as an operator or an endpoint does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    //! Removes the keys that contain \p part, as the end of their leases does. Leases also end by themselves when their time is over.
    void endLeases(const std::string &part);

    //! Ends all leases, and removes the keys under them.
    void endAllLeases();

    //! Returns the value of \p key, or an empty text if there is none.
    std::string value(const std::string &key) const;

    //! While refusing, the store answers every call with status 503 and does nothing.
    void setRefusing(bool refusing);

    //! While it refuses writes only, the store answers those with status 503.
    void setRefusingWrites(bool refusing);

    //! The same for the callers of one address only. Their watches report nothing meanwhile.
    void setRefusingAt(const std::string &servedAddress, bool refusing);

    //! While watches are silent, changes are stored but not reported to any watch.
    void setWatchesSilent(bool watchesSilent);

    //! The same for the watches of one address only.
    void setWatchesSilentAt(const std::string &servedAddress, bool watchesSilent);

    //! While a prefix is silent, changes of its keys are stored but not reported to any watch. None is when \p prefix is empty.
    void setSilentPrefix(const std::string &prefix);

    void setPageLimits(PageLimits limits);

    //! While it repeats pages, the store hands out the first page of a reading to the callers of one address, whatever page they ask for, and
    //! all changes of a prefix to each of their watches.
    void setRepeatingPagesAt(const std::string &servedAddress, bool repeatingPages);

    //! While watches are hasty, they are answered at once, without changes if there are none.
    void setWatchesHasty(bool watchesHasty);

    //! Answers each watch that is under way with status 410, as the store does when it discards its history.
    void discardHistory();

    //! Returns how many pages were handed out in place of the one that was asked for.
    std::size_t pagesRepeated() const;

    //! Returns how many watches were asked for.
    std::size_t watchesAsked() const;

    //! While it loses the answers of writes, the store makes them and closes their connections without an answer.
    void setLosingWriteAnswers(bool losingWriteAnswers);

    //! Sets by how much the store is late with its answers at most.
    void setLongestDelay(Duration longest);

    //! While repeating, the store writes the former answer of a connection once more before each next one, which follows a little later.
    //! While \p losing too, the next one is lost: the connection is closed behind the copy.
    void setRepeating(bool repeating, bool losing = false);

private:
    struct Item
    {
        std::string value{};
        std::uint64_t revision = 0;
        std::uint64_t lease = 0; //!< None if 0.
    };

    struct Lease
    {
        Duration lifetime{};
        Time endsAt{};
    };

    struct Change
    {
        std::string key{};
        std::string value{};
        std::uint64_t revision = 0;
        bool removed = false;
    };

    //! What callers of one address see.
    struct View
    {
        std::string address{};
        std::map<std::string, std::string> replaced{}; //!< Texts in values, with what is shown in their place.
    };

    //! The server of a view.
    struct ViewServer
    {
        View view{};
        std::unique_ptr<HttpServer> server{};
    };

    std::unique_ptr<HttpServer> serve(const std::string &servedAddress, const View &view);
    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange, const View &view);
    boost::asio::awaitable<HttpResponse> watch(const HttpRequest &request, const View &view);

    //! Returns whether the store answers calls to \p view with status 503. The mutex is held.
    bool refuses(const View &view) const;

    //! Writes the former answer to \p peer once more if there is one and the store is repeating. Returns whether it did.
    boost::asio::awaitable<bool> repeatFormer(const std::string &peer, HttpExchange &exchange);
    HttpResponse range(const HttpRequest &request, const View &view);
    HttpResponse transact(const boost::json::object &body, const View &view);
    HttpResponse grantLease(const boost::json::object &body, Time now);
    HttpResponse renewLease(const std::string &id, Time now);
    void write(const std::string &key, const std::string &value, bool removed, std::uint64_t lease = 0);

    //! Removes the keys whose leases have ended.
    void expireLeases(Time now);
    boost::asio::awaitable<void> expireLoop();

    std::string listenAddress;
    boost::asio::io_context context{1};
    View unchanged{};
    std::unique_ptr<HttpServer> server;
    std::list<ViewServer> views;
    mutable std::mutex mutex;
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t leasesGranted = 0;
    std::vector<Change> changes;
    std::uint64_t revision = 1;
    std::atomic<bool> refusing{false};
    std::atomic<bool> refusingWrites{false};
    std::atomic<bool> watchesSilent{false};
    std::atomic<bool> watchesHasty{false};
    std::atomic<std::size_t> repeatedPages{0};
    std::atomic<std::size_t> askedWatches{0};
    std::atomic<std::size_t> historyDiscards{0};
    std::atomic<bool> losingWriteAnswers{false};
    std::atomic<Duration> longestDelay{Duration::zero()};
    PageLimits pageLimits{}; //!< Guarded by the mutex, like the next four.
    std::set<std::string> repeatingPagesAddresses;
    std::string silentPrefix;
    std::set<std::string> refusingAddresses;
    std::set<std::string> silentAddresses;
    std::atomic<bool> repeating{false};
    std::atomic<bool> losing{false};
    std::map<std::string, HttpResponse> formerAnswers; //!< By the caller's address and port. Guarded by the mutex.
    std::mt19937 random; //!< Used on the server's thread only.
    std::thread thread;
};

} // namespace oleandergate::support

#endif
