package controller

// backgroundTask is the state of one kind of work that a leadership does outside the owner goroutine, one
// run at a time. Only the owner goroutine accesses it.
type backgroundTask struct{ running bool }

// startTask runs work on a new goroutine. After work has returned, the owner goroutine runs the function that
// work returned, unless that function is nil or the leadership has ended. A task must not be started while it
// is running, and work must return when the leadership's context ends. startTask must be called on the owner
// goroutine.
func (l *leadership) startTask(task *backgroundTask, work func() (finish func())) {
	task.running = true
	go func() {
		finish := work()
		l.post(func() {
			task.running = false
			if finish != nil {
				finish()
			}
		})
	}()
}

// post queues the function f for the owner goroutine, which skips f if the leadership has ended by then.
func (l *leadership) post(f func()) {
	l.controller.owner.post(func() {
		if l.isCurrent() {
			f()
		}
	})
}

// postStepDown queues stepDown for the owner goroutine. It is for callers on other goroutines.
func (l *leadership) postStepDown() { l.controller.owner.post(l.stepDown) }

// isCurrent reports whether the leadership has not ended. It must be called on the owner goroutine.
func (l *leadership) isCurrent() bool { return l.controller.owner.leadership == l }
