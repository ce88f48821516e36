#include "primrosebridge/Commands/help.h"

namespace PrimroseBridge {

std::string helpText()
{
    return R"(primrosectl - command line of primrosebridge for callers and operators

Usage: primrosectl SUBCOMMAND [OPTIONS]

Requests:
  submit --class=CLASS [--key=KEY] [--payload=TEXT | --payload_file=FILE] [--zone=ZONE]
         [--declared_run_time_ms=N] [--wait]     submit a request
  get KEY                                        show the state or the outcome of a request
  wait KEY                                       wait for the outcome of a request
  cancel KEY                                     cancel a request
  explain KEY                                    show why a request waits or where it was placed

Configuration (operators):
  config check FILE                              check a document without a server
  config show [--defaults]                       print the document in force [with defaults filled in]
  config diff FILE                               compare the document in force with a file
  config apply FILE [--if_version=N]             put a document into force [only if version N is in force]
  config history                                 list earlier versions
  config rollback VERSION                        put an earlier document into force as a new version

State:
  fleet                                          workers and guarantees of the server's zone
  timeline [--request=KEY] [--since=SECONDS]     events of all processes
  settings check FILE                            check the settings of a process without a server
  log-level LEVEL                                set the log level of every server named by --server

Options:
  --server=IP:PORT[,IP:PORT...]   servers, default 127.0.0.1:8080; may be repeated. The next one is tried if one
                                  cannot be reached and the call is safe to repeat.
  --token=TOKEN                   bearer token; PRIMROSEBRIDGE_TOKEN is safer, because other users of the machine
                                  can see the command line
  --output=table|json             default table
  --timeout=SECONDS               longest time for the whole command, default 30; 30 days when waiting for a job
  --help                          print this text

A file named - is standard input. Without --key, submit chooses a key and prints it.

Examples:
  primrosectl submit --class=glaze-check --key=glaze-17 --payload='{"tile": 17}' --wait
  primrosectl wait kiln-2026-12-04 --timeout=14400
  primrosectl config check examples/zwolle.json
  primrosectl config apply zwolle.json --if_version=41
  primrosectl timeline --request=glaze-17 --since=600 --output=json

Exit codes:
  0  done
  1  the job failed or was cancelled
  2  usage: an argument, a file or a request is wrong or too large
  3  the token is missing, unknown or lacks the permission
  4  not found
  5  conflict: another writer was first, or the key names a different request
  6  a queue is full or no server can be reached; try again later
  7  the outcome is pending or unknown, or an answer was lost; ask again
  8  the job was not run, or can never run
  9  internal error
)";
}

} // namespace PrimroseBridge
