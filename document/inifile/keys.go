package inifile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// NamePattern matches names of services, teams, pools and instances.
var NamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Key returns a key whose value is parsed by set and formatted by get.
func Key[T any](name, unit, defaultValue, allowed, description string, set func(*T, string) error, get func(*T) string) KeySchema[T] {
	return KeySchema[T]{Name: name, Unit: unit, Default: defaultValue, AllowedValues: allowed, Description: description, set: set, get: get}
}

// Required returns k as a required key without a default.
func Required[T any](k KeySchema[T]) KeySchema[T] {
	k.Required = true
	k.Default = ""
	return k
}

// Name returns a key whose value matches NamePattern.
func Name[T any](name, description string, field func(*T) *string) KeySchema[T] {
	set := func(target *T, value string) error {
		if !NamePattern.MatchString(value) {
			return fmt.Errorf("%q is not a valid name", value)
		}
		*field(target) = value
		return nil
	}
	get := func(target *T) string { return *field(target) }
	return Key(name, "name", "", "1 to 63 characters of a-z 0-9 . _ -, starting with a letter or digit", description, set, get)
}

// Int returns a key whose value is an integer from low to high.
func Int[T any](name, unit string, defaultValue, low, high int, description string, field func(*T) *int) KeySchema[T] {
	set := func(target *T, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is out of range", n)
		}
		*field(target) = n
		return nil
	}
	get := func(target *T) string { return strconv.Itoa(*field(target)) }
	return Key(name, unit, strconv.Itoa(defaultValue), fmt.Sprintf("%d to %d", low, high), description, set, get)
}

// Float returns a key whose value is a number from low to high.
func Float[T any](name, unit string, defaultValue, low, high float64, description string, field func(*T) *float64) KeySchema[T] {
	set := func(target *T, value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", value)
		}
		if !(n >= low && n <= high) {
			return fmt.Errorf("%v is out of range", n)
		}
		*field(target) = n
		return nil
	}
	format := func(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }
	get := func(target *T) string { return format(*field(target)) }
	return Key(name, unit, format(defaultValue), format(low)+" to "+format(high), description, set, get)
}

// Duration returns a key whose value is a duration from low to high.
func Duration[T any](name string, defaultValue, low, high time.Duration, description string, field func(*T) *time.Duration) KeySchema[T] {
	set := func(target *T, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 500ms, 30s or 40m", value)
		}
		if d < low || d > high {
			return fmt.Errorf("%v is out of range", value)
		}
		*field(target) = d
		return nil
	}
	get := func(target *T) string { return FormatDuration(*field(target)) }
	allowed := FormatDuration(low) + " to " + FormatDuration(high)
	return Key(name, "duration", FormatDuration(defaultValue), allowed, description, set, get)
}

// FormatDuration formats a duration without trailing zero units: 40m, not 40m0s.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Bool returns a key whose value is yes or no.
func Bool[T any](name string, defaultValue bool, description string, field func(*T) *bool) KeySchema[T] {
	set := func(target *T, value string) error {
		switch value {
		case "yes":
			*field(target) = true
		case "no":
			*field(target) = false
		default:
			return fmt.Errorf("%q is neither yes nor no", value)
		}
		return nil
	}
	get := func(target *T) string { return formatBool(*field(target)) }
	return Key(name, "", formatBool(defaultValue), "yes or no", description, set, get)
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Choice returns a key whose value is one of choices.
func Choice[T any, V ~string](name string, choices []V, defaultValue V, description string, field func(*T) *V) KeySchema[T] {
	set := func(target *T, value string) error {
		for _, choice := range choices {
			if string(choice) == value {
				*field(target) = choice
				return nil
			}
		}
		return fmt.Errorf("unknown value %q", value)
	}
	get := func(target *T) string { return string(*field(target)) }
	return Key(name, "", string(defaultValue), "one of "+joinChoices(choices), description, set, get)
}

func joinChoices[V ~string](choices []V) string {
	texts := make([]string, 0, len(choices))
	for _, choice := range choices {
		texts = append(texts, string(choice))
	}
	return strings.Join(texts, ", ")
}

// String returns a key whose value is any single-line text, empty by default.
func String[T any](name, unit, description string, field func(*T) *string) KeySchema[T] {
	set := func(target *T, value string) error {
		*field(target) = value
		return nil
	}
	get := func(target *T) string { return *field(target) }
	return Key(name, unit, "", "any or empty", description, set, get)
}
