#ifndef OLEANDERGATE_TESTS_GATEWAY_BUDGETCLUSTER_H
#define OLEANDERGATE_TESTS_GATEWAY_BUDGETCLUSTER_H

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <string>

namespace oleandergate::support {

inline constexpr int budget = 1000; //!< Tokens of a program.
inline constexpr int maxTokensPerTurn = 100;
inline constexpr int tokensPerTurn = 10 * StandinEndpoint::eventCount;
inline constexpr int slotCount = 128;
inline constexpr int statusBudgetExhausted = 402;

//! Ready gateways, which together own all budget slots.
struct BudgetCluster : GatewayCluster
{
    BudgetCluster(std::size_t gatewayCount, std::size_t endpointCount)
        : GatewayCluster(gatewayCount, endpointCount)
    {
        REQUIRE(this->startServing());
        REQUIRE(waitFor(
            [this]() {
                return this->areSlotsOwned();
            },
            logTimeoutMs));
    }

    bool areSlotsOwned() const
    {
        for (int slot = 0; slot < slotCount; ++slot) {
            if (this->store.value("oleandergate/budget/slots/" + std::to_string(slot)).empty()) {
                return false;
            }
        }
        return true;
    }
};

} // namespace oleandergate::support

#endif
