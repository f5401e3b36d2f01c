#include "policy/fakeengine.h"

#include <algorithm>

namespace oleandergate::bench {

PrefixCache::PrefixCache(Tokens capacity)
    : capacity(capacity)
{
}

Tokens PrefixCache::lookUp(const std::string &key, Tokens prompt)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return 0;
    }
    this->usageOrder.splice(this->usageOrder.end(), this->usageOrder, found->second.usagePosition);
    return std::min(prompt, found->second.tokens);
}

void PrefixCache::store(const std::string &key, Tokens tokens)
{
    Entry &entry = this->entries[key];
    if (entry.tokens == 0) {
        entry.usagePosition = this->usageOrder.insert(this->usageOrder.end(), key);
    }
    this->total += std::max<Tokens>(0, tokens - entry.tokens);
    entry.tokens = std::max(entry.tokens, tokens);
    this->usageOrder.splice(this->usageOrder.end(), this->usageOrder, entry.usagePosition);
    while (this->total > this->capacity && this->usageOrder.size() > 1) {
        const auto oldest = this->entries.find(this->usageOrder.front());
        this->total -= oldest->second.tokens;
        this->entries.erase(oldest);
        this->usageOrder.pop_front();
    }
}

void PrefixCache::eraseWithPrefix(const std::string &prefix)
{
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && entry->first.starts_with(prefix);) {
        this->total -= entry->second.tokens;
        this->usageOrder.erase(entry->second.usagePosition);
        entry = this->entries.erase(entry);
    }
}

Tokens PrefixCache::totalTokens() const
{
    return this->total;
}

Tokens PrefixCache::tokensWithPrefix(const std::string &prefix) const
{
    Tokens tokens = 0;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && entry->first.starts_with(prefix); ++entry) {
        tokens += entry->second.tokens;
    }
    return tokens;
}

} // namespace oleandergate::bench
