#ifndef OLEANDERGATE_STANDINS_COMMON_STANDIN_H
#define OLEANDERGATE_STANDINS_COMMON_STANDIN_H

#include "runtime/httpserver.h"
#include "runtime/jsonaccess.h"

#include <boost/json/object.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace oleandergate::standin {

//! Appends a stand-in's record of requests to a file, one JSON object a line, for the checks of tests.
class Recorder
{
public:
    //! Records nothing when \p file is empty.
    explicit Recorder(const std::string &file);
    //! Writes \p record with the current time in microseconds as its field "at".
    void write(boost::json::object record);

private:
    std::mutex mutex;
    std::ofstream out;
};

//! Serves HTTP on \p address with \p handler until SIGTERM or SIGINT. Returns the exit status of the process.
int serve(const std::string &name, const std::string &address, unsigned threads, HttpHandler handler);

HttpResponse jsonResponse(const boost::json::object &object, int status = 200);

} // namespace oleandergate::standin

#endif
