#ifndef OLEANDERGATE_DECISION_PAGEDREADING_H
#define OLEANDERGATE_DECISION_PAGEDREADING_H

#include "decision/nametable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace oleandergate {

//! What follows from a page of a reading.
enum class PageVerdict : std::uint8_t {
    Complete,
    Continue, //!< The next page is to be read.
    NotForward, //!< The page has keys that were read before, or none, though more are said to follow.
    TooManyItems,
    TooManyBytes,
};

inline constexpr std::array<NamedValue<PageVerdict>, 5> pageVerdictNames{{
    {PageVerdict::Complete, "complete"},
    {PageVerdict::Continue, "continue"},
    {PageVerdict::NotForward, "page does not go forward"},
    {PageVerdict::TooManyItems, "more items than one reading may have"},
    {PageVerdict::TooManyBytes, "more bytes than one reading may keep"},
}};

//! Follows one reading of a range of keys, in pages that another party writes, and decides whether it goes on. Keys are ordered by their bytes.
class PagedReading
{
public:
    struct Limits
    {
        std::size_t items = 0; //!< Of all pages together.
        std::size_t keptBytes = 0;
    };

    struct Page
    {
        std::size_t items = 0;
        std::size_t keptBytes = 0; //!< Of the items that the reader keeps.
        std::optional<std::string> lowestKey{}; //!< None of a page without items, like the next one.
        std::optional<std::string> highestKey{};
        bool isTruncated = false; //!< Further pages follow.

        //! Adds an item with \p key, of which the reader keeps \p kept bytes.
        void add(const std::string &key, std::size_t kept);
    };

    explicit PagedReading(Limits limits);

    PageVerdict onPage(const Page &page);

    //! Returns the key behind which the next page begins; none before the first page.
    const std::optional<std::string> &lastKey() const;

    std::size_t pages() const;
    std::size_t items() const;
    std::size_t keptBytes() const;

private:
    Limits limits;
    std::optional<std::string> last;
    std::size_t pageCount = 0;
    std::size_t itemCount = 0;
    std::size_t keptByteCount = 0;
};

} // namespace oleandergate

#endif
