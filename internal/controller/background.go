package controller

// backgroundTask is one kind of work that a leadership has done beside the owner goroutine, one run
// at a time. It is owned by the owner goroutine.
type backgroundTask struct{ running bool }

// startTask runs work on a goroutine of its own, and then what it returns on the owner goroutine,
// unless that is nil or the leadership has ended by then. A task must not be started while it
// runs. The work ends with the leadership's context. Owner goroutine.
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

// post runs f on the owner goroutine later, unless the leadership has ended by then.
func (l *leadership) post(f func()) {
	l.controller.owner.post(func() {
		if l.isCurrent() {
			f()
		}
	})
}

// postStepDown ends the leadership from another goroutine.
func (l *leadership) postStepDown() { l.controller.owner.post(l.stepDown) }

// isCurrent says whether the leadership goes on. Owner goroutine.
func (l *leadership) isCurrent() bool { return l.controller.owner.leadership == l }
