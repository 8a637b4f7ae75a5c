// Command harehook is one controller of the platform: it reads its configuration from the file that GW_CONFIG names,
// accepts collectors, watches discovery and the relay, and sends commands to the relay until SIGTERM.
//
// SIGHUP has it read the configuration again: addresses of relay and discovery and the limits of cores and memory take
// effect at once, the rest after a restart. It exits with 0 after SIGTERM, and with 1 and one line on standard error
// after a start that cannot work.
//
// The program links the standard library and zap only: on the platform memory begins at 32 MB.
package main
