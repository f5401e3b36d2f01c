#ifndef OLEANDERGATE_SUPPORT_PEERLINKS_H
#define OLEANDERGATE_SUPPORT_PEERLINKS_H

#include "support/linkcutlist.h"

#include <set>
#include <string>
#include <vector>

namespace oleandergate::support {

//! The links from one gateway's process to its peers, each of which can be cut in this direction.
class PeerLinks
{
public:
    //! Creates the list of cut links in \p file.
    explicit PeerLinks(const std::string &file);
    ~PeerLinks();
    PeerLinks(PeerLinks &&other) noexcept;
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;
    PeerLinks &operator=(PeerLinks &&) = delete;

    //! Returns what the environment of the process has to have, as NAME=VALUE.
    std::vector<std::string> environment() const;

    //! Cuts the links to exactly these addresses (IP address and port), and opens all others.
    void cut(const std::set<std::string> &addresses);

private:
    std::string file;
    LinkCutList *list = nullptr;
};

} // namespace oleandergate::support

#endif
