package scaletest

import (
	"time"

	"dalefront/wire"
)

// codecTime measures the total time to encode a heartbeat with the given number of tasks and to decode a
// response with one launch command and one clear command.
func codecTime(tasks int) time.Duration {
	heartbeat := wire.Heartbeat{Host: "n-000001", Addr: "127.0.0.1:30000", Type: plainType, Zone: "zone-a", Incarnation: 1, Sequence: 1000, FencingToken: 100_000}
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskName("j-17646000000000001", int32(i)), Attempt: 1 << 40, State: wire.TaskRunning})
	}
	encodedResponse, _ := wire.Marshal(wire.HeartbeatResponse{FencingToken: 100_000, Commands: []wire.Command{
		{Op: wire.Launch, Task: "j-17646000000000001/1", Attempt: 1 << 40}, {Op: wire.Clear, Task: "j-17646000000000001/2", Attempt: 1 << 40}}})
	const rounds = 2000
	start := time.Now()
	for range rounds {
		_, _ = wire.Marshal(heartbeat)
		var response wire.HeartbeatResponse
		_ = wire.Unmarshal(encodedResponse, &response)
	}
	return time.Since(start) / rounds
}
