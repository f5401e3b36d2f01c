#ifndef OLEANDERGATE_INTEGRATION_TESTPROGRAM_H
#define OLEANDERGATE_INTEGRATION_TESTPROGRAM_H

#include "support/testcluster.h"

#include <boost/json.hpp>

#include <string>

namespace oleandergate::support {

//! Creates a program through \p instance. Returns the HTTP status, or 0 when there was no response.
inline int createProgram(TestCluster &cluster, std::size_t instance, const std::string &program, const char *key = nakhlaKey)
{
    const std::string body = boost::json::serialize(boost::json::object{{"kind", "round"}, {"id", program}});
    const auto response = cluster.call(instance, TestRequest{"POST", "/v1/programs", body, callHeaders("", "", 0, "", key)});
    return response ? response->status : 0;
}

//! Sends a chat completion. The text "[[tokens=N]]" sets the length of the stand-in engine's answer.
inline std::optional<HttpResponse> chat(TestCluster &cluster,
                                        std::size_t instance,
                                        const std::string &program,
                                        const std::string &request,
                                        int sequence,
                                        const std::string &text = "hello [[tokens=8]]")
{
    return cluster.call(instance, TestRequest{"POST", "/v1/chat/completions", chatBody(text), callHeaders(program, request, sequence)});
}

//! Sends a booking, a service call that is not repeatable.
inline std::optional<HttpResponse> book(TestCluster &cluster, std::size_t instance, const std::string &program, const std::string &request, int sequence)
{
    return cluster.call(instance, TestRequest{"POST", "/v1/services/dispatch-app/bookings", "{}", callHeaders(program, request, sequence)});
}

inline std::string errorField(const HttpResponse &response, const char *field)
{
    const boost::json::value document = boost::json::parse(response.body);
    return std::string(document.at("error").at(field).as_string());
}

//! Returns how many of the endpoints' records have \p kind and \p request, not counting refused calls.
inline int countRecords(const TestCluster &cluster, const std::string &kind, const std::string &request)
{
    int count = 0;
    for (const boost::json::object &record : cluster.records()) {
        const bool accepted = !record.contains("accepted") || record.at("accepted").as_bool();
        count += accepted && record.at("kind").as_string() == kind && record.at("request").as_string() == request ? 1 : 0;
    }
    return count;
}

//! Returns the index of a running instance other than \p other.
inline std::size_t runningInstanceOtherThan(const TestCluster &cluster, std::size_t other)
{
    for (std::size_t index = 0; index < cluster.instances.size(); ++index) {
        if (index != other && cluster.instances[index].isRunning()) {
            return index;
        }
    }
    return 0;
}

} // namespace oleandergate::support

#endif
