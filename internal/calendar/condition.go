package calendar

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// condition is an expression in Starlark over the local date and time of an
// occurrence. It sees no clock, file or network, and is bounded in steps.
type condition struct{ src string }

// mostCondition bounds the characters of a condition.
const mostCondition = 2000

// mostSteps bounds an evaluation.
const mostSteps = 10_000

func newCondition(src string) (*condition, error) {
	c := &condition{src}
	if len(src) > mostCondition {
		return nil, fmt.Errorf("when: longer than %d characters", mostCondition)
	}
	_, err := c.holds(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), "")
	return c, err
}

// holds evaluates the expression for a local time. The names are year, month, day,
// hour, minute, weekday (0 is Sunday), yearday and holiday (its name, or "").
func (c *condition) holds(local time.Time, holiday string) (bool, error) {
	thread := &starlark.Thread{Name: "when"}
	thread.SetMaxExecutionSteps(mostSteps)
	env := starlark.StringDict{"holiday": starlark.String(holiday)}
	for name, v := range map[string]int{"year": local.Year(), "month": int(local.Month()), "day": local.Day(), "hour": local.Hour(),
		"minute": local.Minute(), "weekday": int(local.Weekday()), "yearday": local.YearDay()} {
		env[name] = starlark.MakeInt(v)
	}
	v, err := starlark.EvalOptions(&syntax.FileOptions{}, thread, "when", c.src, env)
	if err != nil {
		return false, fmt.Errorf("when: %v", err)
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		return false, fmt.Errorf("when: %s is not true or false", v.Type())
	}
	return bool(b), nil
}
