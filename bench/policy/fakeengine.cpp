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
    this->ages.splice(this->ages.end(), this->ages, found->second.age);
    return std::min(prompt, found->second.tokens);
}

void PrefixCache::hold(const std::string &key, Tokens tokens)
{
    Entry &entry = this->entries[key];
    if (entry.tokens == 0) {
        entry.age = this->ages.insert(this->ages.end(), key);
    }
    this->total += std::max<Tokens>(0, tokens - entry.tokens);
    entry.tokens = std::max(entry.tokens, tokens);
    this->ages.splice(this->ages.end(), this->ages, entry.age);
    while (this->total > this->capacity && this->ages.size() > 1) {
        const auto oldest = this->entries.find(this->ages.front());
        this->total -= oldest->second.tokens;
        this->entries.erase(oldest);
        this->ages.pop_front();
    }
}

void PrefixCache::release(const std::string &prefix)
{
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && entry->first.starts_with(prefix);) {
        this->total -= entry->second.tokens;
        this->ages.erase(entry->second.age);
        entry = this->entries.erase(entry);
    }
}

Tokens PrefixCache::held() const
{
    return this->total;
}

Tokens PrefixCache::heldBy(const std::string &prefix) const
{
    Tokens tokens = 0;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && entry->first.starts_with(prefix); ++entry) {
        tokens += entry->second.tokens;
    }
    return tokens;
}

} // namespace oleandergate::bench
