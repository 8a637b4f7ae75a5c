// Command harehookctl is the operators' command line. It validates configuration files, shows the versions that a
// controller's sidecars have accepted and rejected, and reads and changes the agreed configuration of a group.
//
// Most commands are in the file of their name. The others are in changes.go (follow), history.go (config, diff),
// propose.go (rollback) and members.go (lead).
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"harehook.dev/harehook/internal/certs"
)

// Exit codes, as docs/operators.md lists them.
const (
	exitFault       = 1 // the command found a fault, or its request was rejected
	exitUsage       = 2 // invalid command, arguments or flags
	exitUnavailable = 3 // the controller or member does not answer, or its group has no majority
)

const (
	defaultAddress = "127.0.0.1:18000"
	// formerAddressFlag is the name of the flag "controller" in earlier releases. Scripts still use it.
	formerAddressFlag = "conductor"
	callTimeout       = 5 * time.Second
	maxMessageBytes   = 64 << 20    // of a response with thousands of sidecars and their resources
	controllerName    = "conductor" // server name in the certificates of controllers
)

// exitError is an error with the exit code of the command.
type exitError struct {
	error
	code int
}

func unavailable(err error) error { return exitError{err, exitUnavailable} }
func fault(err error) error       { return exitError{err, exitFault} }

// options holds the flags that all commands share.
type options struct {
	address string
	output  string
	files   certs.Files
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command line and returns its exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	o := &options{}
	root := &cobra.Command{Use: "harehookctl", Short: "Inspect and configure controllers and sidecars", SilenceUsage: true,
		SilenceErrors: true}
	flags := root.PersistentFlags()
	flags.StringVar(&o.address, "controller", defaultAddress, "address of the controller or of a group member")
	flags.StringVar(&o.address, formerAddressFlag, defaultAddress, "")
	flags.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
	flags.StringVar(&o.files.Certificate, "certificate", "", "path of the client certificate, if controllers require one")
	flags.StringVar(&o.files.Key, "key", "", "path of the private key of the certificate")
	flags.StringVar(&o.files.Roots, "roots", "", "path of the root certificates that verify controllers")
	if err := flags.MarkHidden(formerAddressFlag); err != nil {
		panic(err) // unreachable: the flag is defined above
	}
	root.AddCommand(o.check(), o.sidecars(), o.tables(), o.follow(), o.following(), o.followers())
	root.AddCommand(o.clusterCommands()...)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "harehookctl:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

// validate checks the flags beyond their types.
func (o *options) validate() error {
	if o.output != "text" && o.output != "json" {
		return fmt.Errorf("output must be text or json, got %q", o.output)
	}
	if (o.files.Certificate == "") != (o.files.Key == "") || (o.files.Key == "") != (o.files.Roots == "") {
		return errors.New("certificate, key and roots must be set together")
	}
	return nil
}

// dial creates a client connection to the controller.
func (o *options) dial() (*grpc.ClientConn, error) { return o.dialTo(o.address) }

// dialTo creates a client connection to a controller or a group member at an address.
func (o *options) dialTo(address string) (*grpc.ClientConn, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	transportCredentials := insecure.NewCredentials()
	certificates, err := certs.Load(o.files)
	if err != nil {
		return nil, fault(err)
	}
	if certificates != nil {
		transportCredentials = credentials.NewTLS(certificates.ClientConfig(controllerName))
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(transportCredentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
}
