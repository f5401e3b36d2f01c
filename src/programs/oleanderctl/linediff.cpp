#include "programs/oleanderctl/linediff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace oleandergate {

namespace {

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

std::string lineDiff(const std::string &before, const std::string &after)
{
    const std::vector<std::string> left = linesOf(before);
    const std::vector<std::string> right = linesOf(after);
    // common[i][j] is the length of the longest common subsequence of left from line i on and right from line j on.
    std::vector<std::vector<std::size_t>> common(left.size() + 1, std::vector<std::size_t>(right.size() + 1, 0));
    for (std::size_t i = left.size(); i-- > 0;) {
        for (std::size_t j = right.size(); j-- > 0;) {
            common[i][j] = left[i] == right[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::string diff;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (j >= right.size() || (i < left.size() && common[i + 1][j] >= common[i][j + 1])) {
            diff += "-" + left[i++] + "\n";
        } else {
            diff += "+" + right[j++] + "\n";
        }
    }
    return diff;
}

} // namespace oleandergate
