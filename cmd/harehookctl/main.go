// Command harehookctl is the operators' command line: it checks configurations, shows what a controller's sidecars have
// accepted and rejected, and reads and changes the configuration that a group agrees on. Each command is in a file of its
// name.
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
	exitFault       = 1 // what was asked about is not in order
	exitUsage       = 2 // the call cannot be understood
	exitUnavailable = 3 // the controller does not answer
)

const (
	defaultAddress = "127.0.0.1:18000"
	// formerAddressFlag is what the flag "controller" was called in earlier releases; scripts go on to use it.
	formerAddressFlag = "conductor"
	callTimeout       = 5 * time.Second
	maxMessageBytes   = 64 << 20    // of an answer: thousands of sidecars with their resources
	controllerName    = "conductor" // that certificates of controllers state
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	error
	code int
}

func unavailable(err error) error { return exitError{err, exitUnavailable} }
func fault(err error) error       { return exitError{err, exitFault} }

// options are the flags that all commands share.
type options struct {
	address string
	output  string
	files   certs.Files
}

func main() { os.Exit(run(os.Args[1:])) }

// run carries out a call of the command line and returns its exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	o := &options{}
	root := &cobra.Command{Use: "harehookctl", Short: "Shows and checks what controllers and sidecars do", SilenceUsage: true,
		SilenceErrors: true}
	flags := root.PersistentFlags()
	flags.StringVar(&o.address, "controller", defaultAddress, "address of the controller, or of a group's member")
	flags.StringVar(&o.address, formerAddressFlag, defaultAddress, "")
	flags.StringVarP(&o.output, "output", "o", "text", "text or json")
	flags.StringVar(&o.files.Certificate, "certificate", "", "file of the certificate, where controllers ask for one")
	flags.StringVar(&o.files.Key, "key", "", "file of its key")
	flags.StringVar(&o.files.Roots, "roots", "", "file of the roots that controllers are checked by")
	if err := flags.MarkHidden(formerAddressFlag); err != nil {
		panic(err) // it was defined just before
	}
	root.AddCommand(o.check(), o.sidecars(), o.tables(), o.follow(), o.following(), o.followers())
	root.AddCommand(o.clusterCommands()...)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "harehookctl:", err)
	var w exitError
	if errors.As(err, &w) {
		return w.code
	}
	return exitUsage
}

// valid checks the flags that cobra does not.
func (o *options) valid() error {
	if o.output != "text" && o.output != "json" {
		return fmt.Errorf("the output is text or json, not %q", o.output)
	}
	if (o.files.Certificate == "") != (o.files.Key == "") || (o.files.Key == "") != (o.files.Roots == "") {
		return errors.New("certificate, key and roots go together")
	}
	return nil
}

// dial prepares a connection to the controller.
func (o *options) dial() (*grpc.ClientConn, error) { return o.dialTo(o.address) }

// dialTo prepares a connection to another controller of the installation.
func (o *options) dialTo(address string) (*grpc.ClientConn, error) {
	if err := o.valid(); err != nil {
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
