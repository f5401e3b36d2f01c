#ifndef OLEANDERGATE_WIRE_PEERMESSAGE_H
#define OLEANDERGATE_WIRE_PEERMESSAGE_H

#include "decision/callanswer.h"
#include "decision/callrequest.h"
#include "decision/endpointcatalog.h"
#include "decision/error.h"
#include "decision/programphase.h"
#include "decision/programspec.h"
#include "wire/allowancemessages.h"
#include "wire/budgetmessages.h"
#include "wire/permitmessages.h"
#include "wire/tunnelmessages.h"
#include "wire/versionmessages.h"

#include <string>
#include <variant>
#include <vector>

namespace oleandergate {

//! Runs a call at its program's owner. Answered by AnswerChunk messages and one CallReply.
struct CallCommand
{
    CallRequest request{};
};

//! Creates a program at its owner. Answered by one CallReply.
struct CreateCommand
{
    ProgramSpec spec{};
};

//! Moves a program from the Running phase to \ref phase at its owner. Answered by one CallReply.
struct EndCommand
{
    ProgramId program{};
    OrganisationId organisation{};
    ProgramPhase phase = ProgramPhase::Ended;
};

//! Queries the state of a program, or of all programs of the instance if \ref program is empty. Answered by one TextReply.
struct StatusQuery
{
    ProgramId program{};
    OrganisationId organisation{}; //!< Empty for operators, who see every organisation.
    bool withHistory = false;
};

//! Queries which of the programs have ended or are unknown to their owner, so that endpoints can release their caches. Answered by one GoneReply.
struct GoneQuery
{
    std::vector<ProgramId> programs{};
};

//! Queries the active configuration. Answered by one ConfigReply.
struct ConfigQuery
{
};

//! A part of a streamed answer.
struct AnswerChunk
{
    std::string text{};
};

//! Result of a CallCommand, CreateCommand or EndCommand.
struct CallReply
{
    bool succeeded = false;
    CallAnswer answer{};
    Error error{};
};

//! A JSON document, or an error.
struct TextReply
{
    bool succeeded = false;
    std::string text{};
    Error error{};
};

//! The queried programs that have ended or are unknown to their owner.
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

//! Queries the endpoints that the instance knows. Answered by one EndpointsReply.
struct EndpointsQuery
{
};

struct EndpointsReply
{
    std::uint64_t revision = 0; //!< Revision of the key-value service that the entries reflect.
    bool trustsRemovals = false; //!< An endpoint that is missing was removed; false while it may only not have registered again yet.
    std::vector<EndpointEntry> entries{};
    bool hasVersions = false; //!< The entries have software versions. Instances of an earlier build send none.
};

//! Message between instances over TCP. The index of the type in this list is part of the encoding.
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
                                 BudgetReturn,
                                 PermitRequest,
                                 PermitReply,
                                 TunnelRequest,
                                 TunnelReply,
                                 VersionRecordsQuery,
                                 VersionRecordsReply,
                                 AllowanceQuery,
                                 AllowanceReply,
                                 StreamOriginQuery,
                                 StreamOriginReply>;

//! State that entry instances report to each other over UDP, a few times a second.
struct Heartbeat
{
    InstanceId instance{};
    std::uint64_t number = 0; //!< Time of sending by the instance's clock, in microseconds; increases with each heartbeat of an instance.
    std::uint64_t configVersion = 0;
    std::uint64_t serviceContactAge = 0; //!< Microseconds since the key-value service last answered.
    bool leaving = false;
};

} // namespace oleandergate

#endif
