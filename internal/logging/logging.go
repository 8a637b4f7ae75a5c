// Package logging makes the programs' logger.
package logging

import "go.uber.org/zap"

// New writes plain lines to an output ("stdout" or "stderr"), the first few of a kind each second.
func New(name, output string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Encoding = "console"
	c.OutputPaths = []string{output}
	c.Sampling = &zap.SamplingConfig{Initial: 3, Thereafter: 1000}
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	log, err := c.Build()
	if err != nil {
		return nil, err
	}
	return log.Named(name), nil
}
