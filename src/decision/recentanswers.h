#ifndef OLEANDERGATE_DECISION_RECENTANSWERS_H
#define OLEANDERGATE_DECISION_RECENTANSWERS_H

#include <cstdint>

namespace oleandergate {

//! The latest answers to a yes-or-no question.
class RecentAnswers
{
public:
    void add(bool answer);

    //! Returns whether any of the remembered answers was yes.
    bool hasAny() const;

    //! Returns whether any of the remembered answers was no.
    bool hasNo() const;

    //! Returns whether there are as many answers as are remembered, and each was yes.
    bool areAll() const;

    static constexpr std::uint32_t capacity = 8;

private:
    std::uint32_t bits = 0; //!< The latest answer is the lowest bit.
    std::uint32_t count = 0;
};

} // namespace oleandergate

#endif
