package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
)

var durationType = reflect.TypeFor[time.Duration]()

// parseInto parses text and sets value to the result if value is a duration or a number.
// It only validates the text of a boolean, and accepts any text for other kinds.
func parseInto(value reflect.Value, text string) error {
	if value.Type() == durationType {
		d, err := time.ParseDuration(text)
		value.SetInt(int64(d))
		return err
	}
	switch value.Kind() {
	case reflect.Int, reflect.Int32, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		value.SetInt(n)
		return err
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		value.SetUint(n)
		return err
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		value.SetFloat(n)
		return err
	case reflect.Bool:
		_, err := strconv.ParseBool(text)
		return err
	default:
		return nil
	}
}

// inRange reports whether value is within the min and max tags of flag.
func inRange(flag *kong.Flag, value reflect.Value) bool {
	return satisfiesLimit(value, flag.Tag.Get("min"), 1) && satisfiesLimit(value, flag.Tag.Get("max"), -1)
}

// satisfiesLimit reports whether value satisfies the limit in text. sign is 1 for a minimum
// and -1 for a maximum. An empty text is no limit; a malformed limit is never satisfied.
func satisfiesLimit(value reflect.Value, text string, sign int) bool {
	if text == "" {
		return true
	}
	limit := reflect.New(value.Type()).Elem()
	if err := parseInto(limit, text); err != nil {
		return false
	}
	return sign*compareNumbers(value, limit) >= 0
}

// compareNumbers compares two values of the same kind. Values that are not numbers are equal.
func compareNumbers(a, b reflect.Value) int {
	switch {
	case a.CanInt():
		return cmp.Compare(a.Int(), b.Int())
	case a.CanUint():
		return cmp.Compare(a.Uint(), b.Uint())
	case a.CanFloat():
		return cmp.Compare(a.Float(), b.Float())
	default:
		return 0
	}
}

// typeDescription returns the name of a type for messages to operators.
func typeDescription(t reflect.Type) string {
	if t == durationType {
		return "duration"
	}
	switch t.Kind() {
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "truth value"
	case reflect.String:
		return "text"
	default:
		return "whole number"
	}
}

// rangeDescription describes the range that the min and max tags of flag allow, with a
// leading space, or returns "" if there are no such tags.
func rangeDescription(flag *kong.Flag) string {
	low, high := flag.Tag.Get("min"), flag.Tag.Get("max")
	switch {
	case low != "" && high != "":
		return fmt.Sprintf(" from %s to %s", low, high)
	case low != "":
		return fmt.Sprintf(" of %s or more", low)
	case high != "":
		return fmt.Sprintf(" of %s or less", high)
	default:
		return ""
	}
}
