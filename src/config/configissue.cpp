#include "config/configissue.h"

namespace oleandergate {

std::string describe(const ConfigIssue &issue)
{
    return issue.file + ":" + std::to_string(issue.line) + ": " + issue.key + ": found " + issue.found + "; allowed: " + issue.allowed;
}

std::string describe(const ConfigIssues &issues)
{
    std::string text;
    for (const ConfigIssue &issue : issues) {
        text += describe(issue) + "\n";
    }
    return text;
}

} // namespace oleandergate
