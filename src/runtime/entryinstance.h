#ifndef OLEANDERGATE_RUNTIME_ENTRYINSTANCE_H
#define OLEANDERGATE_RUNTIME_ENTRYINSTANCE_H

#include "config/settings.h"
#include "decision/error.h"

#include <memory>

namespace oleandergate {

//! One instance of the scheduler: creates all services of the process and runs them until a graceful stop.
class EntryInstance
{
public:
    explicit EntryInstance(const Settings &settings);
    ~EntryInstance();
    EntryInstance(const EntryInstance &) = delete;
    EntryInstance &operator=(const EntryInstance &) = delete;

    //! Runs until a graceful stop is complete. Fails when an address cannot be bound.
    Result<void> run();

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
