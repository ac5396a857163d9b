package controller

import "go.uber.org/zap/zapcore"

// logTo is a logger's core that hands on each message above debug level.
func logTo(hear func(string)) zapcore.Core { return core{zapcore.NewNopCore(), hear} }

type core struct {
	zapcore.Core
	hear func(string)
}

func (c core) Enabled(l zapcore.Level) bool { return l > zapcore.DebugLevel }
func (c core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return ce.AddCore(e, c)
}
func (c core) Write(e zapcore.Entry, _ []zapcore.Field) error {
	c.hear(e.Message)
	return nil
}
