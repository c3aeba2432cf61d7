//go:build race

package emulator

func init() { memoryTestLength = 60000 } // one minute: runs take about ten times as long under the race detector
