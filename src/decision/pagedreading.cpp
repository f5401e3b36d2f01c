#include "decision/pagedreading.h"

namespace oleandergate {

void PagedReading::Page::add(const std::string &key, std::size_t kept)
{
    this->items += 1;
    this->keptBytes += kept;
    if (!this->lowestKey || key < *this->lowestKey) {
        this->lowestKey = key;
    }
    if (!this->highestKey || key > *this->highestKey) {
        this->highestKey = key;
    }
}

PagedReading::PagedReading(Limits limits)
    : limits(limits)
{
}

PageVerdict PagedReading::onPage(const Page &page)
{
    this->pageCount += 1;
    this->itemCount += page.items;
    this->keptByteCount += page.keptBytes;
    const bool isRepeated = this->last && page.lowestKey && *page.lowestKey <= *this->last;
    if (isRepeated || (page.isTruncated && !page.highestKey)) {
        return PageVerdict::NotForward;
    }
    if (page.highestKey) {
        this->last = page.highestKey;
    }
    if (this->itemCount > this->limits.items) {
        return PageVerdict::TooManyItems;
    }
    if (this->keptByteCount > this->limits.keptBytes) {
        return PageVerdict::TooManyBytes;
    }
    return page.isTruncated ? PageVerdict::Continue : PageVerdict::Complete;
}

const std::optional<std::string> &PagedReading::lastKey() const
{
    return this->last;
}

std::size_t PagedReading::pages() const
{
    return this->pageCount;
}

std::size_t PagedReading::items() const
{
    return this->itemCount;
}

std::size_t PagedReading::keptBytes() const
{
    return this->keptByteCount;
}

} // namespace oleandergate
