#ifndef OLEANDERGATE_WIRE_PEERMESSAGE_H
#define OLEANDERGATE_WIRE_PEERMESSAGE_H

#include "decision/callanswer.h"
#include "decision/callrequest.h"
#include "decision/endpointcatalog.h"
#include "decision/error.h"
#include "decision/programphase.h"
#include "decision/programspec.h"
#include "wire/budgetmessages.h"

#include <string>
#include <variant>
#include <vector>

namespace oleandergate {

//! Run a call at its program's owner. Answered by AnswerChunk messages and one CallReply.
struct CallCommand
{
    CallRequest request{};
};

//! Create a program at its owner. Answered by one CallReply.
struct CreateCommand
{
    ProgramSpec spec{};
};

//! Take a program out of the Running phase. Answered by one CallReply.
struct EndCommand
{
    ProgramId program{};
    OrganisationId organisation{};
    ProgramPhase phase = ProgramPhase::Ended;
};

//! Ask for a program's state, or with an empty program for all programs of the instance. Answered by one TextReply.
struct StatusQuery
{
    ProgramId program{};
    OrganisationId organisation{}; //!< Empty for operators, who see every organisation.
    bool withHistory = false;
};

//! Ask which of the programs are gone, so that endpoints may free what they hold. Answered by one GoneReply.
struct GoneQuery
{
    std::vector<ProgramId> programs{};
};

//! Ask for the configuration in force. Answered by one ConfigReply.
struct ConfigQuery
{
};

//! A part of a streamed answer.
struct AnswerChunk
{
    std::string text{};
};

//! The end of a command.
struct CallReply
{
    bool succeeded = false;
    CallAnswer answer{};
    Error error{};
};

//! A document, or an error.
struct TextReply
{
    bool succeeded = false;
    std::string text{};
    Error error{};
};

//! The programs that are gone.
struct GoneReply
{
    std::vector<ProgramId> programs{};
};

//! A version of the configuration.
struct ConfigReply
{
    std::uint64_t version = 0; //!< 0 when the instance has none.
    std::string text{};
    std::string author{};
};

//! Ask which endpoints the instance knows. Answered by one EndpointsReply.
struct EndpointsQuery
{
};

struct EndpointsReply
{
    std::uint64_t revision = 0; //!< Revision of the key-value service up to which the instance knows them.
    bool trustsRemovals = false; //!< What is missing is gone, and not only not announced again yet.
    std::vector<EndpointEntry> entries{};
};

//! What instances say to each other over TCP.
using PeerMessage = std::variant<CallCommand,
                                 CreateCommand,
                                 EndCommand,
                                 StatusQuery,
                                 GoneQuery,
                                 ConfigQuery,
                                 AnswerChunk,
                                 CallReply,
                                 TextReply,
                                 GoneReply,
                                 ConfigReply,
                                 BudgetRequest,
                                 BudgetReply,
                                 BudgetSettlement,
                                 BudgetHandover,
                                 EndpointsQuery,
                                 EndpointsReply,
                                 BudgetReturn>;

//! What instances tell each other over UDP, a few times a second.
struct Heartbeat
{
    InstanceId instance{};
    std::uint64_t number = 0; //!< Grows with each heartbeat of an instance.
    std::uint64_t configVersion = 0;
    std::uint64_t serviceContactAge = 0; //!< Microseconds since the key-value service last answered.
    bool leaving = false;
};

} // namespace oleandergate

#endif
