// Package logging creates the logger of the programs. The logger never blocks a program on the reader of its log, and
// samples repeated messages so that they do not fill the log. The main functions of the programs call New.
package logging

import (
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of the lines with the same message and level, in each second.
const (
	sampledFirst      = 3    // lines that are all written
	sampledThereafter = 1000 // after these, one line in this many is written
)

// Unsampled is the last part of the name of a logger whose lines are all written, as in log.Named(Unsampled). The lines
// of such a logger have the same message and differ in their fields.
const Unsampled = "decisions"

// New returns a logger that writes lines of text to a file, such as standard output. The reader of the file may fall
// behind, stop or exit: that does not end the program, and only Sync waits for it, for at most syncTimeout. Lines that
// do not fit in the queue are dropped, and their number is written to the log.
//
// New makes the process ignore SIGPIPE, which would end it on a write to a pipe without a reader.
func New(name string, file *os.File) *zap.Logger {
	signal.Ignore(syscall.SIGPIPE)
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	unsampled := zapcore.NewCore(encoder, newLineQueue(file), zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(unsampled, time.Second, sampledFirst, sampledThereafter)
	return zap.New(&selectiveCore{Core: sampled, unsampled: unsampled}).Named(name)
}

// selectiveCore samples the lines of all loggers except those named Unsampled.
type selectiveCore struct {
	zapcore.Core              // sampled
	unsampled    zapcore.Core // the same without sampling
}

// With implements zapcore.Core.
func (c *selectiveCore) With(fields []zapcore.Field) zapcore.Core {
	return &selectiveCore{Core: c.Core.With(fields), unsampled: c.unsampled.With(fields)}
}

// Check implements zapcore.Core.
func (c *selectiveCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if strings.HasSuffix(entry.LoggerName, "."+Unsampled) {
		return c.unsampled.Check(entry, checked)
	}
	return c.Core.Check(entry, checked)
}
