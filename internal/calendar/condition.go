package calendar

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// condition is a Starlark expression over the local date and time of an occurrence. It has no access to
// clocks, files or the network, and its execution steps are limited.
type condition struct{ source string }

// maxConditionBytes limits the length of a condition in bytes.
const maxConditionBytes = 2000

// maxConditionSteps limits the number of Starlark execution steps of one evaluation.
const maxConditionSteps = 10_000

// newCondition returns the condition of an expression. It evaluates the expression once for an arbitrary date,
// so that an invalid expression is reported when the calendar file is read.
func newCondition(src string) (*condition, error) {
	c := &condition{src}
	if len(src) > maxConditionBytes {
		return nil, fmt.Errorf("when: longer than %d bytes", maxConditionBytes)
	}
	_, err := c.holds(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), "")
	return c, err
}

// holds reports whether the expression is true for a local time. The expression may use the names year, month,
// day, hour, minute, weekday (0 is Sunday), yearday and holiday (the name of the holiday, or "").
func (c *condition) holds(local time.Time, holiday string) (bool, error) {
	thread := &starlark.Thread{Name: "when"}
	thread.SetMaxExecutionSteps(maxConditionSteps)
	env := starlark.StringDict{"holiday": starlark.String(holiday)}
	for name, number := range map[string]int{"year": local.Year(), "month": int(local.Month()), "day": local.Day(), "hour": local.Hour(),
		"minute": local.Minute(), "weekday": int(local.Weekday()), "yearday": local.YearDay()} {
		env[name] = starlark.MakeInt(number)
	}
	value, err := starlark.EvalOptions(&syntax.FileOptions{}, thread, "when", c.source, env)
	if err != nil {
		return false, fmt.Errorf("when: %w", err)
	}
	result, ok := value.(starlark.Bool)
	if !ok {
		return false, fmt.Errorf("when: %s is not true or false", value.Type())
	}
	return bool(result), nil
}
