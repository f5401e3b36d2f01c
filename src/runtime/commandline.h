#ifndef OLEANDERGATE_RUNTIME_COMMANDLINE_H
#define OLEANDERGATE_RUNTIME_COMMANDLINE_H

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

namespace oleandergate {

using CommandLine = std::map<std::string, docopt::value>;

//! Parses the command line of \p program as described by \p usage, in docopt syntax. Prints an error to standard error and
//! exits with status 2 when the arguments are invalid.
inline CommandLine parseCommandLine(const std::string &program, const char *usage, int argc, char **argv, const std::string &version = "0.1.0")
{
    constexpr int exitUsage = 2;
    try {
        return docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        std::exit(0);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << program << ' ' << version << '\n';
        std::exit(0);
    } catch (const docopt::DocoptArgumentError &error) {
        const std::string what = error.what();
        std::cerr << program << ": " << (what.empty() ? "invalid arguments; see --help" : what) << '\n';
        std::exit(exitUsage);
    }
}

} // namespace oleandergate

#endif
