#include "primrosebridge/Commands/help.h"

#include <algorithm>

namespace PrimroseBridge {

/// Help text of a subcommand.
struct HelpTopic {
    const std::string m_name; ///< Words of the subcommand, separated by one space.
    const std::string m_usage; ///< Operand and options of the subcommand.
    const std::string m_summary;
    const std::string m_details; ///< Description of the options and the behaviour; each line ends with a line feed.
    const std::string m_examples; ///< Example command lines; each ends with a line feed.
};

static const std::vector<HelpTopic> helpTopics = {
    {"submit",
     "--class=CLASS [OPTIONS]",
     "submit a request",
     "  --class=CLASS              job class of the configuration; required\n"
     "  --key=KEY                  request key; chosen and printed on standard error if absent\n"
     "  --payload=TEXT             payload, UTF-8 text\n"
     "  --payload_file=FILE        file with the payload; - is standard input\n"
     "  --zone=ZONE                availability zone; chosen by the system if absent\n"
     "  --declared_run_time_ms=N   expected run time in milliseconds; that of the class if absent\n"
     "  --wait                     wait for the outcome\n"
     "Submitting a key again is safe: the server returns the state of the first submission.\n",
     "  primrosectl submit --class=glaze-check --key=glaze-17 --payload='{\"tile\": 17}' --wait\n"
     "  primrosectl submit --class=kiln-curve --key=kiln-4 --payload_file=curve.json --zone=deventer\n"},
    {"get", "KEY", "show the state or the outcome of a request", "", "  primrosectl get glaze-17 --output=json\n"},
    {"wait",
     "KEY",
     "wait for the outcome of a request",
     "Prints progress to standard error. Exits with code 7 if the timeout expires first.\n",
     "  primrosectl wait kiln-4 --timeout=14400\n"},
    {"cancel", "KEY", "cancel a request", "Exits with code 5 if the request had already ended.\n", "  primrosectl cancel kiln-4\n"},
    {"explain", "KEY", "show why a request is waiting or where it was placed", "", "  primrosectl explain kiln-4\n"},
    {"config check",
     "FILE",
     "check a configuration document",
     "Lists every fault with its path, the limit and the remedy. Needs neither server nor token.\n",
     "  primrosectl config check examples/zwolle.json\n"},
    {"config show",
     "[--defaults]",
     "print the configuration in force",
     "  --defaults   fill in every default; without comments\n",
     "  primrosectl config show > zwolle.json\n"},
    {"config diff",
     "FILE",
     "compare the configuration in force with a file",
     "Entries are matched by identifier.\n",
     "  primrosectl config diff zwolle.json\n"},
    {"config apply",
     "FILE [--if_version=N]",
     "put a configuration into force",
     "  --if_version=N   only if version N is in force; 0 for the first configuration\n"
     "Exits with code 5 if another version is in force. A rejected document has no effect.\n",
     "  primrosectl config apply zwolle.json --if_version=41\n"},
    {"config history", "", "list earlier configurations", "", "  primrosectl config history\n"},
    {"config rollback", "VERSION", "put an earlier configuration into force as a new version", "", "  primrosectl config rollback 40\n"},
    {"fleet", "", "show workers and guarantees of the server's zone", "", "  primrosectl fleet --server=10.0.3.11:8080\n"},
    {"timeline",
     "[--request=KEY] [--since=SECONDS]",
     "show the events of all processes",
     "  --request=KEY     only the events of this request and their causes\n"
     "  --since=SECONDS   only the events of this period\n",
     "  primrosectl timeline --request=glaze-17 --since=600\n"},
    {"preview",
     "FILE --server=IP:PORT",
     "show where a job would be placed now, without submitting it",
     "FILE holds a JSON object with 'queue', 'steps' and optionally 'organisation'; each step has the fields of 'phases' in a submission.\n"
     "--server names the metrics address of any entry VM; no token is needed. Each VM serves one preview a second.\n",
     "  primrosectl preview job.json --server=10.0.3.11:7015\n"},
    {"settings check", "FILE", "check the settings of a process", "Needs neither server nor token.\n", "  primrosectl settings check vm1.json\n"},
    {"log-level",
     "LEVEL",
     "set the log level of every server named by --server",
     "LEVEL is trace, debug, info, warn or error.\n",
     "  primrosectl log-level debug --server=10.0.3.11:8080\n"},
};

static const std::string commonOptions = R"(Options of every subcommand:
  --server=IP:PORT[,IP:PORT...]   servers, default 127.0.0.1:8080; may be repeated. The next one is tried if one
                                  cannot be reached and the call is safe to repeat.
  --token=TOKEN                   bearer token; PRIMROSEBRIDGE_TOKEN is safer, because other users of the machine
                                  can see the command line
  --output=table|json             default table
  --timeout=SECONDS               time limit for the whole command, default 30; 30 days when waiting for a job
  --help                          print this text, or that of a subcommand
)";

static const std::string exitCodes = R"(Exit codes:
  0  done
  1  the job failed or was cancelled
  2  usage: an argument, a file or a request is invalid or too large
  3  the token is missing, unknown or lacks the permission
  4  not found
  5  conflict: another writer was first, the key names a different request, or the request had already ended
  6  a queue is full or no server can be reached; try again later
  7  the outcome is pending or unknown, or a response was lost; query the request again
  8  the job was not run, or can never run
  9  internal error
)";

static std::string overviewText()
{
    constexpr std::size_t summaryColumn = 52;
    std::string text = "primrosectl - command line of primrosebridge for callers and operators\n\nUsage: primrosectl SUBCOMMAND [OPTIONS]\n\n";
    for (const auto &topic : helpTopics) {
        auto line = "  " + topic.m_name + " " + topic.m_usage;
        line.resize(std::max(line.size() + 1, summaryColumn), ' ');
        text += line + topic.m_summary + "\n";
    }
    text += "\nprimrosectl SUBCOMMAND --help prints its options and examples. A file named - is standard input.\n\n";
    return text + commonOptions + "\n" + exitCodes;
}

static std::string topicText(const HelpTopic &topic)
{
    auto text = "Usage: primrosectl " + topic.m_name + " " + topic.m_usage + "\n\n" + topic.m_summary + "\n";
    if (!topic.m_details.empty()) {
        text += "\n" + topic.m_details;
    }
    return text + "\nExamples:\n" + topic.m_examples + "\n" + commonOptions + "\n" + exitCodes;
}

std::string helpText(const std::vector<std::string> &arguments)
{
    const auto oneWordName = arguments.empty() ? std::string() : arguments[0];
    const auto twoWordName = arguments.size() < 2 ? oneWordName : oneWordName + " " + arguments[1];
    const auto found = std::find_if(
        helpTopics.begin(), helpTopics.end(), [&](const HelpTopic &topic) { return topic.m_name == oneWordName || topic.m_name == twoWordName; });
    return found == helpTopics.end() ? overviewText() : topicText(*found);
}

} // namespace PrimroseBridge
