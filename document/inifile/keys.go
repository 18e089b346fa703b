package inifile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// NamePattern is what names of services, teams, pools and instances look like.
var NamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Key returns a key with its own form of value.
func Key[T any](name, unit, preset, allowed, text string, set func(*T, string) error, get func(*T) string) KeySchema[T] {
	return KeySchema[T]{Name: name, Unit: unit, Default: preset, Range: allowed, Text: text, set: set, get: get}
}

// Required returns the key without a default.
func Required[T any](k KeySchema[T]) KeySchema[T] {
	k.Required = true
	k.Default = ""
	return k
}

// Name returns a key that holds a name.
func Name[T any](name, text string, field func(*T) *string) KeySchema[T] {
	set := func(target *T, value string) error {
		if !NamePattern.MatchString(value) {
			return fmt.Errorf("%q is not a name", value)
		}
		*field(target) = value
		return nil
	}
	get := func(target *T) string { return *field(target) }
	return Key(name, "name", "", "1 to 63 of a-z 0-9 . _ - and a letter or digit first", text, set, get)
}

// Int returns a key that holds a whole number between low and high.
func Int[T any](name, unit string, preset, low, high int, text string, field func(*T) *int) KeySchema[T] {
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
	return Key(name, unit, strconv.Itoa(preset), fmt.Sprintf("%d to %d", low, high), text, set, get)
}

// Float returns a key that holds a number between low and high.
func Float[T any](name, unit string, preset, low, high float64, text string, field func(*T) *float64) KeySchema[T] {
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
	return Key(name, unit, format(preset), format(low)+" to "+format(high), text, set, get)
}

// Duration returns a key that holds a duration between low and high.
func Duration[T any](name string, preset, low, high time.Duration, text string, field func(*T) *time.Duration) KeySchema[T] {
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
	return Key(name, "duration", FormatDuration(preset), allowed, text, set, get)
}

// FormatDuration writes a duration without zero units at its end: 40m, not 40m0s.
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

// Bool returns a key that holds yes or no.
func Bool[T any](name string, preset bool, text string, field func(*T) *bool) KeySchema[T] {
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
	return Key(name, "", formatBool(preset), "yes or no", text, set, get)
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Choice returns a key that holds one of some words.
func Choice[T any, V ~string](name string, words []V, preset V, text string, field func(*T) *V) KeySchema[T] {
	set := func(target *T, value string) error {
		for _, word := range words {
			if string(word) == value {
				*field(target) = word
				return nil
			}
		}
		return fmt.Errorf("unknown value %q", value)
	}
	get := func(target *T) string { return string(*field(target)) }
	return Key(name, "", string(preset), "one of "+joinWords(words), text, set, get)
}

func joinWords[V ~string](words []V) string {
	texts := make([]string, 0, len(words))
	for _, word := range words {
		texts = append(texts, string(word))
	}
	return strings.Join(texts, ", ")
}

// Text returns a key that holds any text on one line and is empty by default.
func Text[T any](name, unit, text string, field func(*T) *string) KeySchema[T] {
	set := func(target *T, value string) error {
		*field(target) = value
		return nil
	}
	get := func(target *T) string { return *field(target) }
	return Key(name, unit, "", "any or empty", text, set, get)
}
