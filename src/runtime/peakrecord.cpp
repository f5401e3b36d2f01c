#include "runtime/peakrecord.h"

#include "runtime/jsonaccess.h"

#include <boost/json.hpp>

namespace oleandergate {

namespace json = boost::json;

std::string serializePeakLedger(const PeakLedger &ledger)
{
    json::object grants;
    for (const auto &[instance, grant] : ledger.grants) {
        grants[instance]
            = json::object{{"tokens", grant.perMinute}, {"through", grant.through}, {"reduced_from", grant.reducedFrom}, {"reduced_to", grant.reducedTo}};
    }
    json::object demands;
    for (const auto &[instance, demand] : ledger.demands) {
        demands[instance] = demand;
    }
    return json::serialize(json::object{{"cap", ledger.cap}, {"grants", grants}, {"demands", demands}});
}

PeakLedger parsePeakLedger(const std::string &text)
{
    PeakLedger ledger;
    const json::object root = parseJsonObject(text);
    ledger.cap = jsonNumber(root, "cap");
    if (const json::value *grants = root.if_contains("grants"); grants != nullptr && grants->is_object()) {
        for (const auto &[instance, entry] : grants->get_object()) {
            if (entry.is_object()) {
                const json::object &grant = entry.get_object();
                ledger.grants[std::string(instance)]
                    = PeakGrant{jsonNumber(grant, "tokens"), jsonNumber(grant, "through"), jsonNumber(grant, "reduced_from"), jsonNumber(grant, "reduced_to")};
            }
        }
    }
    if (const json::value *demands = root.if_contains("demands"); demands != nullptr && demands->is_object()) {
        for (const auto &[instance, entry] : demands->get_object()) {
            ledger.demands[std::string(instance)] = entry.is_int64() ? entry.get_int64() : 0;
        }
    }
    return ledger;
}

} // namespace oleandergate
