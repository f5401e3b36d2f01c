#include "runtime/textfile.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace oleandergate {

std::optional<std::string> readTextFile(const std::string &file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream in(file);
    if (!in) {
        return std::nullopt;
    }
    text << in.rdbuf();
    return text.str();
}

} // namespace oleandergate
