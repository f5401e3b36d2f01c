#ifndef OLEANDERGATE_GATEWAY_INTERFACES_TOKENBUDGETSERVICE_H
#define OLEANDERGATE_GATEWAY_INTERFACES_TOKENBUDGETSERVICE_H

#include "decision/error.h"
#include "gateway/relaycall.h"

#include <boost/asio/awaitable.hpp>

namespace oleandergate {

//! Enforces the token budgets of programs across all instances.
class TokenBudgetService
{
public:
    virtual ~TokenBudgetService() = default;

    //! Reserves \p tokens for one turn of \p program. Fails with BudgetExhausted when they exceed what is left of the
    //! program's budget, and with ServiceUnavailable when that cannot be determined. \p id is unique for each turn.
    virtual boost::asio::awaitable<Result<void>> reserve(ProgramContext program, Tokens tokens, std::string id) = 0;

    //! Ends the turn \p id: \p used of the reserved tokens were passed on to the caller, the others go back to the budget. Called
    //! before the end of the answer is sent, so that they are back when the next turn arrives. Returns within a few milliseconds; a settlement
    //! that takes longer goes on.
    virtual boost::asio::awaitable<void> settle(ProgramContext program, std::string id, Tokens used) = 0;
};

} // namespace oleandergate

#endif
