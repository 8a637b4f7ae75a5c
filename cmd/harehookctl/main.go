// Command harehookctl is the operators' command line: it checks configurations and shows what a conductor's sidecars
// hold and refuse.
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
	exitFault   = 1 // what was asked about is not in order
	exitUsage   = 2 // the call can't be understood
	exitAway    = 3 // the conductor does not answer
	askWithin   = 5 * time.Second
	messageMost = 64 << 20 // bytes of an answer: thousands of sidecars with their resources
)

// wrong is an error with the exit code that it ends with.
type wrong struct {
	error
	code int
}

func away(err error) error  { return wrong{err, exitAway} }
func fault(err error) error { return wrong{err, exitFault} }

// options are the flags that all commands share.
type options struct {
	conductor string
	output    string
	files     certs.Files
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	o := &options{}
	root := &cobra.Command{Use: "harehookctl", Short: "Shows and checks what conductors and sidecars do", SilenceUsage: true,
		SilenceErrors: true}
	flags := root.PersistentFlags()
	flags.StringVar(&o.conductor, "conductor", "127.0.0.1:18000", "address of the conductor")
	flags.StringVarP(&o.output, "output", "o", "text", "text or json")
	flags.StringVar(&o.files.Certificate, "certificate", "", "file of the certificate, where conductors ask for one")
	flags.StringVar(&o.files.Key, "key", "", "file of its key")
	flags.StringVar(&o.files.Roots, "roots", "", "file of the roots that conductors are checked by")
	root.AddCommand(o.check(), o.sidecars(), o.tables(), o.follow(), o.following(), o.followers())
	root.AddCommand(o.clusterCommands()...)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "harehookctl:", err)
	var w wrong
	if errors.As(err, &w) {
		return w.code
	}
	return exitUsage
}

// valid looks at the flags that cobra does not check.
func (o *options) valid() error {
	if o.output != "text" && o.output != "json" {
		return fmt.Errorf("the output is text or json, not %q", o.output)
	}
	if (o.files.Certificate == "") != (o.files.Key == "") || (o.files.Key == "") != (o.files.Roots == "") {
		return errors.New("certificate, key and roots go together")
	}
	return nil
}

// dial prepares a connection to the conductor.
func (o *options) dial() (*grpc.ClientConn, error) { return o.dialTo(o.conductor) }

// dialTo prepares a connection to another conductor of the installation.
func (o *options) dialTo(address string) (*grpc.ClientConn, error) {
	if err := o.valid(); err != nil {
		return nil, err
	}
	secure := insecure.NewCredentials()
	held, err := certs.Load(o.files)
	if err != nil {
		return nil, fault(err)
	}
	if held != nil {
		secure = credentials.NewTLS(held.ClientConfig("conductor"))
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(secure),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageMost)))
}
