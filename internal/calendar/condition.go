package calendar

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// condition is an expression in Starlark over the local date and time of an
// occurrence. It sees no clock, file or network, and is bounded in steps.
type condition struct{ source string }

// maxConditionChars bounds the characters of a condition.
const maxConditionChars = 2000

// maxConditionSteps bounds an evaluation.
const maxConditionSteps = 10_000

func newCondition(src string) (*condition, error) {
	c := &condition{src}
	if len(src) > maxConditionChars {
		return nil, fmt.Errorf("when: longer than %d characters", maxConditionChars)
	}
	_, err := c.holds(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), "")
	return c, err
}

// holds evaluates the expression for a local time. The names are year, month, day,
// hour, minute, weekday (0 is Sunday), yearday and holiday (its name, or "").
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
