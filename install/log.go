package install

import "go.uber.org/zap"

// Logger writes plain lines to standard error, the first few of a kind each second.
func Logger(name string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Encoding = "console"
	c.Sampling = &zap.SamplingConfig{Initial: 3, Thereafter: 1000}
	c.DisableCaller, c.DisableStacktrace = true, true
	c.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	log, err := c.Build()
	if err != nil {
		return nil, err
	}
	return log.Named(name), nil
}
