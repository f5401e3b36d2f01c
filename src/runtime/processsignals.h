#ifndef OLEANDERGATE_RUNTIME_PROCESSSIGNALS_H
#define OLEANDERGATE_RUNTIME_PROCESSSIGNALS_H

namespace oleandergate {

//! Delivers SIGTERM, SIGINT and SIGHUP, which a program that calls this function holds back from before its static objects exist: they would end the process
//! while nothing handles them. To be called once it does, on the main thread. Such a program ignores SIGPIPE and SIGXFSZ for good: a log that nobody reads, or
//! that is too long for the system, does not end it.
void deliverSignals();

} // namespace oleandergate

#endif
