#ifndef OLEANDERGATE_GATEWAY_INTERFACES_TOKENBUDGETSERVICE_H
#define OLEANDERGATE_GATEWAY_INTERFACES_TOKENBUDGETSERVICE_H

#include "decision/error.h"
#include "gateway/relaycall.h"

#include <boost/asio/awaitable.hpp>

namespace oleandergate {

//! Keeps programs within their token budgets, over all instances.
class TokenBudgetService
{
public:
    virtual ~TokenBudgetService() = default;

    //! Sets \p tokens aside for one turn. Fails with BudgetExhausted when the program's budget does not hold them, and
    //! with ServiceUnavailable when nobody can tell. \p id is unique for each turn.
    virtual boost::asio::awaitable<Result<void>> reserve(ProgramContext program, Tokens tokens, std::string id) = 0;

    //! Ends the turn \p id: of the tokens set aside, \p used were handed to the caller.
    virtual void settle(const ProgramContext &program, std::string id, Tokens used) = 0;
};

} // namespace oleandergate

#endif
