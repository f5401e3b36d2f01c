#ifndef OLEANDERGATE_STANDINS_COMMON_STANDIN_H
#define OLEANDERGATE_STANDINS_COMMON_STANDIN_H

#include "runtime/httpserver.h"
#include "runtime/jsonaccess.h"

#include <boost/json/object.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace oleandergate::standin {

//! Writes what a stand-in saw, one JSON object a line. The evidence of tests.
class Recorder
{
public:
    explicit Recorder(const std::string &file);
    void write(boost::json::object record);

private:
    std::mutex mutex;
    std::ofstream out;
};

//! Serves \p handler on \p address until SIGTERM. Returns the exit status.
int serve(const std::string &name, const std::string &address, unsigned threads, HttpHandler handler);

//! Returns a JSON response.
HttpResponse jsonResponse(const boost::json::object &object, int status = 200);

} // namespace oleandergate::standin

#endif
