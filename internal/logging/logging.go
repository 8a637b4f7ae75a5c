// Package logging makes the programs' logger. Its one job is that a program never waits for whoever reads its log, and
// doesn't fill the log with one message. The programs' main functions call New.
package logging

import (
	"os"
	"os/signal"
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

// New makes a logger that writes lines of text to a file, such as the standard output. Whoever reads the file may fall
// behind, stop or go away: the program doesn't end for that, and doesn't wait but in Sync, for a moment. Lines that find
// no room meanwhile are dropped, and counted in the log itself.
//
// It has the process ignore SIGPIPE, by which a write to a pipe without a reader would end it.
func New(name string, file *os.File) *zap.Logger {
	signal.Ignore(syscall.SIGPIPE)
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	core := zapcore.NewCore(encoder, newLineQueue(file), zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampledFirst, sampledThereafter)
	return zap.New(sampled).Named(name)
}
