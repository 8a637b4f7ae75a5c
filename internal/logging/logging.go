// Package logging makes the programs' logger.
package logging

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of a kind of line, the first few of a second are written and one of very many more.
const (
	sampledFirst      = 3
	sampledThereafter = 1000
)

// New writes plain lines to a file, such as the standard output. Who reads it may fall behind, stop or go: the program
// does not end for that, and waits for it but in Sync, for a moment.
func New(name string, file *os.File) *zap.Logger {
	signal.Ignore(syscall.SIGPIPE)
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig()), newLineQueue(file), zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampledFirst, sampledThereafter)).Named(name)
}
