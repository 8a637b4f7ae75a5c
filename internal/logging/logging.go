// Package logging makes the programs' logger. Its one job is that a program never waits for whoever reads its log, and
// doesn't fill the log with one message. The programs' main functions call New.
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

// Of the lines with one message and level, the first few of each second are written, and one of very many more.
const (
	sampledFirst      = 3
	sampledThereafter = 1000
)

// Unsampled is the last part of the names of loggers whose lines are all written, such as log.Named(Unsampled): their
// equal messages say different things in their fields.
const Unsampled = "decisions"

// New makes a logger that writes lines of text to a file, such as the standard output. Whoever reads the file may fall
// behind, stop or go away: the program doesn't end for that, and doesn't wait but in Sync, for a moment. Lines that find
// no room meanwhile are dropped, and counted in the log itself.
//
// It has the process ignore SIGPIPE, by which a write to a pipe without a reader would end it.
func New(name string, file *os.File) *zap.Logger {
	signal.Ignore(syscall.SIGPIPE)
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	all := zapcore.NewCore(encoder, newLineQueue(file), zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(all, time.Second, sampledFirst, sampledThereafter)
	return zap.New(&selectiveCore{Core: sampled, all: all}).Named(name)
}

// selectiveCore samples the lines of all loggers but those named Unsampled.
type selectiveCore struct {
	zapcore.Core              // sampled
	all          zapcore.Core // the same without sampling
}

// With implements zapcore.Core.
func (c *selectiveCore) With(fields []zapcore.Field) zapcore.Core {
	return &selectiveCore{Core: c.Core.With(fields), all: c.all.With(fields)}
}

// Check implements zapcore.Core.
func (c *selectiveCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if strings.HasSuffix(entry.LoggerName, "."+Unsampled) {
		return c.all.Check(entry, checked)
	}
	return c.Core.Check(entry, checked)
}
