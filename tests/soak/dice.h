#ifndef OLEANDERGATE_TESTS_SOAK_DICE_H
#define OLEANDERGATE_TESTS_SOAK_DICE_H

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <random>
#include <span>

namespace oleandergate::soak {

using Milliseconds = std::chrono::milliseconds;

//! Seeded choices.
class Dice
{
public:
    explicit Dice(std::uint64_t seed)
        : generator(seed)
    {
    }

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(this->generator);
    }

    Milliseconds time(std::int64_t lowMs, std::int64_t highMs)
    {
        return Milliseconds(this->between(lowMs, highMs));
    }

    bool percent(int chance)
    {
        return this->between(1, 100) <= chance;
    }

    std::optional<Milliseconds> maybe(int chance, std::int64_t lowMs, std::int64_t highMs)
    {
        const Milliseconds chosen = this->time(lowMs, highMs);
        return this->percent(chance) ? std::optional(chosen) : std::nullopt;
    }

    template <typename T>
    T oneOf(std::initializer_list<T> values)
    {
        return values.begin()[this->between(0, static_cast<std::int64_t>(values.size()) - 1)];
    }

    template <typename T>
    T oneOf(std::span<const T> values)
    {
        return values[static_cast<std::size_t>(this->between(0, static_cast<std::int64_t>(values.size()) - 1))];
    }

private:
    std::mt19937_64 generator;
};

} // namespace oleandergate::soak

#endif
