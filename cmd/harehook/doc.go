// Command harehook runs one controller of the platform. It reads its configuration from the file named by GW_CONFIG,
// accepts connections from collectors, watches discovery and the relay, and sends commands to the relay until SIGTERM.
//
// On SIGHUP it reloads the configuration. New relay and discovery addresses and new core and memory limits take effect
// immediately, all other changes after a restart. It exits with code 0 after SIGTERM. If it cannot start, it prints one
// line to standard error and exits with code 1.
//
// The program links only the standard library and zap, because the platform's memory limits start at 32 MB.
package main
