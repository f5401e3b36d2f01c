#ifndef OLEANDERGATE_TESTS_SUPPORT_PORTBLOCK_H
#define OLEANDERGATE_TESTS_SUPPORT_PORTBLOCK_H

#include <atomic>

namespace oleandergate::support {

//! Ports that belong to this process of tests alone: others, which may run at the same time, take other blocks. A port that is free between the end of a
//! process and its next start would be taken otherwise.
class PortBlock
{
public:
    //! Takes a block that no other process has, for as long as this one runs. If there is none left, it shares one.
    PortBlock();
    ~PortBlock();
    PortBlock(const PortBlock &) = delete;
    PortBlock &operator=(const PortBlock &) = delete;

    //! Returns the ports of the block by turns.
    int next();

private:
    int lockFile = -1; //!< Its lock stands for the block, and ends with the process.
    int first = 0;
    std::atomic<unsigned> taken{0};
};

} // namespace oleandergate::support

#endif
