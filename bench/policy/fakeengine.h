#ifndef OLEANDERGATE_POLICY_FAKEENGINE_H
#define OLEANDERGATE_POLICY_FAKEENGINE_H

#include "decision/ids.h"

#include <list>
#include <map>
#include <string>

namespace oleandergate::bench {

//! Prefixes held by one engine, up to a number of tokens; the one used longest ago goes first.
class PrefixCache
{
public:
    explicit PrefixCache(Tokens capacity);

    //! Returns the tokens of \p key that are held, at most \p prompt, and marks them as used.
    Tokens lookUp(const std::string &key, Tokens prompt);

    void store(const std::string &key, Tokens tokens);
    void eraseWithPrefix(const std::string &prefix);
    Tokens totalTokens() const;

    //! Returns the tokens held under keys that start with \p prefix.
    Tokens tokensWithPrefix(const std::string &prefix) const;

private:
    struct Entry
    {
        Tokens tokens = 0;
        std::list<std::string>::iterator usagePosition{};
    };

    Tokens capacity;
    Tokens total = 0;
    std::map<std::string, Entry> entries;
    std::list<std::string> usageOrder;
};

//! One engine: how many calls run, whether it is in a slow moment, and its cache.
struct FakeEngine
{
    PrefixCache cache;
    std::uint32_t running = 0;
    double slowFactor = 1.0;
};

} // namespace oleandergate::bench

#endif
