#ifndef OLEANDERGATE_POLICY_FAKEENGINE_H
#define OLEANDERGATE_POLICY_FAKEENGINE_H

#include "decision/ids.h"

#include <list>
#include <map>
#include <string>

namespace oleandergate::bench {

//! Simulated prefix cache of an engine: holds prefixes by key up to a total number of tokens and evicts the least recently used one first.
class PrefixCache
{
public:
    explicit PrefixCache(Tokens capacity);

    //! Returns the number of cached tokens of \p key, at most \p prompt, and marks the entry as used.
    Tokens lookUp(const std::string &key, Tokens prompt);

    //! Caches \p tokens tokens under \p key. An entry never shrinks. Evicts other entries while the cache is over its capacity.
    void store(const std::string &key, Tokens tokens);

    //! Removes all entries whose keys start with \p prefix.
    void eraseWithPrefix(const std::string &prefix);

    Tokens totalTokens() const;

    //! Returns the number of tokens cached under keys that start with \p prefix.
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
    std::list<std::string> usageOrder; //!< Keys, least recently used first.
};

//! State of one simulated engine.
struct FakeEngine
{
    PrefixCache cache;
    std::uint32_t running = 0; //!< Number of calls in the batch.
    double slowFactor = 1.0; //!< Multiple of the normal time per token; above 1 during a slow phase.
};

} // namespace oleandergate::bench

#endif
